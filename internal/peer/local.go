package peer

import (
	"context"
	"sync"

	"quaybarrow/internal/quarantine"
)

// LocalNetwork connects hosts in one process by direct calls, for tests and for measurements of many
// hosts. Each pair of hosts can be partitioned.
type LocalNetwork struct {
	mu          sync.Mutex // guards the fields below
	handlers    map[string]Handler
	partitioned map[direction]bool
	messages    int64
}

// direction is one direction of the connection between two addresses.
type direction struct{ from, to string }

// NewLocalNetwork returns a LocalNetwork without hosts.
func NewLocalNetwork() *LocalNetwork {
	return &LocalNetwork{handlers: map[string]Handler{}, partitioned: map[direction]bool{}}
}

// Serve registers the handler of an address; a nil handler removes it.
func (l *LocalNetwork) Serve(address string, h Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h == nil {
		delete(l.handlers, address)
		return
	}
	l.handlers[address] = h
}

// SetPartitioned breaks or restores both directions between two addresses.
func (l *LocalNetwork) SetPartitioned(a, b string, partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned[direction{a, b}] = partitioned
	l.partitioned[direction{b, a}] = partitioned
}

// Messages returns the number of calls that reached a handler.
func (l *LocalNetwork) Messages() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.messages
}

// Link returns the Link used by the host at an address.
func (l *LocalNetwork) Link(from string) Link { return localLink{network: l, from: from} }

// localLink implements Link by direct calls.
type localLink struct {
	network *LocalNetwork
	from    string
}

// handlerAt returns the handler of an address and counts the message. It returns ErrUnreachable if the
// address has no handler or is partitioned from this host.
func (k localLink) handlerAt(ctx context.Context, address string) (Handler, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	k.network.mu.Lock()
	defer k.network.mu.Unlock()
	h, ok := k.network.handlers[address]
	if !ok || k.network.partitioned[direction{k.from, address}] {
		return nil, ErrUnreachable
	}
	k.network.messages++
	return h, nil
}

// Ping implements Link.
func (k localLink) Ping(ctx context.Context, address string, status Status) (Status, error) {
	h, err := k.handlerAt(ctx, address)
	if err != nil {
		return Status{}, err
	}
	return h.Ping(ctx, status)
}

// Fetch implements Link.
func (k localLink) Fetch(ctx context.Context, address string, above int64) (RevisionMessage, error) {
	h, err := k.handlerAt(ctx, address)
	if err != nil {
		return RevisionMessage{}, err
	}
	return h.Fetch(ctx, above)
}

// Push implements Link.
func (k localLink) Push(ctx context.Context, address string, push Push) ([]Confirmation, error) {
	h, err := k.handlerAt(ctx, address)
	if err != nil {
		return nil, err
	}
	return h.Push(ctx, push)
}

// Hold implements Link.
func (k localLink) Hold(ctx context.Context, address string, hold Hold) error {
	h, err := k.handlerAt(ctx, address)
	if err != nil {
		return err
	}
	return h.Hold(ctx, hold)
}

// Grant implements Link.
func (k localLink) Grant(ctx context.Context, address string, grant Grant) error {
	h, err := k.handlerAt(ctx, address)
	if err != nil {
		return err
	}
	return h.Grant(ctx, grant)
}

// Show implements Link.
func (k localLink) Show(ctx context.Context, address string, query Query) (Reply, error) {
	h, err := k.handlerAt(ctx, address)
	if err != nil {
		return Reply{}, err
	}
	return h.Show(ctx, query)
}

// Tell implements Link.
func (k localLink) Tell(ctx context.Context, address string, n quarantine.Update) (quarantine.Update, error) {
	h, err := k.handlerAt(ctx, address)
	if err != nil {
		return quarantine.Update{}, err
	}
	return h.Tell(ctx, n)
}
