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
	// answeredRetryDelay is how long after its last crash such a part is tried again, in one request a second
	// against which nothing else counts; it doubles with each further moment. While all requests with it
	// are refused, no answer can show that it was only beside the cause.
	answeredRetryDelay = 10 * time.Second
	// minPartRequests is the number of different requests with the part among them: a request that
	// hosts and its caller repeat is at several crashes by itself.
	minPartRequests = 3
	// minUnexplainedCrashes is the number of its crashes that no other part explains: each part that was
	// beside the cause once more is at one by coincidence sooner than at two.
	minUnexplainedCrashes = 2
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
	i := slices.IndexFunc(v.Groups, func(g PartGroup) bool { return g.refuses(r) })
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
	service   string
	crashed   []string // the instances that crashed, in order of time
	first     time.Duration
	last      time.Duration
	// moments are those that are sameMoment apart, and lastMoment is the last of them.
	moments    int
	lastMoment time.Duration
	// slowMoments are those that are answeredMoment apart, and lastSlow is the last of them.
	slowMoments int
	lastSlow    time.Duration
	requests    map[uint32]int // crashes by request
}

// add adds a crash later than all before.
func (a *partAssessment) add(c Crash, run PartRun) {
	if len(a.crashed) == 0 {
		a.workspace, a.several, a.first, a.requests = run.Workspace, run.Several, c.At, map[uint32]int{}
		a.service = c.Service
	}
	if run.Several || run.Workspace != a.workspace {
		a.workspace, a.several = "", true
	}
	if len(a.crashed) == 0 || c.At-a.lastMoment >= sameMoment {
		a.moments++
		a.lastMoment = c.At
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

// countBeside returns the number of endpoints of the service that crashed without the part in the time in which
// others crashed under it.
func (a *partAssessment) countBeside(crashes []Crash) int {
	return countOtherCrashes(crashes, a.first, a.last, []string{a.service}, func(c Crash) bool { _, under := c.Parts[a.part.Key]; return under })
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

// retryAt returns when a part in quarantine is tried again.
func (a *partAssessment) retryAt() time.Duration {
	if !a.answered {
		return never
	}
	delay := answeredRetryDelay
	for n := minAnsweredMoments; n < a.slowMoments && delay < crashTTL; n++ {
		delay *= 2
	}
	return a.last + delay
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

// AttributeParts finds the parts under which endpoints crash, those at most crashes first. The crashes
// that they explain hardly count against any other part; one that is in quarantine stays there while its
// own evidence suffices, since two parts may come to the same endpoints.
func AttributeParts(e Evidence, previous PartVerdict) PartVerdict {
	v := newPartVerdict()
	all := slices.Clone(e.Crashes)
	slices.SortFunc(all, byTime)
	whole := e.assessParts(all, minPartCrashes-maxPartDifference)
	unexplained, left := all, whole
	for {
		leftByRequests := e.assessParts(e.withoutQuarantined(unexplained), minUnexplainedCrashes)
		guilty := e.strongestPart(whole, left, func(key Fingerprint, a *partAssessment) bool {
			_, found := v.groupOf(key)
			known, _ := previous.groupOf(key)
			l := left[key]
			if a.answered {
				l = leftByRequests[key]
			}
			return !found && e.isGuilty(a, l, all, len(known.Parts) == 1)
		})
		if guilty == nil {
			break
		}
		v.Groups = append(v.Groups, guilty.group(whole, v))
		unexplained = slices.DeleteFunc(slices.Clone(unexplained), func(c Crash) bool { return slices.Contains(guilty.crashed, c.Endpoint) })
		left = e.assessParts(unexplained, minUnexplainedCrashes)
	}
	for key, a := range left {
		if _, found := v.groupOf(key); !found && a.isSuspect() {
			v.Suspects[key] = struct{}{}
			if a.answered {
				v.Answered[key] = struct{}{}
			}
		}
	}
	e.suspectEmptying(v, all, unexplained)
	return v
}

// withoutQuarantined returns the crashes at which no request in quarantine ran: parts that were answered before
// come with those, and crashes under several of them would add up to what one part seems to cause.
func (e Evidence) withoutQuarantined(crashes []Crash) []Crash {
	if len(e.Quarantined) == 0 {
		return crashes
	}
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool {
		return c.hasAny(func(f Fingerprint) bool { _, quarantined := e.Quarantined[f]; return quarantined })
	})
}

// suspectEmptying makes suspects of the parts that may be why a service was without endpoints, and lists all
// others that were at crashes there as doubtful: what waited there, and what comes later, would otherwise be
// sent together to the first endpoints that return. Some of their crashes may be known to no host any more,
// and others may count against another part that ran beside them.
func (e Evidence) suspectEmptying(v PartVerdict, crashes, unexplained []Crash) {
	if len(e.Emptied) == 0 {
		return
	}
	mayBeDoubted := func(key Fingerprint, a *partAssessment) bool {
		_, quarantined := v.groupOf(key)
		return !quarantined && !a.answered && e.emptiedSince(a.service, a.first)
	}
	for key, a := range e.assessParts(crashes, minEmptyingCrashes) {
		if mayBeDoubted(key, a) {
			v.Doubtful[key] = struct{}{}
		}
	}
	for key, a := range e.assessParts(unexplained, minEmptyingCrashes) {
		if mayBeDoubted(key, a) && len(a.requests) > 1 && a.countBeside(unexplained) <= len(a.crashed) {
			v.Suspects[key] = struct{}{}
		}
	}
}

// emptiedSince reports whether a service was found without endpoints at or after a time.
func (e Evidence) emptiedSince(service string, at time.Duration) bool {
	emptied, ok := e.Emptied[service]
	return ok && emptied >= at
}

// isGuilty reports whether a part has to be refused, by all of its crashes and by those that no part
// found before explains, which are nil if there are few. One request that ran at all of its crashes but
// one, with the part or without it, is told first: if it was only beside, the crashes that go on without
// it tell so.
func (e Evidence) isGuilty(whole, left *partAssessment, crashes []Crash, known bool) bool {
	if whole.answered {
		return left != nil && left.isGuilty() && !e.requestAtAll(left, crashes)
	}
	return (known || left != nil) && whole.isGuilty() && !e.requestAtAll(whole, crashes)
}

// strongestPart returns the part with the strongest evidence left of those that are guilty, or nil if
// there is none.
func (e Evidence) strongestPart(whole, left map[Fingerprint]*partAssessment, guilty func(key Fingerprint, a *partAssessment) bool) *partAssessment {
	var strongest, strongestLeft *partAssessment
	for key, a := range whole {
		l := left[key]
		if l == nil {
			l = &partAssessment{part: a.part}
		}
		if (strongest == nil || l.compare(strongestLeft) < 0) && guilty(key, a) {
			strongest, strongestLeft = a, l
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

// group returns the part with those that can't be told from it: they were at the same crashes, in the same
// requests. Those that were answered before can, if it was not, and those that came in one request only.
func (a *partAssessment) group(assessments map[Fingerprint]*partAssessment, found PartVerdict) PartGroup {
	g := PartGroup{
		Attribution: Attribution{Crashes: len(a.crashed), First: a.first, Last: a.last}, Parts: []Part{a.part}, Workspace: a.workspace, Several: a.several,
		RetryAt: a.retryAt(),
	}
	members := []*partAssessment{a}
	for _, key := range sortedFingerprints(assessments) {
		o := assessments[key]
		if _, known := found.groupOf(key); known || o == a || (o.answered && !a.answered) || o.explainedByOneRequest() {
			continue
		}
		if a.lacks(o) <= maxPartDifference && o.lacks(a) <= maxPartDifference && o.sharesRequests(members) {
			g.Parts, members = append(g.Parts, o.part), append(members, o)
		}
	}
	return g
}

// sharesRequests reports whether the part is known to have come in one request with each of the others.
func (a *partAssessment) sharesRequests(others []*partAssessment) bool {
	return !slices.ContainsFunc(others, func(o *partAssessment) bool {
		for tag := range a.requests {
			if _, both := o.requests[tag]; both {
				return false
			}
		}
		return true
	})
}

// AttributePartsPartial attributes crashes whose evidence arrives in parts: a group is new only if a
// part of it is guilty both by all crashes and by the settled ones; one that was known stays if either
// says so. Until a group is new its parts are suspects, as are those that only the settled crashes tell.
func AttributePartsPartial(e Evidence, previous PartVerdict) PartVerdict {
	all := AttributeParts(e, previous)
	settled := e.settled()
	if len(settled.Crashes) == len(e.Crashes) {
		return all
	}
	settledOnly := AttributeParts(settled, previous)
	v := newPartVerdict()
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
	maps.Copy(v.Doubtful, all.Doubtful)
	v.suspectAll(all)
	v.suspectAll(settledOnly)
	return v
}

// suspectAll makes suspects of the parts that another verdict names and this one does not have in quarantine.
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
		}
	}
}

// overlaps reports whether a part of a group is in a group of the verdict.
func (v PartVerdict) overlaps(g PartGroup) bool {
	return slices.ContainsFunc(g.Parts, func(p Part) bool { _, known := v.groupOf(p.Key); return known })
}
