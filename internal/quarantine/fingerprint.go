package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"
)

// fingerprintBytes is the number of hash bytes that are kept: enough that no caller can construct
// two requests that agree in them.
const fingerprintBytes = 16

// Fingerprint identifies a request each time that it is sent again, under any id and at any host.
type Fingerprint [fingerprintBytes]byte

// Identity has the parts of a request that stay the same when it is sent again.
type Identity struct {
	Workspace string // the owner; requests of different workspaces are always different
	Target    string // host name, method and path with its query
	Body      []byte
}

// Fingerprint hashes the identity. The hash is cryptographic so that callers can't construct
// requests that have the fingerprints of others' requests.
func (i Identity) Fingerprint() Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(i.Workspace), []byte(i.Target), i.Body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // a hash's Write never fails
		_, _ = h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// IsZero reports whether the fingerprint is unset.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// String returns the fingerprint in hex.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	if err != nil {
		return fmt.Errorf("parse fingerprint: %w", err)
	}
	if len(data) != fingerprintBytes {
		return errors.Errorf("a fingerprint must have %d bytes, not %d", fingerprintBytes, len(data))
	}
	copy(f[:], data)
	return nil
}
