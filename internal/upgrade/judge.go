package upgrade

import "math"

// Thresholds of the judgement by failures.
const (
	minBadAnswers   = 4 // bad answers before a version is called bad
	minBadEndpoints = 2 // endpoints that gave them: failures of a single endpoint do not make a version bad
	// minBadEndpointFraction is the least fraction of the target's endpoints with answers that must
	// show failures, where the target fails far more than the others. A version that fails half of
	// all answers shows it after one or two answers of each endpoint; a good version with some
	// endpoints that fail for reasons of their own does not.
	minBadEndpointFraction = 0.5
	minBadRate             = 0.12 // bad rate, above badRateFactor times that of the others
	badRateFactor          = 2.0
	// badLogThreshold is the negative log probability required of seeing so many failures of a
	// version that has badRateFactor times the others' bad rate, or baselineBadRate: a few failures
	// among few answers prove little.
	badLogThreshold = 4.6
	baselineBadRate = 0.02 // bad rate that counts as chance
	// excessLogThreshold is the log likelihood ratio required of an excess failure rate against
	// chance. It is the logarithm of 1,000 because an upgrade is judged a few hundred times, mostly
	// on answers that were judged before.
	excessLogThreshold = 6.9
	// minReferenceAnswers is the least number of the other versions' answers, by endpoint, that the
	// target is compared with; there must also be no fewer than the target's. In the first second
	// of a trial few are published.
	minReferenceAnswers = 50
)

// Thresholds of the judgement by pace. Answers of both versions are classified by the same
// reference, so load that slows both raises both slow rates.
const (
	// minSlowExcess is how much higher the target's slow rate has to be. A good version with cold
	// caches reads more prompts between its tokens than the others do.
	minSlowExcess = 0.25
	// slowLogThreshold is the negative log probability of calling a good version slow, the
	// logarithm of 10,000: an upgrade is judged a few hundred times.
	slowLogThreshold = 9.2
	// recentLogThreshold replaces the thresholds above for recent answers, which differ at each
	// judgement.
	recentLogThreshold = 12.0
	// recentBaselineBadRate is the recent bad rate that counts as chance: hosts publish failures as
	// they occur, so that published recent counts overstate failures by up to a factor of two.
	recentBaselineBadRate = 0.05
	// minExpectedSlowRate is the lowest slow rate expected of a good version, even if the few
	// answers of the others show a lower one.
	minExpectedSlowRate = 0.05
)

// Requirements for a larger share.
const (
	minClearAnswers    = 8    // of the target; if half of all answers failed, these would show it
	minClearFast       = 3    // of these, not slow; a slow version has one in twenty
	maxClearSlowExcess = 0.12 // most by which the slow rate may exceed the expected one
	// A larger share waits while a bad version is 20 times as likely as a good one: a share
	// withheld without need costs a moment, whereas a completion cannot be undone.
	clearLogThreshold       = 3.0
	clearBaselineBadRate    = 0.01 // bad rate that counts as chance here
	minSuspectFailures      = 2    // least number of failures that hold up a larger share
	suspectEndpointFraction = 0.25 // of the endpoints with answers, which must show the failures
	minClearFraction        = 0.02 // of all answers since the order, where those are few; a trial gets 0.022 of them with the default bound
)

// Verdict is the conclusion drawn from the evidence about a target version.
type Verdict int

// Verdicts.
const (
	VerdictOpen  Verdict = iota // too little evidence
	VerdictClear                // the target may get a larger share
	VerdictBad
)

// Judgement is a verdict with its reason and the counts it is based on.
type Judgement struct {
	Verdict Verdict
	Reason  string
	Seen    VersionCounts // on all routes since the order, as published
	Weighed VersionCounts // Seen, plus the unpublished answers estimated for other hosts
	Recent  VersionCounts // the part of these within recentSpan
	Silent  int           // hosts that have published nothing
	seen    totals        // of which Seen is the total
	suspect bool          // the recent answers show signs of a fault, on some route or at some load level
}

// Judge combines the evidence of all hosts. It examines all routes together, each route and each load level, both
// for all answers since the order and for the recent ones: the former detect a version that has
// failed a little from the start, the latter one that turns bad.
//
// Unpublished answers are assumed to be good; otherwise the failures that a few hosts saw by chance
// would be extrapolated to all hosts. They do not count towards a larger share, which needs
// published answers.
func Judge(own Evidence, others []Evidence, u Unreported) Judgement {
	evidence := append([]Evidence{own}, others...)
	byHost, recentByHost, seconds := countsSinceOrder(evidence), recentHostCounts(evidence), totalSeconds(evidence)
	seen := sumHosts(byHost, targetFailures(evidence) >= minSuspectFailures)
	estimated := seen.withAssumedGood(func(_ part, p VersionCounts) int { return u.estimate(p, p, len(byHost), seconds) }).withFit()
	recentTotals := sumHosts(recentByHost, seen.total.Target.Bad >= minSuspectFailures).withAssumedGood(func(of part, p VersionCounts) int {
		recentUnreported := u
		recentUnreported.Silent += len(byHost) - len(recentByHost)
		return recentUnreported.estimate(p, estimated.countsOf(of), len(recentByHost), seconds)
	}).withReference(estimated)
	j := Judgement{Seen: seen.total, Weighed: estimated.total, Recent: recentTotals.total, Silent: u.Silent, seen: seen}
	if faultyEndpoints(evidence) >= minBadEndpoints {
		if reason := estimated.firstFault(VersionCounts.fault); reason != "" {
			return j.asBad(reason)
		}
		if reason := recentTotals.firstFault(VersionCounts.recentFault); reason != "" {
			return j.asBad("lately " + reason)
		}
	}
	j.suspect = !recentTotals.looksGood()
	if seen.total.enoughGood() && !estimated.total.failsBeyondEndpoints(baselineBadRate, clearLogThreshold) && !j.suspect {
		j.Verdict = VerdictClear
	}
	return j
}

// asBad returns the judgement with VerdictBad and the reason.
func (j Judgement) asBad(reason string) Judgement {
	j.Verdict, j.Reason = VerdictBad, reason
	return j
}

// LikelyBad reports whether the target is clearly more likely bad than good. An upgrade is not completed
// while it is, since a completion cannot be undone: the lack of a bad verdict is not enough, and
// the completion waits until the published counts attribute the failures to the endpoints.
func (j Judgement) LikelyBad() bool {
	return j.Weighed.Target.Bad >= minSuspectFailures && j.Weighed.fit.logRatioGood(completionBaselineBadRate) < -likelyBadLogThreshold
}

const (
	// likelyBadLogThreshold is the log likelihood ratio required, a factor of e. Requiring the same
	// factor in favor of a good version would hold up good versions.
	likelyBadLogThreshold = 1.0
	// completionBaselineBadRate is the bad rate that counts as chance at a completion, since
	// failures are published a little earlier than good answers.
	completionBaselineBadRate = 0.05
)

// MayBeBad reports whether the target would be bad if its endpoints were as healthy as the best
// ones of the other versions. Where most of those fail, a version that fails as often cannot be
// distinguished from a good one on failing endpoints. It is rolled back before it gets all keys, or
// at the end of its time: a good version can be ordered again, but the endpoints of the old one
// cannot be recovered.
func (j Judgement) MayBeBad() bool {
	if j.Weighed.Target.Bad < minSuspectFailures {
		return false
	}
	e := fitMixture(j.Weighed.OtherByEndpoint).ofBest().fitExcess(j.Weighed.TargetByEndpoint, j.Weighed.assumedGood)
	return e.logLikelihoodOf(mayBeBadExcess)-e.baseline(mayBeBadExcess/2) > likelyBadLogThreshold
}

// mayBeBadExcess is the excess failure rate that MayBeBad tests for. With minBadExcess, good
// versions would be rolled back wherever one endpoint in seven fails half of its answers.
const mayBeBadExcess = 0.3

// looksGood reports whether the recent answers show no sign of a fault on any route or at any load
// level.
func (s totals) looksGood() bool {
	if !s.total.looksGood() {
		return false
	}
	for _, p := range s.routes {
		if !p.looksGood() {
			return false
		}
	}
	for _, p := range s.levels {
		if !p.withOtherAtLeast(s.total).looksGood() {
			return false
		}
	}
	return true
}

// firstFault returns the fault that check finds on all routes together, or else on a single one or from
// a load level on; "" if there is none.
func (s totals) firstFault(check func(VersionCounts) string) string {
	if reason := check(s.total); reason != "" {
		return reason
	}
	for name, p := range s.routes {
		if reason := check(p); reason != "" {
			return reason + " on route " + name
		}
	}
	for name, p := range s.levels {
		if !p.comparable() {
			continue
		}
		if reason := check(p.withOtherAtLeast(s.total)); reason != "" {
			return reason + " from a load of " + name + " on"
		}
	}
	return ""
}

// fault returns the reason why the target is clearly worse than the others; "" if it is not.
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

// recentFault is fault for recent answers, with thresholds for answers that differ at each
// judgement.
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

// looksGood reports whether the recent answers show no sign of a fault.
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

// clearlyFailsMore reports whether the target fails much more often than the others, on many of its
// endpoints. It detects a bad version beside healthy endpoints, also if some of the version's
// endpoints do not fail.
func (p VersionCounts) clearlyFailsMore(baselineRate, threshold float64) bool {
	return p.failsMore() && p.failuresSpread(minBadEndpointFraction) && p.failureEvidence(baselineRate) >= threshold
}

func (p VersionCounts) failsMore() bool {
	return p.Target.badRate() > minBadRate+badRateFactor*p.Other.badRate()
}

// failuresSpread reports whether at least a fraction of the target's endpoints show failures.
func (p VersionCounts) failuresSpread(fraction float64) bool {
	failing := p.TargetByEndpoint.failing()
	return failing >= minBadEndpoints && float64(failing) >= fraction*float64(len(p.TargetByEndpoint))
}

// failureEvidence returns a lower bound of the negative log probability that a version as good as
// the others shows the target's failures, where baselineRate counts as chance.
func (p VersionCounts) failureEvidence(baselineRate float64) float64 {
	return chernoff(p.Target.answers(), p.Target.badRate(), max(baselineRate, badRateFactor*p.Other.badRate()))
}

// failsBeyondEndpoints reports whether the target fails more than its endpoints do for reasons of
// their own. It detects a bad version also beside failing endpoints.
func (p VersionCounts) failsBeyondEndpoints(baselineRate, threshold float64) bool {
	reference := p.OtherByEndpoint.sum().all()
	return p.Target.Bad >= minSuspectFailures && reference >= max(minReferenceAnswers, p.TargetByEndpoint.sum().all()) && p.fit.logRatioBad(baselineRate) >= threshold
}

func (p VersionCounts) isSlower() bool {
	return p.Target.slowRate() > p.expectedSlowRate()+minSlowExcess
}

// expectedSlowRate returns the slow rate of a version as good as the others.
func (p VersionCounts) expectedSlowRate() float64 {
	return max(minExpectedSlowRate, p.Other.slowRate())
}

// slowEvidence returns a lower bound of the negative log probability that a version as good as the
// others shows the target's paces.
func (p VersionCounts) slowEvidence() float64 {
	return chernoff(p.Target.Paced, p.Target.slowRate(), p.expectedSlowRate())
}

// chernoff returns a lower bound of the negative log probability of a mean of at least observed
// among n values from 0 to 1 whose expected mean is lower (Chernoff, 1952); 0 if observed is not
// higher.
func chernoff(n int, observed, expected float64) float64 {
	if observed <= expected {
		return 0
	}
	return float64(n) * (observed*logRatio(observed, expected) + (1-observed)*logRatio(1-observed, 1-expected))
}

// logRatio returns log(a/b); 0 if either is not positive.
func logRatio(a, b float64) float64 {
	if a <= 0 || b <= 0 {
		return 0
	}
	return math.Log(a / b)
}

// enoughGood reports whether enough published answers of the target are good for a larger share.
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
