package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Crash is the crash of an endpoint, with the requests that ran there; an immutable value.
type Crash struct {
	Endpoint  string        // the endpoint instance, that is one start of the endpoint
	Service   string        // the endpoint's service
	At        time.Duration // on a steady clock
	UpdatedAt time.Duration // when this host last learned of a request that ran there
	Runs      map[Fingerprint]Run
	Parts     map[Fingerprint]PartRun // parts of the prompts of requests that had only just begun, or had not
	Trimmed   bool                    // Runs are not all known any more
}

// Run is the run of a request at an endpoint that ended with the endpoint's crash; an immutable
// value.
type Run struct {
	Lasted         time.Duration // since the request was sent there
	ResponseLasted time.Duration // since the header of its response; 0 if none had arrived
	Copies         int           // responses to the same request that were in progress at other endpoints, as its host saw
	Label          string        // the request's workspace and route, for operators
}

// Max returns the field-wise maximum of two runs.
func (r Run) Max(o Run) Run {
	return Run{Lasted: max(r.Lasted, o.Lasted), ResponseLasted: max(r.ResponseLasted, o.ResponseLasted), Copies: max(r.Copies, o.Copies), Label: cmp.Or(r.Label, o.Label)}
}

// Parameters of crash attribution.
const (
	// minMoments is the number of crashes at which a request can be told from those that ran beside
	// it by chance; the user requirements allow three.
	minMoments = 3
	// certainMoments is the number of crashes from which on one of several indistinguishable
	// requests is selected: requests with the same caller and prompt go to the same endpoints again
	// and again. A request that gets this far without completing once has been sent by its caller at
	// least twice.
	certainMoments = 5
	// maxChance is the highest probability of coincidence, that is that a request was at all of its
	// crashes by chance, at which it is quarantined.
	maxChance = 1e-4
	// sameMoment is the minimum time between two crashes that count as separate evidence: the
	// endpoints of a rack fail at the same moment. A request that is retried after a crash cannot
	// crash the next endpoint sooner, because of its way there and the probe of the endpoint before.
	sameMoment = 30 * time.Millisecond
	// priorCrashes stands for the coincidental crash that was about to happen: without it, no crash
	// could be a coincidence before the first one that is not the request's.
	priorCrashes = 0.5
	// recentWindow is the minimum time over which crashes that are not the request's are counted.
	recentWindow = 10 * time.Second
	// minExposure is the shortest time for which a request counts as running at an endpoint: one that is
	// sent just after a crash, before its host has noticed it, ran for no time at all.
	minExposure = 25 * time.Millisecond
	// minRateWindow is the shortest time over which a crash rate is computed.
	minRateWindow = 10 * time.Millisecond
)

// Evidence is what is known of crashes.
type Evidence struct {
	Crashes []Crash
	// Completed has the time at which each request last completed; the request did not cause crashes
	// before that.
	Completed map[Fingerprint]time.Duration
	// Cleared has the time at which an answer on each part of prompts last showed that its endpoint
	// does not crash.
	Cleared map[Fingerprint]time.Duration
	// Answered returns a time at which an answer on a part ended whole, an early one; false if none did
	// lately.
	Answered func(part Fingerprint) (time.Duration, bool)
	// CountEndpoints returns the number of endpoints of a service.
	CountEndpoints func(service string) int
	Quarantined    map[Fingerprint]Attribution // the previous attributions
	Parts          PartVerdict                 // crashes that it explains count against no request
	Emptied        map[string]time.Duration    // when each service was last found without endpoints
	Now            time.Duration
}

// Attribution describes a request that crashes endpoints; an immutable value.
type Attribution struct {
	Crashes int           // endpoints that crashed while they ran it
	Chance  float64       // probability that it ran at all of them by coincidence
	First   time.Duration // first crash
	Last    time.Duration // last crash
}

// Attribute finds the requests that crash the endpoints that run them. It selects the request with
// the strongest evidence first; the crashes that this request explains no longer count against any
// other.
func Attribute(e Evidence) map[Fingerprint]Attribution {
	attributions := map[Fingerprint]Attribution{}
	unexplained := slices.DeleteFunc(slices.Clone(e.Crashes), e.Parts.explains)
	slices.SortFunc(unexplained, byTime)
	for {
		s, ok := e.strongestSuspect(unexplained)
		if !ok {
			return attributions
		}
		attributions[s.request] = s.Attribution
		unexplained = slices.DeleteFunc(unexplained, func(c Crash) bool { _, under := c.Runs[s.request]; return under })
	}
}

// Delays until a crash may put a request into quarantine. Hosts report one after the other what ran
// there, so that harmless requests beside the one that crashes endpoints may be known before it is.
const (
	// settleDelay is counted from a crash that hosts reported at once.
	settleDelay = 2 * batchDelay
	// lateSettleDelay is counted from the last report of a crash that hosts learned of from the
	// endpoint list, which reaches them at different times.
	lateSettleDelay = 400 * time.Millisecond
	// lateThreshold is the time after a crash from which on its reports are handled as late.
	lateThreshold = time.Second
)

// settlesAt returns the time at which the crash begins to count against requests that are not
// quarantined yet, unless more is reported of it before.
func (c Crash) settlesAt() time.Duration {
	if c.UpdatedAt-c.At >= lateThreshold {
		return c.UpdatedAt + lateSettleDelay
	}
	return c.At + settleDelay
}

// addsTo reports whether the crash has requests or parts that another report of it lacks.
func (c Crash) addsTo(other Crash) bool {
	for f := range c.Runs {
		if _, known := other.Runs[f]; !known {
			return true
		}
	}
	for key := range c.Parts {
		if _, known := other.Parts[key]; !known {
			return true
		}
	}
	return false
}

// never is later than all readings of a steady clock.
const never = time.Duration(math.MaxInt64)

// nextSettles returns the time at which the next crash settles, or never if all have.
func (e Evidence) nextSettles() time.Duration {
	next := never
	for _, c := range e.Crashes {
		if at := c.settlesAt(); at > e.Now {
			next = min(next, at)
		}
	}
	return next
}

// settled returns the evidence without the crashes of which more may be reported.
func (e Evidence) settled() Evidence {
	e.Crashes = slices.DeleteFunc(slices.Clone(e.Crashes), func(c Crash) bool { return c.settlesAt() > e.Now })
	return e
}

// AttributePartial attributes crashes whose evidence arrives in parts. A request is newly
// quarantined only if Attribute selects it both from all crashes and from the settled ones alone; it
// stays quarantined if either selects it.
func AttributePartial(e Evidence) map[Fingerprint]Attribution {
	all := Attribute(e)
	settled := e.settled()
	if len(settled.Crashes) == len(e.Crashes) {
		return all
	}
	attributions, settledOnly := map[Fingerprint]Attribution{}, Attribute(settled)
	for f, v := range all {
		_, inSettled := settledOnly[f]
		if _, quarantined := e.Quarantined[f]; inSettled || quarantined {
			attributions[f] = v
		}
	}
	for f, v := range settledOnly {
		_, known := attributions[f]
		if _, quarantined := e.Quarantined[f]; quarantined && !known {
			attributions[f] = v
		}
	}
	return attributions
}

// assessment is the evidence against a request.
type assessment struct {
	Attribution
	request      Fingerprint
	moments      int      // number of separate moments at which endpoints crashed
	crashed      []string // the instances that crashed
	otherCrashes int      // endpoints of the same services that crashed in that time without the request
	emptied      bool     // its service has been found without endpoints since the first of them
}

// strongestSuspect returns the request with the strongest evidence against it, if that is
// sufficient.
func (e Evidence) strongestSuspect(unexplained []Crash) (assessment, bool) {
	var found []assessment
	for f := range countCrashes(unexplained, minMoments) {
		if s := e.assess(f, unexplained); s.moments >= minMoments && (s.Chance <= maxChance || s.moments >= certainMoments) {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b assessment) int {
		return cmp.Or(cmp.Compare(b.moments, a.moments), cmp.Compare(a.Chance, b.Chance), slices.Compare(a.request[:], b.request[:]))
	})
	if len(found) == 0 {
		return assessment{}, false
	}
	parts := e.assessParts(unexplained, minMoments)
	for i, s := range found {
		if s.moments >= certainMoments || (!slices.ContainsFunc(found[i+1:], s.sameCrashes) && !e.partAtAll(s, parts)) {
			return s, true
		}
	}
	return assessment{}, false
}

// sameCrashes reports whether another request ran at the same crashes.
func (s assessment) sameCrashes(other assessment) bool { return slices.Equal(s.crashed, other.crashed) }

// countCrashes returns the number of crashes of each request that ran at minCount crashes or more.
func countCrashes(crashes []Crash, minCount int) map[Fingerprint]int {
	counts := map[Fingerprint]int{}
	for _, c := range crashes {
		for f := range c.Runs {
			counts[f]++
		}
	}
	for f, n := range counts {
		if n < minCount {
			delete(counts, f)
		}
	}
	return counts
}

// assess computes the evidence against a request: the probability that at each crash the endpoint
// crashed by coincidence while the request ran there, from the rate of other crashes, the time for
// which the request runs and the number of its copies that ran elsewhere. Crashes are in order of time.
func (e Evidence) assess(f Fingerprint, crashes []Crash) assessment {
	s := assessment{request: f}
	var relevant []Crash
	for _, c := range crashes {
		if _, under := c.Runs[f]; under && !e.completedSince(f, c.At) {
			relevant = append(relevant, c)
			s.crashed = append(s.crashed, c.Endpoint)
		}
	}
	if len(relevant) == 0 {
		return s
	}
	last := relevant[len(relevant)-1].At
	s.Attribution = Attribution{Crashes: len(relevant), Chance: 1, First: relevant[0].At, Last: last}
	rate := max(otherCrashRate(f, crashes, relevant[0].At-relevant[0].Runs[f].Lasted, last), otherCrashRate(f, crashes, last-recentWindow, last))
	lastMoment := time.Duration(math.MinInt64 / 2)
	momentChance := 1.0 // probability of coincidence at the current moment
	exposure := longestRun(f, relevant)
	for _, c := range relevant {
		run := c.Runs[f]
		coincidence := 1 - math.Exp(-rate/float64(max(e.CountEndpoints(c.Service), 1))*exposure.Seconds()*float64(1+run.Copies))
		if c.At-lastMoment < sameMoment {
			momentChance = max(momentChance, coincidence)
			continue
		}
		s.Chance *= momentChance
		momentChance, lastMoment = coincidence, c.At
		s.moments++
	}
	s.Chance *= momentChance
	services := make([]string, len(relevant))
	for i, c := range relevant {
		services[i] = c.Service
	}
	s.emptied = e.emptiedSince(relevant[0].Service, relevant[0].At)
	s.otherCrashes = countOtherCrashes(crashes, relevant[0].At, last, services, func(c Crash) bool { _, under := c.Runs[f]; return under })
	return s
}

// longestRun returns the longest run of a request at crashes. It stands for all its runs: that one
// had only just begun when its endpoint crashed makes a coincidence no less likely.
func longestRun(f Fingerprint, crashes []Crash) time.Duration {
	longest := minExposure
	for _, c := range crashes {
		longest = max(longest, c.Runs[f].Lasted)
	}
	return longest
}

// countOtherCrashes returns the number of endpoints of some services that crashed in a time, and at the moments
// at its ends, other than at the crashes of which own is true.
func countOtherCrashes(crashes []Crash, first, last time.Duration, services []string, own func(c Crash) bool) int {
	n := 0
	for _, c := range crashes {
		if c.At >= first-sameMoment && c.At <= last+sameMoment && !c.Trimmed && slices.Contains(services, c.Service) && !own(c) {
			n++
		}
	}
	return n
}

// otherCrashRate returns the number of endpoint crashes per second, in a period, at which the
// request did not run.
func otherCrashRate(f Fingerprint, crashes []Crash, from, to time.Duration) float64 {
	others := priorCrashes
	for _, c := range crashes {
		if _, under := c.Runs[f]; !under && !c.Trimmed && c.At >= from && c.At <= to {
			others++
		}
	}
	return others / max(to-from, minRateWindow).Seconds()
}

// completedSince reports whether a request completed at or after a time.
func (e Evidence) completedSince(f Fingerprint, at time.Duration) bool {
	end, ok := e.Completed[f]
	return ok && end >= at
}
