package quarantine

import (
	"maps"
	"slices"
	"time"
)

// PartGroup is a set of parts, always in the same requests, under which endpoints crash: nothing tells
// which of them is the cause. An immutable value.
type PartGroup struct {
	Attribution
	Parts     []Part
	Workspace string // in whose requests they were
	Several   bool   // in those of several workspaces
	// RetryAt is when they are tried again; never, unless answers on them ended whole before.
	RetryAt time.Duration
}

// refuses reports whether a request must not be sent to endpoints.
func (g PartGroup) refuses(r Request) bool {
	return g.has(r, len(g.Parts)) && (g.Several || g.Workspace == r.Workspace)
}

// has reports whether a request has at least n of the parts.
func (g PartGroup) has(r Request, n int) bool {
	for _, p := range r.Parts {
		if g.contains(p.Key) {
			n--
		}
	}
	return n <= 0
}

func (g PartGroup) contains(key Fingerprint) bool {
	return slices.ContainsFunc(g.Parts, func(p Part) bool { return p.Key == key })
}

// PartVerdict is the outcome of attributing crashes to parts; an immutable value.
type PartVerdict struct {
	Groups []PartGroup
	// Suspects are parts under which as many endpoints have crashed, at too few moments or under too
	// few requests to tell them from others.
	Suspects map[Fingerprint]struct{}
	// Answered are those of the suspects on which answers ended whole in the minutes before.
	Answered map[Fingerprint]struct{}
	// Doubtful are parts at crashes of services that were without endpoints since, of which no answer has
	// ended.
	Doubtful map[Fingerprint]struct{}
}

// newPartVerdict returns a verdict that names no part.
func newPartVerdict() PartVerdict {
	return PartVerdict{Suspects: map[Fingerprint]struct{}{}, Answered: map[Fingerprint]struct{}{}, Doubtful: map[Fingerprint]struct{}{}}
}

// refusing returns the group for which a request is refused; false if there is none.
func (v PartVerdict) refusing(r Request) (PartGroup, bool) {
	return v.firstGroup(func(g PartGroup) bool { return g.refuses(r) })
}

// firstGroup returns the first group for which match returns true; false if there is none.
func (v PartVerdict) firstGroup(match func(g PartGroup) bool) (PartGroup, bool) {
	i := slices.IndexFunc(v.Groups, match)
	if i < 0 {
		return PartGroup{}, false
	}
	return v.Groups[i], true
}

// onlyAnswered reports whether all parts of a request that count against it were answered before, so that it may
// show whether they were only beside the cause.
func (v PartVerdict) onlyAnswered(r Request) bool {
	return !slices.ContainsFunc(r.Parts, func(p Part) bool {
		_, suspect := v.Suspects[p.Key]
		_, answered := v.Answered[p.Key]
		_, doubtful := v.Doubtful[p.Key]
		g, refused := v.groupOf(p.Key)
		return (suspect && !answered) || doubtful || (refused && g.RetryAt == never)
	})
}

// underTest reports whether a part of a request is tested by others, against which nothing else counts.
func (v PartVerdict) underTest(r Request) bool {
	return slices.ContainsFunc(r.Parts, func(p Part) bool { _, answered := v.Answered[p.Key]; return answered })
}

// suspects reports whether a request that is not refused may crash endpoints: what becomes of it
// tells its parts from others.
func (v PartVerdict) suspects(r Request) bool {
	for _, p := range r.Parts {
		if _, ok := v.Suspects[p.Key]; ok {
			return true
		}
	}
	return slices.ContainsFunc(v.Groups, func(g PartGroup) bool { return g.has(r, 1) })
}

// doubtful returns the last part of a request that is doubtful; false if there is none. What parts have in
// common is in front, so the last one is in the fewest requests.
func (v PartVerdict) doubtful(r Request) (Fingerprint, bool) {
	for _, p := range slices.Backward(r.Parts) {
		if _, ok := v.Doubtful[p.Key]; ok {
			return p.Key, true
		}
	}
	return Fingerprint{}, false
}

// groupOf returns the group that contains a part.
func (v PartVerdict) groupOf(key Fingerprint) (PartGroup, bool) {
	return v.firstGroup(func(g PartGroup) bool { return g.contains(key) })
}

// explains reports whether a crash is explained by the parts in quarantine.
func (v PartVerdict) explains(c Crash) bool {
	return slices.ContainsFunc(v.Groups, func(g PartGroup) bool { return g.explains(c) })
}

func (g PartGroup) explains(c Crash) bool {
	for _, p := range g.Parts {
		if _, under := c.Parts[p.Key]; !under {
			return false
		}
	}
	return true
}

// suspect makes a part a suspect, while the verdict is being made.
func (v PartVerdict) suspect(key Fingerprint, a *partAssessment) {
	v.Suspects[key] = struct{}{}
	if a.answered {
		v.Answered[key] = struct{}{}
	}
}

// suspectAll makes suspects of the parts that another verdict names and this one does not have in quarantine, while
// this one is being made.
func (v PartVerdict) suspectAll(o PartVerdict) {
	suspect := func(key Fingerprint) {
		if _, quarantined := v.groupOf(key); !quarantined {
			v.Suspects[key] = struct{}{}
		}
	}
	for key := range o.Suspects {
		suspect(key)
	}
	maps.Copy(v.Answered, o.Answered)
	for _, g := range o.Groups {
		for _, p := range g.Parts {
			suspect(p.Key)
			if g.RetryAt != never {
				v.Answered[p.Key] = struct{}{}
			}
		}
	}
}

// overlaps reports whether a part of a group is in a group of the verdict.
func (v PartVerdict) overlaps(g PartGroup) bool {
	return slices.ContainsFunc(g.Parts, func(p Part) bool { _, known := v.groupOf(p.Key); return known })
}
