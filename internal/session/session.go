// Package session pins a conversation to one model version for its whole duration.
//
// # Usage
//
//	token := keyring.Sign(session.Pin{Workspace: "clerks", ID: id, Version: ref})
//	pin, err := keyring.Verify(token)
//
// The pin is encoded in a signed token that the caller sends with each request, so
// any host can verify it without a lookup. If the caller names its sessions itself,
// the pin is stored in a row of the table service instead: see NamedSessions.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/codec"
	"quaybarrow/internal/declare"
)

// Errors returned by Verify.
var (
	// ErrInvalidToken means that a token is malformed or its signature does not match.
	ErrInvalidToken = errors.New("session token is not valid")
	// ErrUnknownKey means that a token was signed by a key that is not in the keyring (any more).
	ErrUnknownKey = errors.New("session token was signed by an unknown key")
)

// Pin binds a session to a model version.
type Pin struct {
	Workspace string      `json:"w"`
	ID        string      `json:"i"`
	Version   declare.Ref `json:"v"`
	Class     string      `json:"c,omitempty"` // requested task class or model
	Opened    time.Time   `json:"o"`
}

// Key is an HMAC key that signs tokens.
type Key struct {
	ID     string
	Secret []byte
}

// Keyring signs with its first key and verifies with all of them, so that key
// rotation does not end sessions.
type Keyring struct{ keys []Key }

// NewKeyring returns a keyring; the first key signs.
func NewKeyring(keys []Key) Keyring { return Keyring{keys: append([]Key(nil), keys...)} }

// separator separates key ID, pin and signature in a token; none of them contains it.
const separator = "~"

// Sign returns a signed token that carries the pin.
func (k Keyring) Sign(pin Pin) (string, error) {
	data, err := codec.Encode(pin)
	if err != nil {
		return "", err
	}
	key := k.keys[0]
	body := key.ID + separator + base64.RawURLEncoding.EncodeToString(data)
	return body + separator + base64.RawURLEncoding.EncodeToString(computeMAC(key, body)), nil
}

// Verify checks the signature of a token and returns its pin.
func (k Keyring) Verify(token string) (Pin, error) {
	parts := strings.Split(token, separator)
	if len(parts) != 3 {
		return Pin{}, ErrInvalidToken
	}
	key, ok := k.keyByID(parts[0])
	if !ok {
		return Pin{}, ErrUnknownKey
	}
	signature, err := base64.RawURLEncoding.DecodeString(parts[2])
	if err != nil || !hmac.Equal(signature, computeMAC(key, parts[0]+separator+parts[1])) {
		return Pin{}, ErrInvalidToken
	}
	data, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil {
		return Pin{}, ErrInvalidToken
	}
	pin, err := codec.Decode[Pin](data)
	if err != nil {
		return Pin{}, ErrInvalidToken
	}
	return pin, nil
}

func (k Keyring) keyByID(id string) (Key, bool) {
	for _, key := range k.keys {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

func computeMAC(key Key, body string) []byte {
	mac := hmac.New(sha256.New, key.Secret)
	_, _ = mac.Write([]byte(body))
	return mac.Sum(nil)
}
