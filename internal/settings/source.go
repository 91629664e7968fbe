package settings

import _ "embed" // for SourceText

// SourceText is the text in which Settings is declared; the reference page is made
// from its comments.
//
//go:embed settings.go
var SourceText []byte
