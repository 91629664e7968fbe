package quarantine

import (
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
	// minFailedTests is the number of failed tests that are enough too. A test is a request with the part,
	// against which nothing else counts, sent alone; it fails if its endpoint crashes.
	minFailedTests = 2
	// minEmptiedMoments is the number of moments that are enough where the service was without endpoints
	// since the first crash, so that some crashes may not be known: the first moment, and failed tests.
	minEmptiedMoments = 1 + minFailedTests
	// answeredRetryDelay is how long after its last crash a part that was answered before is tested again; the
	// time grows by answeredRetryFactor with each such test that fails. Refused for good, a sound part could
	// get no answer that clears it.
	answeredRetryDelay  = 10 * time.Second
	answeredRetryFactor = 10
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
		leftByRequests := left
		if len(e.Quarantined) > 0 {
			leftByRequests = e.assessParts(e.withoutQuarantined(unexplained), minUnexplainedCrashes)
		}
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
			v.suspect(key, a)
		}
	}
	e.suspectEmptying(v, all, unexplained)
	return v
}

// withoutQuarantined returns the crashes at which no request in quarantine ran. A sound part may be in several of
// those requests, so that their crashes together would count against it.
func (e Evidence) withoutQuarantined(crashes []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool {
		return c.hasAny(func(f Fingerprint) bool { _, quarantined := e.Quarantined[f]; return quarantined })
	})
}

// isGuilty reports whether a part has to be refused, by all of its crashes and by those that no part
// found before explains, which are nil if there are few. One request that ran at all of its crashes but
// one, with the part or without it, is told first: if it was only beside, the crashes that go on without
// it tell so.
func (e Evidence) isGuilty(whole, left *partAssessment, crashes []Crash, known bool) bool {
	if whole.answered {
		return left != nil && (left.isGuilty() || e.failedSinceEmptied(left)) && !e.requestAtAll(left, crashes)
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
