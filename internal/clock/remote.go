package clock

import (
	"sync"
	"time"
)

// maxDriftRate is how much a remote clock and this host's may go apart, for each second:
// quartz clocks keep within 100 parts in a million each.
const maxDriftRate = 200e-6

// Bounds are the earliest and the latest time that another host's clock may show. An
// immutable value.
type Bounds struct{ Earliest, Latest time.Duration }

// Width is how far the bounds are apart.
func (b Bounds) Width() time.Duration { return b.Latest - b.Earliest }

// Minus returns the bounds of what the clock showed so long ago.
func (b Bounds) Minus(d time.Duration) Bounds {
	return Bounds{Earliest: b.Earliest - d, Latest: b.Latest - d}
}

// Remote bounds what another host's steady clock shows now, from what it showed in
// answers (Cristian's way: it showed that at some moment between the sending of the
// question and the arrival of the answer). Each answer narrows the bounds, as in
// Marzullo's intersection; safe for use at once.
//
// A single estimate, taken as of the arrival, is behind by as long as the answer was
// on its way, and on hosts that start together sessions would be moved so much before
// half of an upgrade's time is over.
type Remote struct {
	mu     sync.Mutex // guards all below
	known  bool
	bounds Bounds // as of at
	at     Instant
}

// Observe takes in what the clock showed between two moments.
func (r *Remote) Observe(shown Bounds, sent, arrived Instant) {
	observed := Bounds{Earliest: shown.Earliest, Latest: shown.Latest + arrived.Sub(sent)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known {
		previous := r.boundsAt(arrived)
		intersection := Bounds{Earliest: max(previous.Earliest, observed.Earliest), Latest: min(previous.Latest, observed.Latest)}
		if intersection.Earliest <= intersection.Latest {
			observed = intersection
		} // else the clock is another one now
	}
	r.known, r.bounds, r.at = true, observed, arrived
}

// Now bounds what the clock shows; false before anything was heard.
func (r *Remote) Now() (Bounds, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.boundsAt(Now()), r.known
}

// boundsAt is what was heard, carried to a moment; the caller holds mu.
func (r *Remote) boundsAt(at Instant) Bounds {
	elapsed := at.Sub(r.at)
	drift := time.Duration(maxDriftRate * float64(elapsed))
	return Bounds{Earliest: r.bounds.Earliest + elapsed - drift, Latest: r.bounds.Latest + elapsed + drift}
}
