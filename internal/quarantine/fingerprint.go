package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"
)

// fingerprintBytes of the hash are kept: no caller can make two requests that agree in them.
const fingerprintBytes = 16

// Fingerprint is the same for a request each time that it comes, under whatever id and at
// whichever host.
type Fingerprint [fingerprintBytes]byte

// Identity is what stays the same of a request that comes again.
type Identity struct {
	Workspace string // whose it is; one workspace's requests never are another's
	Target    string // host name, method and path with its query
	Body      []byte
}

// Fingerprint hashes the identity. A cryptographic hash keeps callers from making requests
// that agree with those of others.
func (i Identity) Fingerprint() Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(i.Workspace), []byte(i.Target), i.Body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // a hash takes all bytes
		_, _ = h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// IsZero reports whether it is no request's.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// String returns the fingerprint in hex.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	if err != nil {
		return fmt.Errorf("read fingerprint: %w", err)
	}
	if len(data) != fingerprintBytes {
		return errors.Errorf("a fingerprint has %d bytes, not %d", fingerprintBytes, len(data))
	}
	copy(f[:], data)
	return nil
}
