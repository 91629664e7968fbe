package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// ListEntry is what operators see of a request that endpoints crash under, or may; an immutable
// value.
type ListEntry struct {
	Request     Fingerprint
	Label       string // workspace and route
	Quarantined bool
	Crashes     int           // of endpoints that ran it, since it last came to a good end
	Chance      float64       // that it was beside them by chance
	First, Last time.Duration // crash, ago
}

// minListedMoments is at how many crashes a request is listed: nearly all that were at one were
// beside it.
const minListedMoments = 2

// List lists the requests in quarantine and those that a crash more may bring there, the latest
// first.
func (t *Tracker) List() []ListEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	v := t.view()
	now := t.clock.Now()
	var list []ListEntry
	for f, n := range v.crashCounts {
		s := v.assessRequest(f)
		_, held := t.quarantined[f]
		if n < minListedMoments || (s.moments < minListedMoments && !held) {
			continue
		}
		list = append(list, ListEntry{
			Request: f, Label: v.label(f), Quarantined: held, Crashes: s.Crashes, Chance: s.Chance, First: now - s.First, Last: now - s.Last,
		})
	}
	slices.SortFunc(list, func(a, b ListEntry) int {
		return cmp.Or(cmp.Compare(a.Last, b.Last), slices.Compare(a.Request[:], b.Request[:]))
	})
	return list
}

// QuarantinedCount counts the requests in quarantine.
func (t *Tracker) QuarantinedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return len(t.quarantined)
}

// label tells a request's workspace and route; empty if nobody said.
func (v *mergedView) label(f Fingerprint) string {
	for _, c := range v.Crashes {
		if of := c.Runs[f].Label; of != "" {
			return of
		}
	}
	return ""
}
