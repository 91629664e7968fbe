package upgrade

import (
	"time"

	"quaybarrow/internal/clock"
)

// recentSpan is for how long answers count as recent, two halves of it at most. Counts of
// all answers since the order hide a version that turns bad behind the good ones of before; where a
// version has few requests, all since the order are few.
const recentSpan = 2 * time.Second

// recentCounts counts answers of the last moments by route, in halves of recentSpan.
type recentCounts struct {
	newerSince   clock.Instant // when the newer half began
	newer, older map[string]VersionCounts
}

// add counts an answer.
func (r *recentCounts) add(now clock.Instant, route string, p VersionCounts) {
	r.rotate(now)
	addToRoute(r.newer, route, p)
}

// rotate begins a new half if the newer one is over.
func (r *recentCounts) rotate(now clock.Instant) {
	age := now.Sub(r.newerSince)
	if r.newer != nil && age < recentSpan/2 {
		return
	}
	r.older = r.newer
	if age >= recentSpan {
		r.older = nil
	}
	r.newer, r.newerSince = map[string]VersionCounts{}, now
}

// counts returns what is recent now, by route.
func (r *recentCounts) counts(now clock.Instant) map[string]VersionCounts {
	r.rotate(now)
	sum := map[string]VersionCounts{}
	for _, half := range []map[string]VersionCounts{r.newer, r.older} {
		for route, p := range half {
			addToRoute(sum, route, p)
		}
	}
	return sum
}
