package session

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"

	"quaybarrow/internal/codec"
	"quaybarrow/internal/store"
)

// tableSessions is the table of the pins of sessions whose names callers choose.
const tableSessions = "session"

// maxCachedPins bounds the pins that a host caches.
const maxCachedPins = 10_000

// maxClaimAttempts bounds the attempts of a claim whose outcome is uncertain.
const maxClaimAttempts = 3

// NamedSessions stores the pins of sessions whose names callers choose, one row for each. Rows
// are immutable, so a cached pin is always valid and stays available during an outage of the
// table service.
type NamedSessions struct {
	tables store.Tables

	mu         sync.Mutex // guards cache and cacheOrder
	cache      map[string]Pin
	cacheOrder []string // oldest first
}

// NewNamedSessions returns the named sessions stored in the given tables.
func NewNamedSessions(tables store.Tables) *NamedSessions {
	return &NamedSessions{tables: tables, cache: map[string]Pin{}}
}

// Find returns the pin of a session name, or store.ErrNotFound if the name is not pinned.
func (n *NamedSessions) Find(ctx context.Context, workspace, name string) (Pin, error) {
	key := workspace + "/" + name
	n.mu.Lock()
	pin, ok := n.cache[key]
	n.mu.Unlock()
	if ok {
		return pin, nil
	}
	row, err := n.tables.Get(ctx, tableSessions, key)
	if err != nil {
		return Pin{}, fmt.Errorf("find session %s: %w", name, err)
	}
	pin, err = codec.Decode[Pin](row.Value)
	if err != nil {
		return Pin{}, fmt.Errorf("find session %s: %w", name, err)
	}
	n.addToCache(key, pin)
	return pin, nil
}

// Claim pins a session name. If the name is pinned already, it returns the existing pin.
func (n *NamedSessions) Claim(ctx context.Context, name string, pin Pin) (Pin, error) {
	data, err := codec.Encode(pin)
	if err != nil {
		return Pin{}, err
	}
	key := pin.Workspace + "/" + name
	for range maxClaimAttempts {
		err = n.tables.Commit(ctx, store.Transaction{
			Conditions: []store.Condition{store.Absent(tableSessions, key)},
			Writes:     []store.Write{store.Put(tableSessions, key, data)},
		})
		if err == nil {
			n.addToCache(key, pin)
			return pin, nil
		}
		if errors.Is(err, store.ErrThrottled) {
			break
		}
		// After a conflict or a lost reply, the row shows which pin the name has.
		found, findErr := n.Find(ctx, pin.Workspace, name)
		if findErr == nil {
			return found, nil
		}
	}
	return Pin{}, fmt.Errorf("claim session %s: %w", name, err)
}

// addToCache caches a pin and evicts the oldest one at the limit.
func (n *NamedSessions) addToCache(key string, pin Pin) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.cache[key]; ok {
		return
	}
	if len(n.cacheOrder) >= maxCachedPins {
		delete(n.cache, n.cacheOrder[0])
		n.cacheOrder = n.cacheOrder[1:]
	}
	n.cache[key] = pin
	n.cacheOrder = append(n.cacheOrder, key)
}
