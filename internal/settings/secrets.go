package settings

import (
	"bytes"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// ErrSecret means that a session key is unusable.
var ErrSecret = errors.New("bad session key")

// Bytes returns Secret if it is set, and the content of SecretFile without surrounding space otherwise.
func (k SessionKey) Bytes() ([]byte, error) {
	if k.Secret != "" {
		return []byte(k.Secret), nil
	}
	data, err := os.ReadFile(k.SecretFile)
	if err != nil {
		return nil, fmt.Errorf("read session key %s: %w", k.ID, err)
	}
	data = bytes.TrimSpace(data)
	if len(data) < minSecretBytes {
		return nil, fmt.Errorf("session key %s: %w: %s has fewer than %d bytes", k.ID, ErrSecret, k.SecretFile, minSecretBytes)
	}
	return data, nil
}
