package declare_test

import (
	"testing"

	"quaybarrow/internal/declare"
	"quaybarrow/internal/yamlfile"
)

func FuzzDeclarations(f *testing.F) {
	for _, b := range invalidFiles {
		f.Add([]byte(b.text))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var d declare.Declarations
		if _, err := yamlfile.Decode("fuzz.yaml", data, &d); err != nil {
			return
		}
		_ = d.Validate()
		_, _ = declare.CarryOverStates(d, d)
		_, _ = declare.Diff(declare.Declarations{}, d)
	})
}
