package upgrade

import "math"

// Bounds of the judgement by failures.
const (
	badLeast     = 4 // bad answers before a version is called bad
	badEndpoints = 2 // on as many endpoints: one that fails alone is no bad version
	// badAround is the part of the target's endpoints that answered which failed some, where
	// the target fails far more than the others: one of which half of all answers fail
	// shows it after one or two answers of each. Endpoints of a good version that fail for
	// reasons of their own do not.
	badAround     = 0.5
	badRate       = 0.12 // part of bad answers above badRateFactor times what the others show
	badRateFactor = 2.0
	// badDoubt is the chance, as a logarithm, to see so many failures of a version that
	// has badRateFactor times the others', or badUsual: a few of few answers say little.
	badDoubt = 4.6
	badUsual = 0.02 // part of failures that is chance
	// excessDoubt is how much likelier it has to be that a version fails a part of its answers
	// besides what endpoints do, as the logarithm of 1,000: an upgrade is judged a few hundred
	// times, at answers most of which were there before.
	excessDoubt = 6.9
	// referenceLeast is of how many answers of the other versions their endpoints' failures are
	// taken, and no fewer than the target's: few are told in the first second of a trial.
	referenceLeast = 50
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
	// recentDoubt is the same for recent answers, which are new ones each time.
	recentDoubt = 12.0
	// recentUsual is the part of recent failures that is chance: hosts tell of failures as they
	// come, and what is told of recent answers shows up to twice as many as there are.
	recentUsual = 0.05
	// slowUsualLeast is the least part of slow answers that is taken for usual,
	// whatever few answers of the others show.
	slowUsualLeast = 0.05
)

// Evidence that a larger share needs.
const (
	clearAnswers = 8    // of the target, failures of half of them would have shown
	clearFast    = 3    // of these, not slow; of a slow version one in twenty is not
	clearSlow    = 0.12 // most that the part of slow answers may be above the usual one
	// A larger share waits while a bad version is 20 times likelier: what is held for nothing
	// goes on a moment later, what is completed can't be taken back.
	clearDoubt    = 3.0
	clearUsual    = 0.01 // part of failures that is chance there
	clearFailures = 2    // as many at least
	clearAround   = 0.25 // of the endpoints that answered, which show the failures
	clearPart     = 0.02 // of all answers since the order, where these are few; a trial gets 0.022 of them with the default bound
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
// Answers that nobody has told of are taken to be good ones, or a few hosts' bad luck
// would look like everyone's. A larger share needs answers that somebody has seen, so
// for that they count for nothing.
func Judge(own Evidence, others []Evidence, u Untold) Judgement {
	told := append([]Evidence{own}, others...)
	all, recent, seconds := sinceOrder(told), ofLate(told), secondsOf(told)
	seen := sumOf(all, failed(told) >= clearFailures)
	whole := seen.withUnseen(func(_ string, p Pair) int { return u.answers(p, p, len(all), seconds) }).weighed()
	lately := sumOf(recent, seen.total.Target.Bad >= clearFailures).withUnseen(func(route string, p Pair) int {
		silent := u
		silent.Silent += len(all) - len(recent)
		return silent.answers(p, whole.of(route), len(recent), seconds)
	}).against(whole)
	j := Judgement{Seen: seen.total, Weighed: whole.total, Recent: lately.total, Silent: u.Silent}
	if blamed(told) >= badEndpoints {
		if reason := whole.first(Pair.fault); reason != "" {
			return j.bad(reason)
		}
		if reason := lately.first(Pair.turned); reason != "" {
			return j.bad("lately " + reason)
		}
	}
	if seen.total.clear() && !whole.total.exceeds(badUsual, clearDoubt) && lately.well() {
		j.Verdict = VerdictClear
	}
	return j
}

// bad returns the judgement that the version is bad.
func (j Judgement) bad(reason string) Judgement {
	j.Verdict, j.Reason = VerdictBad, reason
	return j
}

// Doubtful reports whether it is likelier that the target is bad than that it is not. Not to be
// known as bad is no ground for a step that can't be taken back, which waits until what is
// told shows the failures to be the endpoints' own.
func (j Judgement) Doubtful() bool {
	return j.Weighed.Target.Bad >= clearFailures && j.Weighed.excess.good(doubtUsual) < -doubtful
}

const (
	// doubtful is how much likelier, as a logarithm: e times. To ask that good is as much
	// likelier would hold up good versions.
	doubtful = 1.0
	// doubtUsual is the part of failures that is chance at a completion: failures are told a
	// little earlier than good answers.
	doubtUsual = 0.05
)

// MayBeItsOwn reports whether the target fails so much that it would be bad if its endpoints
// were as well as the best of the others. Where most of those fail, a version that fails as
// often can't be told from one whose endpoints do. It is taken back before it gets all keys, or at
// the end of its time: a good one can be ordered again, the endpoints of the old one can't be had back.
func (j Judgement) MayBeItsOwn() bool {
	if j.Weighed.Target.Bad < clearFailures {
		return false
	}
	e := newMixture(j.Weighed.OtherBy).well().excess(j.Weighed.TargetBy, j.Weighed.unseen)
	return e.at(ownPart)-e.usual(ownPart/2) > doubtful
}

// ownPart is how much that is: with the least of a bad version good ones would be taken back
// wherever one endpoint in seven fails half of its answers.
const ownPart = 0.3

// well reports whether nothing seems wrong with the recent answers, on any route.
func (s sums) well() bool {
	if !s.total.well() {
		return false
	}
	for _, p := range s.routes {
		if !p.well() {
			return false
		}
	}
	return true
}

// first tells what is wrong with the target on all routes, or else on one; "" if nothing is.
func (s sums) first(wrong func(Pair) string) string {
	if reason := wrong(s.total); reason != "" {
		return reason
	}
	for name, p := range s.routes {
		if reason := wrong(p); reason != "" {
			return reason + " on route " + name
		}
	}
	return ""
}

// fault tells how the target clearly does worse than the others; "" if it does not.
func (p Pair) fault() string {
	switch {
	case p.Target.Bad >= badLeast && (p.failsFarMore(badUsual, badDoubt) || p.exceeds(badUsual, excessDoubt)):
		return "bad answers"
	case p.slowsMore() && p.slowEvidence() >= slowDoubt:
		return "slow answers"
	default:
		return ""
	}
}

// turned is fault for recent answers, which are new ones each time.
func (p Pair) turned() string {
	switch {
	case p.Target.Bad >= badLeast && (p.failsFarMore(recentUsual, recentDoubt) || p.exceeds(recentUsual, recentDoubt)):
		return "bad answers"
	case p.slowsMore() && p.slowEvidence() >= recentDoubt:
		return "slow answers"
	default:
		return ""
	}
}

// well reports whether nothing seems wrong with the recent answers.
func (p Pair) well() bool {
	if p.slowsMore() && p.slowEvidence() >= slowDoubt {
		return false
	}
	if p.Target.Bad < clearFailures {
		return true
	}
	failing := p.failsAround(clearAround) && p.failEvidence(clearUsual) >= clearDoubt
	return !failing && p.excess.any(clearUsual) < clearDoubt
}

// failsFarMore reports whether the target fails much more often than the others, on many of
// its endpoints. It sees a bad version beside endpoints that are well, also one that some of
// its endpoints bear.
func (p Pair) failsFarMore(usual, doubt float64) bool {
	return p.failsMore() && p.failsAround(badAround) && p.failEvidence(usual) >= doubt
}

func (p Pair) failsMore() bool { return p.Target.rate() > badRate+badRateFactor*p.Other.rate() }

// failsAround reports whether the failures are spread over a part of the target's endpoints.
func (p Pair) failsAround(part float64) bool {
	failing := p.TargetBy.failing()
	return failing >= badEndpoints && float64(failing) >= part*float64(len(p.TargetBy))
}

// failEvidence bounds the chance that a version as good as the others shows the target's
// failures, as a logarithm, if a part is chance.
func (p Pair) failEvidence(usual float64) float64 {
	return chernoff(p.Target.answers(), p.Target.rate(), max(usual, badRateFactor*p.Other.rate()))
}

// exceeds reports whether the target fails more than its endpoints do for reasons of their
// own. It sees a bad version also beside endpoints that fail.
func (p Pair) exceeds(usual, doubt float64) bool {
	reference := p.OtherBy.sum().all()
	return p.Target.Bad >= clearFailures && reference >= max(referenceLeast, p.TargetBy.sum().all()) && p.excess.bad(usual) >= doubt
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
	if answers < min(clearAnswers, clearPart*all) || answers == 0 || (p.failsMore() && p.failsAround(badAround)) {
		return false
	}
	if p.Other.Paced == 0 {
		return true
	}
	fast := p.Target.Paced - p.Target.Slow
	return fast >= min(clearFast, p.Target.answers()/2) && p.Target.slowRate() <= p.usualSlow()+clearSlow
}
