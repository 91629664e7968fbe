package settings

import _ "embed" // embeds the source files

// Source files that declare Settings and its parts; the reference page is generated
// from their comments.
var (
	//go:embed settings.go
	settingsText []byte
	//go:embed gateway.go
	gatewayText []byte
)

// SourceTexts returns the source files that declare Settings and its parts.
func SourceTexts() [][]byte { return [][]byte{settingsText, gatewayText} }
