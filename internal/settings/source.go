package settings

import _ "embed" // for the texts of sources

// Texts in which Settings and its parts are declared; the reference page is made
// from their comments.
var (
	//go:embed settings.go
	settingsText []byte
	//go:embed gateway.go
	gatewayText []byte
)

// SourceTexts returns the texts in which Settings and its parts are declared.
func SourceTexts() [][]byte { return [][]byte{settingsText, gatewayText} }
