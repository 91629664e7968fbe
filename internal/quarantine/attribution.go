package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Crash is that of an endpoint, with the requests that ran there; an immutable value.
type Crash struct {
	Endpoint  string        // this start of it
	Service   string        // of which it was one
	At        time.Duration // of a steady clock
	UpdatedAt time.Duration // when this host last learned of a request that ran there
	Runs      map[Fingerprint]Run
}

// Run is a request's at an endpoint, until that crashed; an immutable value.
type Run struct {
	Lasted         time.Duration // since the request was sent there
	ResponseLasted time.Duration // since the head of its answer; 0 if none had come
	Copies         int           // of the request that its host had answers to elsewhere
	Label          string        // the request's workspace and route, for operators
}

// Max returns a run that lasted as long as either of two.
func (r Run) Max(o Run) Run {
	return Run{Lasted: max(r.Lasted, o.Lasted), ResponseLasted: max(r.ResponseLasted, o.ResponseLasted), Copies: max(r.Copies, o.Copies), Label: cmp.Or(r.Label, o.Label)}
}

// Parameters of the judgement.
const (
	// minMoments is at how many crashes a request is told from those that were beside it
	// by chance; the users allow three.
	minMoments = 3
	// certainMoments is from how many on one of several that can't be told apart is taken: those
	// that share a caller and a prompt go to the same endpoints again and again. A request that
	// gets so far without one good end has been sent by its caller twice at least.
	certainMoments = 5
	// maxChance is how likely a request may have been beside all of its crashes by chance.
	maxChance = 1e-4
	// sameMoment is how far apart crashes are at least that speak for themselves: endpoints of a
	// rack end at one moment. A request that is sent on after a crash crashes the next endpoint
	// no sooner than after its way there and the look at the one before.
	sameMoment = 30 * time.Millisecond
	// priorCrashes stands for the crash that was about to come by chance: without it nothing would
	// be chance before the first crash that is not the request's.
	priorCrashes = 0.5
	// recentWindow is over how long crashes that are not the request's are counted at least.
	recentWindow = 10 * time.Second
	// minRateWindow is the shortest time over which crashes are taken to come at a rate.
	minRateWindow = 10 * time.Millisecond
)

// Evidence is what is known of crashes.
type Evidence struct {
	Crashes []Crash
	// Completed tells when requests last came to a good end; what crashed beside them before
	// was not their doing.
	Completed map[Fingerprint]time.Duration
	// CountEndpoints counts those of a service.
	CountEndpoints func(service string) int
	Quarantined    map[Fingerprint]Attribution // the verdicts before
	Now            time.Duration
}

// Attribution is on a request that crashes endpoints; an immutable value.
type Attribution struct {
	Crashes int           // of endpoints that ran it
	Chance  float64       // that it was beside them by chance
	First   time.Duration // crash
	Last    time.Duration // crash
}

// Attribute finds the requests that crash what runs them. The one that most speaks against goes
// first, and the crashes that it explains speak against nobody else.
func Attribute(e Evidence) map[Fingerprint]Attribution {
	attributions := map[Fingerprint]Attribution{}
	unexplained := slices.Clone(e.Crashes)
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

// Times after which a crash brings a request into quarantine: hosts tell one after the other what ran
// there, and those that stood beside a guilty request may be known before it is.
const (
	// settleDelay is counted from a crash of which hosts told at once.
	settleDelay = 2 * batchDelay
	// lateSettleDelay is counted from the last news of a crash that hosts learned of from the list of endpoints,
	// which reaches them at different moments.
	lateSettleDelay = 400 * time.Millisecond
	// lateThreshold the crash on news of it are such.
	lateThreshold = time.Second
)

// settlesAt returns when the crash begins to count against requests that are not in quarantine yet, unless
// more is heard of it before.
func (c Crash) settlesAt() time.Duration {
	if c.UpdatedAt-c.At >= lateThreshold {
		return c.UpdatedAt + lateSettleDelay
	}
	return c.At + settleDelay
}

// addsTo reports whether the crash has requests that another account of it has not.
func (c Crash) addsTo(other Crash) bool {
	for f := range c.Runs {
		if _, known := other.Runs[f]; !known {
			return true
		}
	}
	return false
}

// never is later than all moments of a steady clock.
const never = time.Duration(math.MaxInt64)

// nextSettles returns when the next crash settles; never if all have.
func (e Evidence) nextSettles() time.Duration {
	next := never
	for _, c := range e.Crashes {
		if at := c.settlesAt(); at > e.Now {
			next = min(next, at)
		}
	}
	return next
}

// settled returns the evidence without crashes of which more may come to be known.
func (e Evidence) settled() Evidence {
	e.Crashes = slices.DeleteFunc(slices.Clone(e.Crashes), func(c Crash) bool { return c.settlesAt() > e.Now })
	return e
}

// AttributePartial judges evidence that comes in parts. A request that is not in quarantine comes there if Judge finds it
// guilty by all crashes and by the settled ones alone; one that is there stays if either does.
func AttributePartial(e Evidence) map[Fingerprint]Attribution {
	all := Attribute(e)
	settled := e.settled()
	if len(settled.Crashes) == len(e.Crashes) {
		return all
	}
	attributions, settledOnly := map[Fingerprint]Attribution{}, Attribute(settled)
	for f, v := range all {
		_, sure := settledOnly[f]
		if _, held := e.Quarantined[f]; sure || held {
			attributions[f] = v
		}
	}
	for f, v := range settledOnly {
		_, known := attributions[f]
		if _, held := e.Quarantined[f]; held && !known {
			attributions[f] = v
		}
	}
	return attributions
}

// assessment is what speaks against a request.
type assessment struct {
	Attribution
	request      Fingerprint
	moments      int      // at which endpoints crashed
	crashed      []string // their starts
	otherCrashes int      // endpoints of the same services that crashed meanwhile without it
}

// strongestSuspect returns what speaks against the request against which most does, if that is
// enough.
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
	for i, s := range found {
		if s.moments >= certainMoments || !slices.ContainsFunc(found[i+1:], s.sameCrashes) {
			return s, true
		}
	}
	return assessment{}, false
}

// sameCrashes reports whether another request was at the same crashes.
func (s assessment) sameCrashes(other assessment) bool { return slices.Equal(s.crashed, other.crashed) }

// countCrashes counts the crashes of the requests that were at so many at least.
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

// assess weighs what speaks against a request: how likely it is that endpoints crashed by
// chance while it ran there, each time that they did, by how often others crash, how long it
// ran and how many of its copies ran elsewhere. Crashes are in the order of time.
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
	momentChance := 1.0 // of what happened at that moment
	for _, c := range relevant {
		run := c.Runs[f]
		coincidence := 1 - math.Exp(-rate/float64(max(e.CountEndpoints(c.Service), 1))*run.Lasted.Seconds()*float64(1+run.Copies))
		if c.At-lastMoment < sameMoment {
			momentChance = max(momentChance, coincidence)
			continue
		}
		s.Chance *= momentChance
		momentChance, lastMoment = coincidence, c.At
		s.moments++
	}
	s.Chance *= momentChance
	s.otherCrashes = countOtherCrashes(f, crashes, relevant)
	return s
}

// countOtherCrashes counts the endpoints that crashed without a request while others of their services crashed beside it.
func countOtherCrashes(f Fingerprint, crashes, relevant []Crash) int {
	from, to := relevant[0].At-sameMoment, relevant[len(relevant)-1].At+sameMoment
	n := 0
	for _, c := range crashes {
		_, under := c.Runs[f]
		if !under && c.At >= from && c.At <= to && slices.ContainsFunc(relevant, func(o Crash) bool { return o.Service == c.Service }) {
			n++
		}
	}
	return n
}

// otherCrashRate is how many endpoints a second crashed in a time without a request.
func otherCrashRate(f Fingerprint, crashes []Crash, from, to time.Duration) float64 {
	others := priorCrashes
	for _, c := range crashes {
		if _, under := c.Runs[f]; !under && c.At >= from && c.At <= to {
			others++
		}
	}
	return others / max(to-from, minRateWindow).Seconds()
}

// completedSince reports whether a request came to a good end after a moment.
func (e Evidence) completedSince(f Fingerprint, at time.Duration) bool {
	end, ok := e.Completed[f]
	return ok && end >= at
}
