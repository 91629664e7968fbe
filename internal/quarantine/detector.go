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
	// probeTimeout is how long a connection is waited for: a few times what one takes between
	// data halls. Requests that broke wait for it before they are sent again.
	probeTimeout = 100 * time.Millisecond
	// reprobeDelay after a connection was made it is looked at once more: a process that is
	// ending may still have taken it.
	reprobeDelay = 25 * time.Millisecond
	// probeTTL is for how long what was seen counts for requests that broke at the same
	// endpoint: its connections all break within milliseconds.
	probeTTL = time.Second
)

// ProbeFunc opens a connection to an address and tells whether it is still open after a while;
// the error is that of the dial.
type ProbeFunc func(ctx context.Context, address string, after time.Duration) (open bool, err error)

// CrashDetector finds out whether an endpoint has crashed at which a connection broke. A reset of
// single connections, a link that is cut and an endpoint without power look otherwise: the
// address takes a new connection, or says nothing. Safe for use at once.
type CrashDetector struct {
	probe ProbeFunc

	mu     sync.Mutex // guards looks
	probes map[string]*probeResult
}

// probeResult is one at an endpoint, which all share whose connections broke there.
type probeResult struct {
	done    chan struct{} // closed once the below are known
	at      clock.Instant
	crashed bool
}

// NewCrashDetector returns a witness that looks by opening connections.
func NewCrashDetector(probe ProbeFunc) *CrashDetector {
	return &CrashDetector{probe: probe, probes: map[string]*probeResult{}}
}

// Crashed reports whether the endpoint that was at an address has crashed: nothing listens
// there any more. The id names this start of the endpoint.
func (d *CrashDetector) Crashed(ctx context.Context, id, address string) bool {
	result, first := d.probeFor(id)
	if first {
		// Others wait for it too, so it goes on if the first of them leaves.
		result.crashed = d.refusesConnections(context.WithoutCancel(ctx), address)
		close(result.done)
	}
	select {
	case <-result.done:
		return result.crashed
	case <-ctx.Done():
		return false
	}
}

// probeFor returns the look at an endpoint, and whether it is still to be made.
func (d *CrashDetector) probeFor(id string) (result *probeResult, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	if recent, ok := d.probes[id]; ok && now.Sub(recent.at) < probeTTL {
		return recent, false
	}
	for staleID, stale := range d.probes {
		if now.Sub(stale.at) >= probeTTL {
			delete(d.probes, staleID)
		}
	}
	result = &probeResult{done: make(chan struct{}), at: now}
	d.probes[id] = result
	return result, true
}

// refusesConnections reports whether nothing listens at an address.
func (d *CrashDetector) refusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	open, err := d.probe(ctx, address, reprobeDelay)
	if err == nil && !open {
		_, err = d.probe(ctx, address, 0)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
