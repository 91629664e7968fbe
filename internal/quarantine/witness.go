package quarantine

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
)

// Times of a look at an endpoint.
const (
	// lookTimeout is how long a connection is waited for: a few times what one takes between
	// data halls. Requests that broke wait for it before they are sent again.
	lookTimeout = 100 * time.Millisecond
	// lookAgain after a connection was made it is looked at once more: a process that is
	// ending may still have taken it.
	lookAgain = 25 * time.Millisecond
	// lookCounts is for how long what was seen counts for requests that broke at the same
	// endpoint: its connections all break within milliseconds.
	lookCounts = time.Second
)

// ProbeFunc opens a connection to an address and tells whether it is still open after a while;
// the error is that of the dial.
type ProbeFunc func(ctx context.Context, address string, after time.Duration) (open bool, err error)

// Witness finds out whether an endpoint has crashed at which a connection broke. A reset of
// single connections, a link that is cut and an endpoint without power look otherwise: the
// address takes a new connection, or says nothing. Safe for use at once.
type Witness struct {
	reach ProbeFunc

	mu    sync.Mutex // guards looks
	looks map[string]*look
}

// look is one at an endpoint, which all share whose connections broke there.
type look struct {
	done    chan struct{} // closed once the below are known
	at      clock.Instant
	crashed bool
}

// NewWitness returns a witness that looks by opening connections.
func NewWitness(reach ProbeFunc) *Witness {
	return &Witness{reach: reach, looks: map[string]*look{}}
}

// Crashed reports whether the endpoint that was at an address has crashed: nothing listens
// there any more. The id names this start of the endpoint.
func (w *Witness) Crashed(ctx context.Context, id, address string) bool {
	l, first := w.lookAt(id)
	if first {
		// Others wait for it too, so it goes on if the first of them leaves.
		l.crashed = w.refuses(context.WithoutCancel(ctx), address)
		close(l.done)
	}
	select {
	case <-l.done:
		return l.crashed
	case <-ctx.Done():
		return false
	}
}

// lookAt returns the look at an endpoint, and whether it is still to be made.
func (w *Witness) lookAt(id string) (l *look, first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	if l, ok := w.looks[id]; ok && now.Sub(l.at) < lookCounts {
		return l, false
	}
	for old, l := range w.looks {
		if now.Sub(l.at) >= lookCounts {
			delete(w.looks, old)
		}
	}
	l = &look{done: make(chan struct{}), at: now}
	w.looks[id] = l
	return l, true
}

// refuses reports whether nothing listens at an address.
func (w *Witness) refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	open, err := w.reach(ctx, address, lookAgain)
	if err == nil && !open {
		_, err = w.reach(ctx, address, 0)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
