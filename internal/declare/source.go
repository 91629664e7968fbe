package declare

import _ "embed" // for SourceText

// SourceText is the Go source file that declares Declarations. The reference page is generated from
// its comments.
//
//go:embed declare.go
var SourceText []byte
