package upgrade

import (
	"time"

	"quaybarrow/internal/clock"
)

// recentSpan is for how long answers count as recent, two halves of it at most. Counts of
// all answers since the order hide a version that turns bad behind the good ones of before; where a
// version has few requests, all since the order are few.
const recentSpan = 2 * time.Second

// recently counts answers of the last moments by route, in halves of recentSpan.
type recently struct {
	since        clock.Instant // when the newer half began
	newer, older map[string]Pair
}

// add counts an answer.
func (r *recently) add(now clock.Instant, route string, p Pair) {
	r.roll(now)
	addTo(r.newer, route, p)
}

// roll begins a new half if the newer one is over.
func (r *recently) roll(now clock.Instant) {
	age := now.Sub(r.since)
	if r.newer != nil && age < recentSpan/2 {
		return
	}
	r.older = r.newer
	if age >= recentSpan {
		r.older = nil
	}
	r.newer, r.since = map[string]Pair{}, now
}

// counts returns what is recent now, by route.
func (r *recently) counts(now clock.Instant) map[string]Pair {
	r.roll(now)
	sum := map[string]Pair{}
	for _, half := range []map[string]Pair{r.newer, r.older} {
		for route, p := range half {
			addTo(sum, route, p)
		}
	}
	return sum
}
