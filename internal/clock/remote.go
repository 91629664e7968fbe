package clock

import (
	"sync"
	"time"
)

// maxDriftRate is the maximum drift between a remote clock and this host's clock, in seconds per
// second: quartz clocks are accurate to within 100 parts per million each.
const maxDriftRate = 200e-6

// Bounds holds the earliest and latest possible reading of another host's clock. It is immutable.
type Bounds struct{ Earliest, Latest time.Duration }

// Width returns the difference between the bounds.
func (b Bounds) Width() time.Duration { return b.Latest - b.Earliest }

// Minus returns the bounds of the reading that the clock had d earlier.
func (b Bounds) Minus(d time.Duration) Bounds {
	return Bounds{Earliest: b.Earliest - d, Latest: b.Latest - d}
}

// Remote bounds the current reading of another host's steady clock, from the readings in that host's
// replies. As in Cristian's algorithm, a reading was taken at some time between the sending of the
// request and the arrival of the reply. Each reply narrows the bounds by intersection, as in
// Marzullo's algorithm. Remote is safe for concurrent use.
//
// A single estimate that dates the reading at the arrival of the reply is behind by the transit time
// of the reply. On hosts that start together, sessions would be moved by that much before half of an
// upgrade's time is over.
type Remote struct {
	mu     sync.Mutex // guards the fields below
	known  bool
	bounds Bounds // bounds at the instant at
	at     Instant
}

// Observe adds a reading that the clock had at some instant between sent and arrived.
func (r *Remote) Observe(shown Bounds, sent, arrived Instant) {
	observed := Bounds{Earliest: shown.Earliest, Latest: shown.Latest + arrived.Sub(sent)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known {
		previous := r.boundsAt(arrived)
		intersection := Bounds{Earliest: max(previous.Earliest, observed.Earliest), Latest: min(previous.Latest, observed.Latest)}
		if intersection.Earliest <= intersection.Latest {
			observed = intersection
		} // otherwise the remote clock was replaced, and the old bounds are void
	}
	r.known, r.bounds, r.at = true, observed, arrived
}

// Now returns the bounds of the current reading, and false before the first Observe.
func (r *Remote) Now() (Bounds, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.boundsAt(Now()), r.known
}

// boundsAt extrapolates the bounds to an instant. The caller holds mu.
func (r *Remote) boundsAt(at Instant) Bounds {
	elapsed := at.Sub(r.at)
	drift := time.Duration(maxDriftRate * float64(elapsed))
	return Bounds{Earliest: r.bounds.Earliest + elapsed - drift, Latest: r.bounds.Latest + elapsed + drift}
}
