package upgrade

import "math"

// Bounds of the judgement by failures.
const (
	badLeast     = 4 // bad answers before a version is called bad
	badEndpoints = 2 // on as many endpoints: one that fails alone is no bad version
	// badSpread is the part of the target's endpoints that answered which failed some: one of
	// which half of all answers fail shows it after one or two answers of each. Endpoints of a
	// good version that fail for reasons of their own do not: five of 18 that fail half
	// of theirs rolled it back in 6 of 6 upgrades without this, and in 3 of 100 with it
	// (simulated, 6 hosts).
	badSpread     = 0.5
	badRate       = 0.12 // part of bad answers above what the others show
	badRateFactor = 2.0  // and this many times as many
	// badDoubt is the chance, as a logarithm, to see so many failures of a version that
	// has badRateFactor times the others', or badUsualLeast. Without it four of fewer than
	// 20 answers, where 4 in 100 of all fail, rolled a good version back in 3 of 190
	// upgrades (spec), in 1 of 190 with 3.0, in none of 190 with this.
	badDoubt      = 4.6
	badUsualLeast = 0.02
)

// Bounds of the judgement by pace. Answers of both versions are classed by the same
// reference, so load that slows both moves both rates.
const (
	// slowMore is how much larger the part of slow answers has to be. A good version
	// with a cold memory reads more prompts between its tokens than the others do.
	slowMore = 0.25
	// slowDoubt is the chance to call a version slow that is not, as the logarithm
	// of 1 to 10,000: an upgrade is judged a few hundred times.
	slowDoubt = 9.2
	// recentDoubt is the same for recent answers, which are new ones each time: with 9.2 a
	// good version among 60 hosts, a third of whose streams are slow by chance, was rolled
	// back in 3 of 400 upgrades (spec).
	recentDoubt = 12.0
	// slowUsualLeast is the least part of slow answers that is taken for usual,
	// whatever few answers of the others show.
	slowUsualLeast = 0.05
	// failUsualLeast is the same of failures. Recent answers are few, so a part of
	// failures among them has to be as unlikely as one of slow ones, and that beside
	// badRateFactor times the others': hosts tell of failures as they come, and what is
	// told of recent answers shows up to twice as many as there are.
	failUsualLeast = 0.05
)

// Evidence that a larger share needs.
const (
	clearAnswers = 8    // of the target, failures of half of them would have shown
	clearFast    = 3    // of these, not slow; of a slow version one in twenty is not
	clearSlow    = 0.12 // most that the part of slow answers may be above the usual one
	// A larger share waits while the recent failures are such that a version as good as
	// the others shows them once in 20 times: what is held for nothing goes on a moment
	// later, what is completed can't be taken back.
	clearDoubt      = 3.0
	clearUsualLeast = 0.01 // least part of failures that is taken for usual there
	clearFailures   = 2    // as many at least
	clearSpread     = 0.25 // of the endpoints that answered, which show the failures
	clearPart       = 0.02 // of all answers since the order, where these are few; a trial gets 0.022 of them with the default bound
)

// Verdict is what evidence says of a target version.
type Verdict int

// Verdicts.
const (
	VerdictOpen  Verdict = iota // too little is known
	VerdictClear                // it may get a larger share
	VerdictBad
)

// Judgement is a verdict with its reason and what it goes by.
type Judgement struct {
	Verdict Verdict
	Reason  string
	Seen    Pair // on all routes since the order, by the hosts that told
	Weighed Pair // the same, with what silent hosts are taken to have seen
	Recent  Pair // of these, the answers of the last moments
	Silent  int  // hosts that have told nothing
}

// Judge weighs the evidence of all hosts, on all routes together and on each one, of all
// answers since the order and of the recent ones: the former see a version that has
// failed a little all along, the latter one that turns bad.
// Hosts that tell nothing are taken to have had as many answers as the hosts that
// tell have had on average, all good ones of the target, or a few hosts' bad luck
// would look like everyone's. A larger share needs answers that somebody has seen, so
// for that the silent ones count for nothing.
func Judge(own Evidence, others []Evidence, silent int) Judgement {
	told := append([]Evidence{own}, others...)
	all, recent := sinceOrder(told), ofLate(told)
	whole, lately := sumOf(all, silent), sumOf(recent, silent+len(all)-len(recent))
	seen := sumOf(all, 0).total
	j := Judgement{Seen: seen, Weighed: whole.total, Recent: lately.total, Silent: silent}
	if blamed(told) >= badEndpoints {
		if reason := whole.fault(); reason != "" {
			return j.bad(reason)
		}
		if reason := lately.turned(whole); reason != "" {
			return j.bad(reason)
		}
	}
	if seen.clear() && lately.well(whole) {
		j.Verdict = VerdictClear
	}
	return j
}

// bad returns the judgement that the version is bad.
func (j Judgement) bad(reason string) Judgement {
	j.Verdict, j.Reason = VerdictBad, reason
	return j
}

// well reports whether nothing seems wrong with the recent answers, on any route.
func (s sums) well(whole sums) bool {
	if !s.total.against(whole.total.Other).well() {
		return false
	}
	for name, p := range s.routes {
		if !p.against(whole.routes[name].Other).well() {
			return false
		}
	}
	return true
}

// fault tells how the target clearly does worse than the others, on all routes or on one;
// "" if it does not.
func (s sums) fault() string {
	if reason := s.total.fault(); reason != "" {
		return reason
	}
	for name, p := range s.routes {
		if reason := p.fault(); reason != "" {
			return reason + " on route " + name
		}
	}
	return ""
}

// turned tells how the target does worse of late than the others, now or before.
func (s sums) turned(whole sums) string {
	if reason := s.total.against(whole.total.Other).turned(); reason != "" {
		return "lately " + reason
	}
	for name, p := range s.routes {
		if reason := p.against(whole.routes[name].Other).turned(); reason != "" {
			return "lately " + reason + " on route " + name
		}
	}
	return ""
}

// fault tells how the target clearly does worse than the others; "" if it does not.
func (p Pair) fault() string {
	switch {
	case p.Target.Bad >= badLeast && p.failsMore() && p.failsAround(badSpread) && p.failEvidence(badUsualLeast) >= badDoubt:
		return "bad answers"
	case p.slowsMore() && p.slowEvidence() >= slowDoubt:
		return "slow answers"
	default:
		return ""
	}
}

// turned is fault for a few answers, whose failures may be chance.
func (p Pair) turned() string {
	switch {
	case p.Target.Bad >= badLeast && p.failsMore() && p.failsAround(badSpread) && p.failEvidence(failUsualLeast) >= recentDoubt:
		return "bad answers"
	case p.slowsMore() && p.slowEvidence() >= recentDoubt:
		return "slow answers"
	default:
		return ""
	}
}

// well reports whether nothing seems wrong with the recent answers.
func (p Pair) well() bool {
	failing := p.Target.Bad >= clearFailures && p.failsAround(clearSpread) && p.failEvidence(clearUsualLeast) >= clearDoubt
	slowing := p.slowsMore() && p.slowEvidence() >= slowDoubt
	return !failing && !slowing
}

func (p Pair) failsMore() bool { return p.Target.rate() > badRate+p.usualFailures() }

// usualFailures is the part of failures that is taken for usual beside the others' part.
func (p Pair) usualFailures() float64 { return badRateFactor * p.Other.rate() }

// failsAround reports whether the failures are spread over a part of the target's endpoints.
func (p Pair) failsAround(part float64) bool {
	return p.Failing.size() >= badEndpoints && p.Failing.size() >= part*p.Tried.size()
}

func (p Pair) slowsMore() bool { return p.Target.slowRate() > p.usualSlow()+slowMore }

// usualSlow is the part of slow answers that a version as good as the others shows.
func (p Pair) usualSlow() float64 {
	return max(slowUsualLeast, p.Other.slowRate())
}

// slowEvidence bounds the chance that a version as good as the others shows the
// target's paces, as a logarithm.
func (p Pair) slowEvidence() float64 {
	return chernoff(p.Target.Paced, p.Target.slowRate(), p.usualSlow())
}

// failEvidence does the same for the target's failures, of which a part is taken for usual.
func (p Pair) failEvidence(least float64) float64 {
	return chernoff(p.Target.answers(), p.Target.rate(), max(least, p.usualFailures()))
}

// chernoff bounds, as a logarithm, the chance that so large a part is seen among n answers
// where less is usual, for values from 0 to 1 (Chernoff, 1952); 0 where it is not larger.
func chernoff(n int, seen, usual float64) float64 {
	if seen <= usual {
		return 0
	}
	return float64(n) * (seen*logRatio(seen, usual) + (1-seen)*logRatio(1-seen, 1-usual))
}

// logRatio is the logarithm of a over b; 0 where there is no a.
func logRatio(a, b float64) float64 {
	if a <= 0 || b <= 0 {
		return 0
	}
	return math.Log(a / b)
}

// clear reports whether enough answers of the target are known to be good for a
// larger share.
func (p Pair) clear() bool {
	answers := float64(p.Target.answers())
	all := answers + float64(p.Other.answers())
	if answers < min(clearAnswers, clearPart*all) || answers == 0 || (p.failsMore() && p.failsAround(badSpread)) {
		return false
	}
	if p.Other.Paced == 0 {
		return true
	}
	fast := p.Target.Paced - p.Target.Slow
	return fast >= min(clearFast, p.Target.answers()/2) && p.Target.slowRate() <= p.usualSlow()+clearSlow
}
