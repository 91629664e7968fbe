package upgrade

import "math"

// Bounds of the judgement by failures.
const (
	minBadAnswers   = 4 // bad answers before a version is called bad
	minBadEndpoints = 2 // on as many endpoints: one that fails alone is no bad version
	// minBadEndpointFraction is the part of the target's endpoints that answered which failed some, where
	// the target fails far more than the others: one of which half of all answers fail
	// shows it after one or two answers of each. Endpoints of a good version that fail for
	// reasons of their own do not.
	minBadEndpointFraction = 0.5
	minBadRate             = 0.12 // part of bad answers above badRateFactor times what the others show
	badRateFactor          = 2.0
	// badLogThreshold is the chance, as a logarithm, to see so many failures of a version that
	// has badRateFactor times the others', or badUsual: a few of few answers say little.
	badLogThreshold = 4.6
	baselineBadRate = 0.02 // part of failures that is chance
	// excessLogThreshold is how much likelier it has to be that a version fails a part of its answers
	// besides what endpoints do, as the logarithm of 1,000: an upgrade is judged a few hundred
	// times, at answers most of which were there before.
	excessLogThreshold = 6.9
	// minReferenceAnswers is of how many answers of the other versions their endpoints' failures are
	// taken, and no fewer than the target's: few are told in the first second of a trial.
	minReferenceAnswers = 50
)

// Bounds of the judgement by pace. Answers of both versions are classed by the same
// reference, so load that slows both moves both rates.
const (
	// minSlowExcess is how much larger the part of slow answers has to be. A good version
	// with a cold memory reads more prompts between its tokens than the others do.
	minSlowExcess = 0.25
	// slowLogThreshold is the chance to call a version slow that is not, as the logarithm
	// of 1 to 10,000: an upgrade is judged a few hundred times.
	slowLogThreshold = 9.2
	// recentLogThreshold is the same for recent answers, which are new ones each time.
	recentLogThreshold = 12.0
	// recentBaselineBadRate is the part of recent failures that is chance: hosts tell of failures as they
	// come, and what is told of recent answers shows up to twice as many as there are.
	recentBaselineBadRate = 0.05
	// minExpectedSlowRate is the least part of slow answers that is taken for usual,
	// whatever few answers of the others show.
	minExpectedSlowRate = 0.05
)

// Evidence that a larger share needs.
const (
	minClearAnswers    = 8    // of the target, failures of half of them would have shown
	minClearFast       = 3    // of these, not slow; of a slow version one in twenty is not
	maxClearSlowExcess = 0.12 // most that the part of slow answers may be above the usual one
	// A larger share waits while a bad version is 20 times likelier: what is held for nothing
	// goes on a moment later, what is completed can't be taken back.
	clearLogThreshold       = 3.0
	clearBaselineBadRate    = 0.01 // part of failures that is chance there
	minSuspectFailures      = 2    // as many at least
	suspectEndpointFraction = 0.25 // of the endpoints that answered, which show the failures
	minClearFraction        = 0.02 // of all answers since the order, where these are few; a trial gets 0.022 of them with the default bound
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
	Verdict   Verdict
	Reason    string
	Seen      VersionCounts // on all routes since the order, by the hosts that told
	Estimated VersionCounts // the same, with what silent hosts are taken to have seen
	Recent    VersionCounts // of these, the answers of the last moments
	Silent    int           // hosts that have told nothing
}

// Judge weighs the evidence of all hosts, on all routes together and on each one, of all
// answers since the order and of the recent ones: the former see a version that has
// failed a little all along, the latter one that turns bad.
// Answers that nobody has told of are taken to be good ones, or a few hosts' bad luck
// would look like everyone's. A larger share needs answers that somebody has seen, so
// for that they count for nothing.
func Judge(own Evidence, others []Evidence, u Unreported) Judgement {
	evidence := append([]Evidence{own}, others...)
	all, recent, seconds := routesSinceOrder(evidence), recentRoutes(evidence), totalSeconds(evidence)
	seen := sumRoutes(all, targetFailures(evidence) >= minSuspectFailures)
	estimated := seen.withAssumedGood(func(_ string, p VersionCounts) int { return u.estimate(p, p, len(all), seconds) }).withFit()
	lateTotals := sumRoutes(recent, seen.total.Target.Bad >= minSuspectFailures).withAssumedGood(func(route string, p VersionCounts) int {
		silentHosts := u
		silentHosts.Silent += len(all) - len(recent)
		return silentHosts.estimate(p, estimated.countsOf(route), len(recent), seconds)
	}).withReference(estimated)
	j := Judgement{Seen: seen.total, Estimated: estimated.total, Recent: lateTotals.total, Silent: u.Silent}
	if faultyEndpoints(evidence) >= minBadEndpoints {
		if reason := estimated.firstFault(VersionCounts.fault); reason != "" {
			return j.asBad(reason)
		}
		if reason := lateTotals.firstFault(VersionCounts.recentFault); reason != "" {
			return j.asBad("lately " + reason)
		}
	}
	if seen.total.enoughGood() && !estimated.total.failsBeyondEndpoints(baselineBadRate, clearLogThreshold) && lateTotals.looksGood() {
		j.Verdict = VerdictClear
	}
	return j
}

// asBad returns the judgement that the version is asBad.
func (j Judgement) asBad(reason string) Judgement {
	j.Verdict, j.Reason = VerdictBad, reason
	return j
}

// LikelyBad reports whether it is likelier that the target is bad than that it is not. Not to be
// known as bad is no ground for a step that can't be taken back, which waits until what is
// told shows the failures to be the endpoints' own.
func (j Judgement) LikelyBad() bool {
	return j.Estimated.Target.Bad >= minSuspectFailures && j.Estimated.fit.logRatioGood(completionBaselineBadRate) < -likelyBadLogThreshold
}

const (
	// likelyBadLogThreshold is how much likelier, as a logarithm: e times. To ask that good is as much
	// likelier would hold up good versions.
	likelyBadLogThreshold = 1.0
	// completionBaselineBadRate is the part of failures that is chance at a completion: failures are told a
	// little earlier than good answers.
	completionBaselineBadRate = 0.05
)

// MayBeBad reports whether the target fails so much that it would be bad if its endpoints
// were as well as the best of the others. Where most of those fail, a version that fails as
// often can't be told from one whose endpoints do. It is taken back before it gets all keys, or at
// the end of its time: a good one can be ordered again, the endpoints of the old one can't be had back.
func (j Judgement) MayBeBad() bool {
	if j.Estimated.Target.Bad < minSuspectFailures {
		return false
	}
	e := fitMixture(j.Estimated.OtherByEndpoint).ofBest().fitExcess(j.Estimated.TargetByEndpoint, j.Estimated.assumedGood)
	return e.logLikelihoodOf(mayBeBadExcess)-e.baseline(mayBeBadExcess/2) > likelyBadLogThreshold
}

// mayBeBadExcess is how much that is: with the least of a bad version good ones would be taken back
// wherever one endpoint in seven fails half of its answers.
const mayBeBadExcess = 0.3

// looksGood reports whether nothing seems wrong with the recent answers, on any route.
func (s totals) looksGood() bool {
	if !s.total.looksGood() {
		return false
	}
	for _, p := range s.routes {
		if !p.looksGood() {
			return false
		}
	}
	return true
}

// firstFault tells what is wrong with the target on all routes, or else on one; "" if nothing is.
func (s totals) firstFault(check func(VersionCounts) string) string {
	if reason := check(s.total); reason != "" {
		return reason
	}
	for name, p := range s.routes {
		if reason := check(p); reason != "" {
			return reason + " on route " + name
		}
	}
	return ""
}

// fault tells how the target clearly does worse than the others; "" if it does not.
func (p VersionCounts) fault() string {
	switch {
	case p.Target.Bad >= minBadAnswers && (p.clearlyFailsMore(baselineBadRate, badLogThreshold) || p.failsBeyondEndpoints(baselineBadRate, excessLogThreshold)):
		return "bad answers"
	case p.isSlower() && p.slowEvidence() >= slowLogThreshold:
		return "slow answers"
	default:
		return ""
	}
}

// recentFault is fault for recent answers, which are new ones each time.
func (p VersionCounts) recentFault() string {
	switch {
	case p.Target.Bad >= minBadAnswers && (p.clearlyFailsMore(recentBaselineBadRate, recentLogThreshold) || p.failsBeyondEndpoints(recentBaselineBadRate, recentLogThreshold)):
		return "bad answers"
	case p.isSlower() && p.slowEvidence() >= recentLogThreshold:
		return "slow answers"
	default:
		return ""
	}
}

// looksGood reports whether nothing seems wrong with the recent answers.
func (p VersionCounts) looksGood() bool {
	if p.isSlower() && p.slowEvidence() >= slowLogThreshold {
		return false
	}
	if p.Target.Bad < minSuspectFailures {
		return true
	}
	failing := p.failuresSpread(suspectEndpointFraction) && p.failureEvidence(clearBaselineBadRate) >= clearLogThreshold
	return !failing && p.fit.logRatioAny(clearBaselineBadRate) < clearLogThreshold
}

// clearlyFailsMore reports whether the target fails much more often than the others, on many of
// its endpoints. It sees a bad version beside endpoints that are well, also one that some of
// its endpoints bear.
func (p VersionCounts) clearlyFailsMore(baselineRate, threshold float64) bool {
	return p.failsMore() && p.failuresSpread(minBadEndpointFraction) && p.failureEvidence(baselineRate) >= threshold
}

func (p VersionCounts) failsMore() bool {
	return p.Target.badRate() > minBadRate+badRateFactor*p.Other.badRate()
}

// failuresSpread reports whether the failures are spread over a part of the target's endpoints.
func (p VersionCounts) failuresSpread(fraction float64) bool {
	failing := p.TargetByEndpoint.failing()
	return failing >= minBadEndpoints && float64(failing) >= fraction*float64(len(p.TargetByEndpoint))
}

// failureEvidence bounds the chance that a version as good as the others shows the target's
// failures, as a logarithm, if a part is chance.
func (p VersionCounts) failureEvidence(baselineRate float64) float64 {
	return chernoff(p.Target.answers(), p.Target.badRate(), max(baselineRate, badRateFactor*p.Other.badRate()))
}

// failsBeyondEndpoints reports whether the target fails more than its endpoints do for reasons of their
// own. It sees a bad version also beside endpoints that fail.
func (p VersionCounts) failsBeyondEndpoints(baselineRate, threshold float64) bool {
	reference := p.OtherByEndpoint.sum().all()
	return p.Target.Bad >= minSuspectFailures && reference >= max(minReferenceAnswers, p.TargetByEndpoint.sum().all()) && p.fit.logRatioBad(baselineRate) >= threshold
}

func (p VersionCounts) isSlower() bool {
	return p.Target.slowRate() > p.expectedSlowRate()+minSlowExcess
}

// expectedSlowRate is the part of slow answers that a version as good as the others shows.
func (p VersionCounts) expectedSlowRate() float64 {
	return max(minExpectedSlowRate, p.Other.slowRate())
}

// slowEvidence bounds the chance that a version as good as the others shows the
// target's paces, as a logarithm.
func (p VersionCounts) slowEvidence() float64 {
	return chernoff(p.Target.Paced, p.Target.slowRate(), p.expectedSlowRate())
}

// chernoff bounds, as a logarithm, the chance that so large a part is seen among n answers
// where less is usual, for values from 0 to 1 (Chernoff, 1952); 0 where it is not larger.
func chernoff(n int, observed, expected float64) float64 {
	if observed <= expected {
		return 0
	}
	return float64(n) * (observed*logRatio(observed, expected) + (1-observed)*logRatio(1-observed, 1-expected))
}

// logRatio is the logarithm of a over b; 0 where there is no a.
func logRatio(a, b float64) float64 {
	if a <= 0 || b <= 0 {
		return 0
	}
	return math.Log(a / b)
}

// enoughGood reports whether enough answers of the target are known to be good for a
// larger share.
func (p VersionCounts) enoughGood() bool {
	answers := float64(p.Target.answers())
	all := answers + float64(p.Other.answers())
	if answers < min(minClearAnswers, minClearFraction*all) || answers == 0 || (p.failsMore() && p.failuresSpread(minBadEndpointFraction)) {
		return false
	}
	if p.Other.Paced == 0 {
		return true
	}
	fast := p.Target.Paced - p.Target.Slow
	return fast >= min(minClearFast, p.Target.answers()/2) && p.Target.slowRate() <= p.expectedSlowRate()+maxClearSlowExcess
}
