package quarantine

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
)

const (
	// probeTimeout is how long a probe waits for a connection: a few times what a connection takes
	// between data halls. Requests whose connections broke wait for the probe before they are sent
	// again.
	probeTimeout = 100 * time.Millisecond
	// reprobeDelay is how long after a successful connection the endpoint is probed once more: a
	// process that is exiting may still have accepted the first one.
	reprobeDelay = 25 * time.Millisecond
	// probeTTL is how long the proof of a crash is used for other requests that broke at the same
	// endpoint.
	probeTTL = time.Second
)

// ProbeFunc opens a connection to an address and reports whether it is still open after the given
// time; the error is that of the dial.
type ProbeFunc func(ctx context.Context, address string, after time.Duration) (open bool, err error)

// CrashDetector finds out whether an endpoint at which a connection broke has crashed. Resets of
// single connections, a cut link and an endpoint without power look different: the address accepts a
// new connection, or does not answer. It is safe for concurrent use.
type CrashDetector struct {
	probe ProbeFunc

	mu     sync.Mutex // guards probes
	probes map[string]*probeResult
}

// probeResult is the result of one probe, shared by all whose connections broke at the endpoint.
type probeResult struct {
	done    chan struct{} // closed once crashed is set
	at      clock.Instant
	crashed bool
}

// NewCrashDetector returns a detector that opens connections with probe.
func NewCrashDetector(probe ProbeFunc) *CrashDetector {
	return &CrashDetector{probe: probe, probes: map[string]*probeResult{}}
}

// Crashed reports whether the endpoint that was at an address has crashed, that is whether nothing
// listens there any more. The id names the endpoint instance.
func (d *CrashDetector) Crashed(ctx context.Context, id, address string) bool {
	broke := clock.Now()
	for {
		result, first := d.probeFor(id)
		if first {
			// Others wait for the result too, so the probe continues if the first caller leaves.
			result.crashed = d.refusesConnections(context.WithoutCancel(ctx), address)
			close(result.done)
		}
		select {
		case <-result.done:
		case <-ctx.Done():
			return false
		}
		// A probe that began before the connection broke may have looked for the last time before, too.
		if result.crashed || first || result.at.Sub(broke) >= 0 {
			return result.crashed
		}
	}
}

// probeFor returns the probe result of an endpoint, and whether the caller has to make the probe.
func (d *CrashDetector) probeFor(id string) (result *probeResult, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	if recent, ok := d.probes[id]; ok && recent.holds(now) {
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

// holds reports whether the result may count for a connection that breaks now. An endpoint that was
// found alive may have crashed since.
func (p *probeResult) holds(now clock.Instant) bool {
	select {
	case <-p.done:
		return p.crashed && now.Sub(p.at) < probeTTL
	default:
		return true
	}
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
