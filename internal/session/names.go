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

// nameCacheSize bounds the pins that a host remembers.
const nameCacheSize = 10_000

// claimAttempts bounds how often an uncertain claim is tried again.
const claimAttempts = 3

// NamedSessions keeps pins of sessions that callers name, one row for each. Rows are
// never changed once written, so a remembered pin is as good as the row and
// outlasts an outage of the store.
type NamedSessions struct {
	tables store.Tables

	mu    sync.Mutex // guards known and order
	known map[string]Pin
	order []string // oldest first
}

// NewNamedSessions returns the names kept in the given tables.
func NewNamedSessions(tables store.Tables) *NamedSessions {
	return &NamedSessions{tables: tables, known: map[string]Pin{}}
}

// Find returns the pin of a name; store.ErrNotFound if it is free.
func (n *NamedSessions) Find(ctx context.Context, workspace, name string) (Pin, error) {
	key := workspace + "/" + name
	n.mu.Lock()
	pin, ok := n.known[key]
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
	n.remember(key, pin)
	return pin, nil
}

// Claim pins a name, unless it is pinned: then it returns the pin it has.
func (n *NamedSessions) Claim(ctx context.Context, name string, pin Pin) (Pin, error) {
	data, err := codec.Encode(pin)
	if err != nil {
		return Pin{}, err
	}
	key := pin.Workspace + "/" + name
	for range claimAttempts {
		err = n.tables.Commit(ctx, store.Transaction{
			Conditions: []store.Condition{store.Absent(tableSessions, key)},
			Writes:     []store.Write{store.Put(tableSessions, key, data)},
		})
		if err == nil {
			n.remember(key, pin)
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

// remember keeps a pin, dropping the oldest past the bound.
func (n *NamedSessions) remember(key string, pin Pin) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.known[key]; ok {
		return
	}
	if len(n.order) >= nameCacheSize {
		delete(n.known, n.order[0])
		n.order = n.order[1:]
	}
	n.known[key] = pin
	n.order = append(n.order, key)
}
