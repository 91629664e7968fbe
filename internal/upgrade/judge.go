package upgrade

import "math"

// Bounds of the judgement by failures.
const (
	badLeast      = 4    // bad answers before a version is called bad
	badEndpoints  = 2    // on as many endpoints: one that fails alone is no bad version
	badRate       = 0.12 // part of bad answers above what the others show
	badRateFactor = 2.0  // and this many times as many
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
	// slowUsualLeast is the least part of slow answers that is taken for usual,
	// whatever few answers of the others show.
	slowUsualLeast = 0.05
)

// Evidence that a larger share needs.
const (
	clearAnswers = 8    // of the target, failures of half of them would have shown
	clearFast    = 3    // of these, not slow; of a slow version one in twenty is not
	clearSlow    = 0.12 // most that the part of slow answers may be above the usual one
	clearPart    = 0.08 // of all answers since the order, where these are few
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
	Seen    Pair // on all routes, by all hosts
}

// Judge weighs the evidence of all hosts, on all routes together and on each one.
// Hosts that tell nothing are taken to have had as many answers as the hosts that
// tell have had on average, all good ones of the target, or a few hosts' bad luck
// would look like everyone's. A larger share needs answers that somebody has seen, so
// for that the silent ones count for nothing.
func Judge(own Evidence, others []Evidence, silent int) Judgement {
	told := append([]Evidence{own}, others...)
	s := sumOf(told, silent)
	if s.endpoints >= badEndpoints {
		if reason := s.total.fault(); reason != "" {
			return Judgement{Verdict: VerdictBad, Reason: reason, Seen: s.total}
		}
		for name, p := range s.routes {
			if reason := p.fault(); reason != "" {
				return Judgement{Verdict: VerdictBad, Reason: reason + " on route " + name, Seen: s.total}
			}
		}
	}
	if seen := sumOf(told, 0).total; seen.clear() {
		return Judgement{Verdict: VerdictClear, Seen: seen}
	}
	return Judgement{Seen: s.total}
}

// fault tells how the target clearly does worse than the others; "" if it does not.
func (p Pair) fault() string {
	switch {
	case p.Target.Bad >= badLeast && p.failsMore():
		return "bad answers"
	case p.slowsMore() && p.slowEvidence() >= slowDoubt:
		return "slow answers"
	default:
		return ""
	}
}

func (p Pair) failsMore() bool { return p.Target.rate() > badRate+badRateFactor*p.Other.rate() }

func (p Pair) slowsMore() bool { return p.Target.slowRate() > p.usualSlow()+slowMore }

// usualSlow is the part of slow answers that a version as good as the others shows.
func (p Pair) usualSlow() float64 {
	return max(slowUsualLeast, p.Other.slowRate())
}

// slowEvidence bounds the chance that a version as good as the others shows the
// target's paces, as a logarithm, by Chernoff's bound for values from 0 to 1.
func (p Pair) slowEvidence() float64 {
	n, seen, usual := float64(p.Target.Paced), p.Target.slowRate(), p.usualSlow()
	return n * (seen*logRatio(seen, usual) + (1-seen)*logRatio(1-seen, 1-usual))
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
	if answers < min(clearAnswers, clearPart*all) || answers == 0 || p.failsMore() {
		return false
	}
	if p.Other.Paced == 0 {
		return true
	}
	fast := p.Target.Paced - p.Target.Slow
	return fast >= min(clearFast, p.Target.answers()/2) && p.Target.slowRate() <= p.usualSlow()+clearSlow
}
