package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

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
	// failedTests are the moments, answeredMoment apart, after the crash from which on the part goes by
	// turns, and lastTest is that crash or the last of them.
	failedTests int
	lastTest    time.Duration
	retries     int            // crashes so long after the one before that the part was tried again
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
	if len(a.crashed) > 0 && c.At-a.last >= answeredRetryDelay/2 {
		a.retries++
	}
	a.crashed, a.last = append(a.crashed, c.Endpoint), c.At
	switch n := len(a.crashed); {
	case n == minPartCrashes:
		a.lastTest = c.At
	case n > minPartCrashes && c.At-a.lastTest >= answeredMoment:
		a.failedTests++
		a.lastTest = c.At
	}
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
	if a.answered && a.slowMoments < minAnsweredMoments && a.failedTests < minFailedTests {
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
	for range a.retries {
		delay = min(delay*answeredRetryFactor, crashTTL)
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
