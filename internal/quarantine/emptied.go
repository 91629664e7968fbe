package quarantine

import (
	"slices"
	"time"
)

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
		return !quarantined && e.emptiedSince(a.service, a.first)
	}
	for key, a := range e.assessParts(crashes, minEmptyingCrashes) {
		if mayBeDoubted(key, a) && !a.answered {
			v.Doubtful[key] = struct{}{}
		}
	}
	for key, a := range e.assessParts(unexplained, minEmptyingCrashes) {
		if mayBeDoubted(key, a) && len(a.requests) > 1 && a.countBeside(unexplained) <= len(a.crashed) {
			v.suspect(key, a)
		}
	}
}

// failedSinceEmptied reports whether endpoints have crashed under a part that was answered before at so many
// moments since it may have emptied its service.
func (e Evidence) failedSinceEmptied(a *partAssessment) bool {
	return a.slowMoments >= minEmptiedMoments && len(a.requests) >= minPartRequests && e.emptiedSince(a.service, a.first)
}

// emptiedSince reports whether a service was found without endpoints at or after a time.
func (e Evidence) emptiedSince(service string, at time.Duration) bool {
	emptied, ok := e.Emptied[service]
	return ok && emptied >= at
}

// ServiceEmptied notes that a request has found no endpoint of a service.
func (t *Tracker) ServiceEmptied(service string) {
	if !t.HasEvidence() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.emptied[service] <= t.view().lastCrash() {
		t.upToDate = false
	}
	t.emptied[service] = t.clock.Now()
}

// doubt names what of a request is doubtful; empty if nothing is. The caller holds mu.
func (t *Tracker) doubt(r Request) string {
	if key, doubtful := t.parts.doubtful(r); doubtful {
		return key.String()
	}
	v := t.view()
	for _, p := range r.Parts {
		if _, released := t.released[p.Key]; released && v.partCounts[p.Key] > 0 {
			return p.Key.String()
		}
	}
	if v.crashCounts[r.Fingerprint] == 0 {
		return ""
	}
	s := v.assess(r.Fingerprint, v.Crashes)
	if _, released := t.released[r.Fingerprint]; s.moments > 0 && (s.emptied || released) {
		return r.Fingerprint.String()
	}
	return ""
}

// allAnswered reports whether answers on all parts of a request ended whole in the minutes before; the caller
// holds mu.
func (t *Tracker) allAnswered(r Request) bool {
	now := t.clock.Now()
	return !slices.ContainsFunc(r.Parts, func(p Part) bool {
		_, answered := t.answered.early(p.Key, now)
		_, told := t.view().answered[p.Key]
		return !answered && !told
	})
}

// lastCrash returns the time of the last crash; 0 if there is none.
func (v *mergedView) lastCrash() time.Duration {
	if len(v.Crashes) == 0 {
		return 0
	}
	return v.Crashes[len(v.Crashes)-1].At
}
