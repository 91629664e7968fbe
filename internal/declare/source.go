package declare

import _ "embed" // for SourceText

// SourceText is the text in which Declarations is declared; the reference page is
// made from its comments.
//
//go:embed declare.go
var SourceText []byte
