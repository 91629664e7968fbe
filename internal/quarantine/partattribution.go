package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Parameters of the attribution of crashes to parts of prompts.
const (
	// minPartCrashes is the number of crashes at which a part is refused; the user requirements allow
	// five.
	minPartCrashes = 5
	// minAnsweredMoments is the number of moments, answeredMoment apart at least, at which endpoints have
	// to crash under a part on which answers ended whole in the minutes before: several parts under which
	// endpoints crash may come with it, and leave no endpoint that answers. From minPartCrashes on,
	// requests with it go by turns, one a second.
	minAnsweredMoments = 5
	answeredMoment     = 500 * time.Millisecond
	// minPartRequests is the number of different requests with the part among them: a request that
	// hosts and its caller repeat is at several crashes by itself.
	minPartRequests = 3
	// maxPartDifference is the number of crashes by which parts may differ that can't be told from each
	// other: one crash may be a coincidence, or its report may be missing.
	maxPartDifference = 1
)

// PartGroup is a set of parts, always in the same requests, under which endpoints crash: nothing tells
// which of them is the cause. An immutable value.
type PartGroup struct {
	Attribution
	Parts     []Part
	Workspace string // in whose requests they were
	Several   bool   // in those of several workspaces
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
}

// refusing returns the group for which a request is refused; false if there is none.
func (v PartVerdict) refusing(r Request) (PartGroup, bool) {
	i := slices.IndexFunc(v.Groups, func(g PartGroup) bool { return g.refuses(r) })
	if i < 0 {
		return PartGroup{}, false
	}
	return v.Groups[i], true
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

// groupOf returns the group that contains a part.
func (v PartVerdict) groupOf(key Fingerprint) (PartGroup, bool) {
	i := slices.IndexFunc(v.Groups, func(g PartGroup) bool { return g.contains(key) })
	if i < 0 {
		return PartGroup{}, false
	}
	return v.Groups[i], true
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

// partAssessment is the evidence against a part since the last answer on it.
type partAssessment struct {
	part      Part
	answered  bool // answers on it ended whole in the minutes before
	workspace string
	several   bool
	crashed   []string // the instances that crashed, in order of time
	first     time.Duration
	last      time.Duration
	moments   int
	// slowMoments are those that are answeredMoment apart, and lastSlow is the last of them.
	slowMoments int
	lastSlow    time.Duration
	requests    map[uint32]int // crashes by request
}

// add adds a crash later than all before.
func (a *partAssessment) add(c Crash, run PartRun) {
	if len(a.crashed) == 0 {
		a.workspace, a.several, a.first, a.requests = run.Workspace, run.Several, c.At, map[uint32]int{}
	}
	if run.Several || run.Workspace != a.workspace {
		a.workspace, a.several = "", true
	}
	if len(a.crashed) == 0 || c.At-a.last >= sameMoment {
		a.moments++
	}
	if len(a.crashed) == 0 || c.At-a.lastSlow >= answeredMoment {
		a.slowMoments++
		a.lastSlow = c.At
	}
	a.crashed, a.last = append(a.crashed, c.Endpoint), c.At
	for _, tag := range run.Requests {
		a.requests[tag]++
	}
}

// explainedByOneRequest reports whether one request was at all crashes but one: then it is the cause,
// or it was beside the cause each time that it was repeated.
func (a *partAssessment) explainedByOneRequest() bool {
	for _, n := range a.requests {
		if n >= len(a.crashed)-1 {
			return true
		}
	}
	return false
}

// isSuspect reports whether as many endpoints have crashed under the part as a verdict needs.
func (a *partAssessment) isSuspect() bool {
	return len(a.crashed) >= minPartCrashes && !a.explainedByOneRequest()
}

// isGuilty reports whether the evidence suffices.
func (a *partAssessment) isGuilty() bool {
	if a.answered && a.slowMoments < minAnsweredMoments {
		return false
	}
	return a.isSuspect() && a.moments >= minMoments && len(a.requests) >= minPartRequests
}

// lacks returns the number of crashes at which the part was, and the other was not.
func (a *partAssessment) lacks(other *partAssessment) int {
	n := 0
	for _, endpoint := range a.crashed {
		if !slices.Contains(other.crashed, endpoint) {
			n++
		}
	}
	return n
}

// assessParts returns the evidence against each part that is at minCrashes or more, by its key. Crashes
// are in order of time.
func (e Evidence) assessParts(crashes []Crash, minCrashes int) map[Fingerprint]*partAssessment {
	counts := countParts(crashes, e.Cleared)
	maps.DeleteFunc(counts, func(_ Fingerprint, n int) bool { return n < minCrashes })
	assessments := make(map[Fingerprint]*partAssessment, len(counts))
	if len(counts) == 0 {
		return assessments
	}
	for _, c := range crashes {
		for key, run := range c.Parts {
			if _, wanted := counts[key]; !wanted {
				continue
			}
			if at, ok := e.Cleared[key]; ok && at >= c.At {
				continue
			}
			a := assessments[key]
			if a == nil {
				a = &partAssessment{part: Part{Key: key, Label: run.Label}, answered: e.answered(key, c.At)}
				assessments[key] = a
			}
			a.add(c, run)
		}
	}
	return assessments
}

// answered reports whether answers on a part ended whole in the minutes before its first crash, and so
// long before that the crash was not theirs.
func (e Evidence) answered(key Fingerprint, firstCrash time.Duration) bool {
	if e.Answered == nil {
		return false
	}
	at, known := e.Answered(key)
	return known && at <= firstCrash-livedAfter
}

// AttributeParts finds the parts under which endpoints crash, those at most crashes first; the crashes
// that they explain no longer count against any other part.
func AttributeParts(e Evidence) PartVerdict {
	v := PartVerdict{Suspects: map[Fingerprint]struct{}{}}
	unexplained := slices.Clone(e.Crashes)
	slices.SortFunc(unexplained, byTime)
	for {
		assessments := e.assessParts(unexplained, minPartCrashes-maxPartDifference)
		guilty := e.strongestPart(assessments, unexplained)
		if guilty == nil {
			for key, a := range assessments {
				if a.isSuspect() {
					v.Suspects[key] = struct{}{}
				}
			}
			return v
		}
		g := guilty.group(assessments)
		v.Groups = append(v.Groups, g)
		unexplained = slices.DeleteFunc(unexplained, func(c Crash) bool { return slices.Contains(guilty.crashed, c.Endpoint) })
	}
}

// strongestPart returns the guilty part with the strongest evidence, or nil if there is none. One
// request that ran at all of its crashes but one, with the part or without it, is told first: if it was
// only beside, the crashes that go on without it tell so.
func (e Evidence) strongestPart(assessments map[Fingerprint]*partAssessment, crashes []Crash) *partAssessment {
	var strongest *partAssessment
	for _, a := range assessments {
		if a.isGuilty() && (strongest == nil || a.compare(strongest) < 0) && !e.requestAtAll(a, crashes) {
			strongest = a
		}
	}
	return strongest
}

// requestAtAll reports whether one request ran at all crashes of a part but one.
func (e Evidence) requestAtAll(a *partAssessment, crashes []Crash) bool {
	counts := map[Fingerprint]int{}
	for _, c := range crashes {
		if !slices.Contains(a.crashed, c.Endpoint) {
			continue
		}
		for f := range c.Runs {
			if e.completedSince(f, c.At) {
				continue
			}
			if counts[f]++; counts[f] >= len(a.crashed)-1 {
				return true
			}
		}
	}
	return false
}

// partAtAll reports whether a part that was not answered before was at all crashes of a request, in
// other requests: then that may be the cause.
func (e Evidence) partAtAll(s assessment, parts map[Fingerprint]*partAssessment) bool {
	tag := Request{Fingerprint: s.request}.tag()
	for _, a := range parts {
		others := len(a.requests)
		if _, own := a.requests[tag]; own {
			others--
		}
		if others >= 2 && !a.answered && !slices.ContainsFunc(s.crashed, func(endpoint string) bool { return !slices.Contains(a.crashed, endpoint) }) {
			return true
		}
	}
	return false
}

// compare puts the part with more evidence against it first, and those that were answered before last.
func (a *partAssessment) compare(o *partAssessment) int {
	return cmp.Or(compareBool(a.answered, o.answered), cmp.Compare(len(o.crashed), len(a.crashed)), cmp.Compare(o.moments, a.moments), slices.Compare(a.part.Key[:], o.part.Key[:]))
}

// group returns the part with those that can't be told from it. Those that were answered before can, if
// it was not, and those that came in one request only.
func (a *partAssessment) group(assessments map[Fingerprint]*partAssessment) PartGroup {
	g := PartGroup{
		Attribution: Attribution{Crashes: len(a.crashed), First: a.first, Last: a.last}, Parts: []Part{a.part}, Workspace: a.workspace, Several: a.several,
	}
	for _, key := range sortedFingerprints(assessments) {
		o := assessments[key]
		if (o.answered && !a.answered) || o.explainedByOneRequest() {
			continue
		}
		if o != a && a.lacks(o) <= maxPartDifference && o.lacks(a) <= maxPartDifference {
			g.Parts = append(g.Parts, o.part)
		}
	}
	return g
}

// AttributePartsPartial attributes crashes whose evidence arrives in parts: a group is new only if a
// part of it is guilty both by all crashes and by the settled ones; one that was known stays if either
// says so.
func AttributePartsPartial(e Evidence, previous PartVerdict) PartVerdict {
	all := AttributeParts(e)
	settled := e.settled()
	if len(settled.Crashes) == len(e.Crashes) {
		return all
	}
	settledOnly := AttributeParts(settled)
	v := PartVerdict{Suspects: all.Suspects}
	for _, g := range all.Groups {
		if settledOnly.overlaps(g) || previous.overlaps(g) {
			v.Groups = append(v.Groups, g)
		}
	}
	for _, g := range settledOnly.Groups {
		if previous.overlaps(g) && !v.overlaps(g) {
			v.Groups = append(v.Groups, g)
		}
	}
	return v
}

// overlaps reports whether a part of a group is in a group of the verdict.
func (v PartVerdict) overlaps(g PartGroup) bool {
	return slices.ContainsFunc(g.Parts, func(p Part) bool { _, known := v.groupOf(p.Key); return known })
}
