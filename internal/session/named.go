package session

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"

	"quaybarrow/internal/codec"
	"quaybarrow/internal/store"
)

// tableSessions holds the pins of sessions that callers name.
const tableSessions = "session"

// maxCachedPins bounds the pins that a host remembers.
const maxCachedPins = 10_000

// maxClaimAttempts bounds how often an uncertain claim is tried again.
const maxClaimAttempts = 3

// NamedSessions keeps pins of sessions that callers name, one row for each. Rows are
// never changed once written, so a remembered pin is as good as the row and
// outlasts an outage of the store.
type NamedSessions struct {
	tables store.Tables

	mu         sync.Mutex // guards known and order
	cache      map[string]Pin
	cacheOrder []string // oldest first
}

// NewNamedSessions returns the names kept in the given tables.
func NewNamedSessions(tables store.Tables) *NamedSessions {
	return &NamedSessions{tables: tables, cache: map[string]Pin{}}
}

// Find returns the pin of a name; store.ErrNotFound if it is free.
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

// Claim pins a name, unless it is pinned: then it returns the pin it has.
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
		// Conflict, or a lost reply: the row tells who holds the name.
		found, findErr := n.Find(ctx, pin.Workspace, name)
		if findErr == nil {
			return found, nil
		}
	}
	return Pin{}, fmt.Errorf("claim session %s: %w", name, err)
}

// addToCache keeps a pin, dropping the oldest past the bound.
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
