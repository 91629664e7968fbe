package daemon

import (
	"fmt"
	"sync/atomic"

	"quaybarrow/internal/session"
	"quaybarrow/internal/settings"
)

// keyrings holds the current session keys, which reload reads again from their files.
type keyrings struct {
	settings []settings.SessionKey
	ring     atomic.Pointer[session.Keyring]
}

func newKeyrings(s settings.Settings) (*keyrings, error) {
	k := &keyrings{settings: s.SessionKeys}
	return k, k.reload()
}

// reload reads all keys; on an error the old ones stay in use.
func (k *keyrings) reload() error {
	var keys []session.Key
	for _, key := range k.settings {
		secret, err := key.Bytes()
		if err != nil {
			return fmt.Errorf("load session keys: %w", err)
		}
		keys = append(keys, session.Key{ID: key.ID, Secret: secret})
	}
	ring := session.NewKeyring(keys)
	k.ring.Store(&ring)
	return nil
}

func (k *keyrings) current() session.Keyring { return *k.ring.Load() }
