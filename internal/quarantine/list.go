package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// ListEntry describes, for operators, a request that is or may be crashing endpoints; an immutable
// value.
type ListEntry struct {
	Request     Fingerprint
	Label       string // workspace and route, or the parts of prompts that the entry is of
	Quarantined bool
	Crashes     int           // endpoints that crashed while they ran it, since it last completed
	Chance      float64       // probability that it ran at all of them by coincidence
	First, Last time.Duration // time since the first and the last crash
}

// minListedMoments is the number of crashes at which a request is listed: nearly all requests that
// were at a single crash did not cause it.
const minListedMoments = 2

// List returns the requests in quarantine and those that one more crash may put there, the latest
// crash first.
func (t *Tracker) List() []ListEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	v := t.view()
	now := t.clock.Now()
	var list []ListEntry
	for f, n := range v.crashCounts {
		s := v.assessRequest(f)
		_, quarantined := t.quarantined[f]
		if n < minListedMoments || (s.moments < minListedMoments && !quarantined) {
			continue
		}
		list = append(list, ListEntry{
			Request: f, Label: v.label(f), Quarantined: quarantined, Crashes: s.Crashes, Chance: s.Chance, First: now - s.First, Last: now - s.Last,
		})
	}
	for _, g := range t.parts.Groups {
		list = append(list, ListEntry{Request: g.Parts[0].Key, Label: g.label(), Quarantined: true, Crashes: g.Crashes, First: now - g.First, Last: now - g.Last})
	}
	slices.SortFunc(list, func(a, b ListEntry) int {
		return cmp.Or(cmp.Compare(a.Last, b.Last), slices.Compare(a.Request[:], b.Request[:]))
	})
	return list
}

// QuarantinedCount returns the number of requests and sets of parts in quarantine.
func (t *Tracker) QuarantinedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return len(t.quarantined) + len(t.parts.Groups)
}

// label returns a request's workspace and route, or "" if no host reported them.
func (v *mergedView) label(f Fingerprint) string {
	for _, c := range v.Crashes {
		if label := c.Runs[f].Label; label != "" {
			return label
		}
	}
	return ""
}
