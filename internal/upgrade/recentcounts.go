package upgrade

import (
	"time"

	"quaybarrow/internal/clock"
)

// recentSpan is the longest time for which answers count as recent; it consists of two halves. In
// counts since the order, the earlier good answers hide the failures of a version that turns bad.
// Those counts serve versions with few requests, all of whose answers since the order are few.
const recentSpan = 2 * time.Second

// recentCounts counts recent answers by route or by load level, in halves of recentSpan.
type recentCounts struct {
	newerSince   clock.Instant // start of the newer half
	newer, older map[string]VersionCounts
}

// add counts an answer.
func (r *recentCounts) add(now clock.Instant, key string, p VersionCounts) {
	r.rotate(now)
	addCounts(r.newer, key, p)
}

// rotate starts a new half if the newer one is over.
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

// counts returns the recent counts by key.
func (r *recentCounts) counts(now clock.Instant) map[string]VersionCounts {
	r.rotate(now)
	sum := map[string]VersionCounts{}
	for _, half := range []map[string]VersionCounts{r.newer, r.older} {
		for key, p := range half {
			addCounts(sum, key, p)
		}
	}
	return sum
}
