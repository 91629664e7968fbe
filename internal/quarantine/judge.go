package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Crash is that of an endpoint, with the requests that ran there; an immutable value.
type Crash struct {
	Endpoint string        // this start of it
	Service  string        // of which it was one
	At       time.Duration // of a steady clock
	Heard    time.Duration // when this host last learned of a request that ran there
	Under    map[Fingerprint]Run
}

// Run is a request's at an endpoint, until that crashed; an immutable value.
type Run struct {
	Lasted   time.Duration // since the request was sent there
	ResponseLasted time.Duration // since the head of its answer; 0 if none had come
	Copies   int           // of the request that its host had answers to elsewhere
	Label       string        // the request's workspace and route, for operators
}

// Longer returns a run that lasted as long as either of two.
func (r Run) Longer(o Run) Run {
	return Run{Lasted: max(r.Lasted, o.Lasted), ResponseLasted: max(r.ResponseLasted, o.ResponseLasted), Copies: max(r.Copies, o.Copies), Label: cmp.Or(r.Label, o.Label)}
}

// Parameters of the judgement.
const (
	// crashesLeast is at how many crashes a request is told from those that were beside it
	// by chance; the users allow three.
	crashesLeast = 3
	// crashesSure is from how many on one of several that can't be told apart is taken: those
	// that share a caller and a prompt go to the same endpoints again and again. A request that
	// gets so far without one good end has been sent by its caller twice at least.
	crashesSure = 5
	// chanceMost is how likely a request may have been beside all of its crashes by chance.
	chanceMost = 1e-4
	// together is how far apart crashes are at least that speak for themselves: endpoints of a
	// rack end at one moment. A request that is sent on after a crash crashes the next endpoint
	// no sooner than after its way there and the look at the one before.
	together = 30 * time.Millisecond
	// unseen stands for the crash that was about to come by chance: without it nothing would
	// be chance before the first crash that is not the request's.
	unseen = 0.5
	// usualSpan is over how long crashes that are not the request's are counted at least.
	usualSpan = 10 * time.Second
	// spanLeast is the shortest time over which crashes are taken to come at a rate.
	spanLeast = 10 * time.Millisecond
)

// Evidence is what is known of crashes.
type Evidence struct {
	Crashes []Crash
	// Finished tells when requests last came to a good end; what crashed beside them before
	// was not their doing.
	Finished map[Fingerprint]time.Duration
	// Endpoints counts those of a service.
	Endpoints func(service string) int
	Held      map[Fingerprint]Verdict // the verdicts before
	Now       time.Duration
}

// Verdict is on a request that crashes endpoints; an immutable value.
type Verdict struct {
	Crashes int           // of endpoints that ran it
	Chance  float64       // that it was beside them by chance
	First   time.Duration // crash
	Last    time.Duration // crash
}

// Judge finds the requests that crash what runs them. The one that most speaks against goes
// first, and the crashes that it explains speak against nobody else.
func Judge(e Evidence) map[Fingerprint]Verdict {
	verdicts := map[Fingerprint]Verdict{}
	open := slices.Clone(e.Crashes)
	slices.SortFunc(open, byTime)
	for {
		s, ok := e.strongest(open)
		if !ok {
			return verdicts
		}
		verdicts[s.request] = s.Verdict
		open = slices.DeleteFunc(open, func(c Crash) bool { _, under := c.Under[s.request]; return under })
	}
}

// Times after which a crash brings a request into quarantine: hosts tell one after the other what ran
// there, and those that stood beside a guilty request may be known before it is.
const (
	// settleFresh is counted from a crash of which hosts told at once.
	settleFresh = 2 * gather
	// settleLate is counted from the last news of a crash that hosts learned of from the list of endpoints,
	// which reaches them at different moments.
	settleLate = 400 * time.Millisecond
	// lateFrom the crash on news of it are such.
	lateFrom = time.Second
)

// settles returns when the crash begins to count against requests that are not in quarantine yet, unless
// more is heard of it before.
func (c Crash) settles() time.Duration {
	if c.Heard-c.At >= lateFrom {
		return c.Heard + settleLate
	}
	return c.At + settleFresh
}

// adds reports whether the crash has requests that another account of it has not.
func (c Crash) adds(other Crash) bool {
	for f := range c.Under {
		if _, known := other.Under[f]; !known {
			return true
		}
	}
	return false
}

// never is later than all moments of a steady clock.
const never = time.Duration(math.MaxInt64)

// nextSettled returns when the next crash settles; never if all have.
func (e Evidence) nextSettled() time.Duration {
	next := never
	for _, c := range e.Crashes {
		if at := c.settles(); at > e.Now {
			next = min(next, at)
		}
	}
	return next
}

// settled returns the evidence without crashes of which more may come to be known.
func (e Evidence) settled() Evidence {
	e.Crashes = slices.DeleteFunc(slices.Clone(e.Crashes), func(c Crash) bool { return c.settles() > e.Now })
	return e
}

// Review judges evidence that comes in parts. A request that is not in quarantine comes there if Judge finds it
// guilty by all crashes and by the settled ones alone; one that is there stays if either does.
func Review(e Evidence) map[Fingerprint]Verdict {
	all := Judge(e)
	settled := e.settled()
	if len(settled.Crashes) == len(e.Crashes) {
		return all
	}
	verdicts, before := map[Fingerprint]Verdict{}, Judge(settled)
	for f, v := range all {
		_, sure := before[f]
		if _, held := e.Held[f]; sure || held {
			verdicts[f] = v
		}
	}
	for f, v := range before {
		_, known := verdicts[f]
		if _, held := e.Held[f]; held && !known {
			verdicts[f] = v
		}
	}
	return verdicts
}

// suspicion is what speaks against a request.
type suspicion struct {
	Verdict
	request Fingerprint
	moments int      // at which endpoints crashed
	crashed []string // their starts
	beside  int      // endpoints of the same services that crashed meanwhile without it
}

// strongest returns what speaks against the request against which most does, if that is
// enough.
func (e Evidence) strongest(open []Crash) (suspicion, bool) {
	var found []suspicion
	for f := range suspects(open, crashesLeast) {
		if s := e.suspect(f, open); s.moments >= crashesLeast && (s.Chance <= chanceMost || s.moments >= crashesSure) {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b suspicion) int {
		return cmp.Or(cmp.Compare(b.moments, a.moments), cmp.Compare(a.Chance, b.Chance), slices.Compare(a.request[:], b.request[:]))
	})
	for i, s := range found {
		if s.moments >= crashesSure || !slices.ContainsFunc(found[i+1:], s.alike) {
			return s, true
		}
	}
	return suspicion{}, false
}

// alike reports whether another request was at the same crashes.
func (s suspicion) alike(other suspicion) bool { return slices.Equal(s.crashed, other.crashed) }

// suspects counts the crashes of the requests that were at so many at least.
func suspects(crashes []Crash, least int) map[Fingerprint]int {
	counts := map[Fingerprint]int{}
	for _, c := range crashes {
		for f := range c.Under {
			counts[f]++
		}
	}
	for f, n := range counts {
		if n < least {
			delete(counts, f)
		}
	}
	return counts
}

// suspect weighs what speaks against a request: how likely it is that endpoints crashed by
// chance while it ran there, each time that they did, by how often others crash, how long it
// ran and how many of its copies ran elsewhere. Crashes are in the order of time.
func (e Evidence) suspect(f Fingerprint, open []Crash) suspicion {
	s := suspicion{request: f}
	var against []Crash
	for _, c := range open {
		if _, under := c.Under[f]; under && !e.cleared(f, c.At) {
			against = append(against, c)
			s.crashed = append(s.crashed, c.Endpoint)
		}
	}
	if len(against) == 0 {
		return s
	}
	last := against[len(against)-1].At
	s.Verdict = Verdict{Crashes: len(against), Chance: 1, First: against[0].At, Last: last}
	rate := max(rateBeside(f, open, against[0].At-against[0].Under[f].Lasted, last), rateBeside(f, open, last-usualSpan, last))
	moment := time.Duration(math.MinInt64 / 2)
	chance := 1.0 // of what happened at that moment
	for _, c := range against {
		run := c.Under[f]
		one := 1 - math.Exp(-rate/float64(max(e.Endpoints(c.Service), 1))*run.Lasted.Seconds()*float64(1+run.Copies))
		if c.At-moment < together {
			chance = max(chance, one)
			continue
		}
		s.Chance *= chance
		chance, moment = one, c.At
		s.moments++
	}
	s.Chance *= chance
	s.beside = besides(f, open, against)
	return s
}

// besides counts the endpoints that crashed without a request while others of their services crashed beside it.
func besides(f Fingerprint, open, against []Crash) int {
	from, to := against[0].At-together, against[len(against)-1].At+together
	n := 0
	for _, c := range open {
		_, under := c.Under[f]
		if !under && c.At >= from && c.At <= to && slices.ContainsFunc(against, func(o Crash) bool { return o.Service == c.Service }) {
			n++
		}
	}
	return n
}

// rateBeside is how many endpoints a second crashed in a time without a request.
func rateBeside(f Fingerprint, crashes []Crash, from, to time.Duration) float64 {
	others := unseen
	for _, c := range crashes {
		if _, under := c.Under[f]; !under && c.At >= from && c.At <= to {
			others++
		}
	}
	return others / max(to-from, spanLeast).Seconds()
}

// cleared reports whether a request came to a good end after a moment.
func (e Evidence) cleared(f Fingerprint, at time.Duration) bool {
	end, ok := e.Finished[f]
	return ok && end >= at
}
