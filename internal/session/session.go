// Package session pins a conversation to one version for its whole life.
//
// # Usage
//
//	token := keyring.Sign(session.Pin{Workspace: "clerks", ID: id, Version: ref})
//	pin, err := keyring.Verify(token)
//
// The pin travels in a signed token that the caller brings back, so no host and
// no store is needed to honour it. A caller that names its sessions itself has
// the pin kept in a row of the table service instead: see Names.
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

// Errors of verifying.
var (
	// ErrToken means that a token is not one of ours, or was changed.
	ErrToken = errors.New("session token is not valid")
	// ErrKey means that a token was signed by a key that is no longer known.
	ErrKey = errors.New("session token was signed by an unknown key")
)

// Pin ties a session to a version.
type Pin struct {
	Workspace string      `json:"w"`
	ID        string      `json:"i"`
	Version   declare.Ref `json:"v"`
	Class     string      `json:"c,omitempty"` // task class or model asked for
	Opened    time.Time   `json:"o"`
}

// Key signs tokens.
type Key struct {
	ID     string
	Secret []byte
}

// Keyring signs with its first key and verifies with all of them, so that keys
// rotate without ending sessions.
type Keyring struct{ keys []Key }

// NewKeyring returns a keyring; the first key signs.
func NewKeyring(keys []Key) Keyring { return Keyring{keys: append([]Key(nil), keys...)} }

// separator stands between key id, pin and signature; no part contains it.
const separator = "~"

// Sign makes the token of a pin.
func (k Keyring) Sign(pin Pin) (string, error) {
	data, err := codec.Encode(pin)
	if err != nil {
		return "", err
	}
	key := k.keys[0]
	body := key.ID + separator + base64.RawURLEncoding.EncodeToString(data)
	return body + separator + base64.RawURLEncoding.EncodeToString(computeMAC(key, body)), nil
}

// Verify returns the pin of a token.
func (k Keyring) Verify(token string) (Pin, error) {
	parts := strings.Split(token, separator)
	if len(parts) != 3 {
		return Pin{}, ErrToken
	}
	key, ok := k.keyByID(parts[0])
	if !ok {
		return Pin{}, ErrKey
	}
	signature, err := base64.RawURLEncoding.DecodeString(parts[2])
	if err != nil || !hmac.Equal(signature, computeMAC(key, parts[0]+separator+parts[1])) {
		return Pin{}, ErrToken
	}
	data, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil {
		return Pin{}, ErrToken
	}
	pin, err := codec.Decode[Pin](data)
	if err != nil {
		return Pin{}, ErrToken
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
