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
	Label          string // workspace and route
	Quarantined bool
	Crashes     int           // of endpoints that ran it, since it last came to a good end
	Chance      float64       // that it was beside them by chance
	First, Last time.Duration // crash, ago
}

// listedFrom is at how many crashes a request is listed: nearly all that were at one were
// beside it.
const listedFrom = 2

// List lists the requests in quarantine and those that a crash more may bring there, the latest
// first.
func (b *Tracker) List() []ListEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.judge()
	v := b.seen()
	now := b.clock.Now()
	var list []ListEntry
	for f, n := range v.counts {
		s := v.of(f)
		_, held := b.verdicts[f]
		if n < listedFrom || (s.moments < listedFrom && !held) {
			continue
		}
		list = append(list, ListEntry{
			Request: f, Label: v.whose(f), Quarantined: held, Crashes: s.Crashes, Chance: s.Chance, First: now - s.First, Last: now - s.Last,
		})
	}
	slices.SortFunc(list, func(a, b ListEntry) int {
		return cmp.Or(cmp.Compare(a.Last, b.Last), slices.Compare(a.Request[:], b.Request[:]))
	})
	return list
}

// QuarantinedCount counts the requests in quarantine.
func (b *Tracker) QuarantinedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.judge()
	return len(b.verdicts)
}

// whose tells a request's workspace and route; empty if nobody said.
func (v *view) whose(f Fingerprint) string {
	for _, c := range v.Crashes {
		if of := c.Under[f].Label; of != "" {
			return of
		}
	}
	return ""
}
