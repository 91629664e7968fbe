package upgrade

import (
	"fmt"
	"math"
	"strings"
	"time"

	"quaybarrow/internal/clock"
)

// level is a load of an endpoint from which on answers are counted apart. A version may do well on
// idle endpoints and fail on busy ones. During a trial its endpoints have few requests each, so
// answers at the loads to come are few among all that it gives.
type level struct {
	name string  // in evidence
	load float64 // least fraction of the endpoint's slots in use
}

// levels are the load levels, the lowest first.
var levels = [...]level{{anyLoad, 0}, {"0.25", 0.25}, {"0.5", 0.5}, {"0.75", 0.75}}

// anyLoad names the level that all answers reach.
const anyLoad = "0"

// levelsReached returns the levels that a load reaches.
func levelsReached(load float64) []level {
	for i, l := range levels {
		if load < l.load {
			return levels[:i]
		}
	}
	return levels[:]
}

// comparable reports whether the other versions have given at least as many answers as the target at a
// load level. Otherwise a version would be called bad for failures that the load causes at any version.
func (p VersionCounts) comparable() bool { return p.Other.answers() >= p.Target.answers() }

// withOtherAtLeast returns p with the other versions' counts of all answers if they fail more often there,
// or are slow more often: the answers at a load level are fewer, and may come out too well by chance.
func (p VersionCounts) withOtherAtLeast(all VersionCounts) VersionCounts {
	if all.Other.badRate() > p.Other.badRate() {
		p.Other.Good, p.Other.Bad = all.Other.Good, all.Other.Bad
	}
	if all.Other.slowRate() > p.Other.slowRate() {
		p.Other.Paced, p.Other.Slow = all.Other.Paced, all.Other.Slow
	}
	if all.OtherByEndpoint.badRate() > p.OtherByEndpoint.badRate() {
		p.OtherByEndpoint = all.OtherByEndpoint
		p = p.withFit()
	}
	return p
}

// formatLevels formats the answers of both versions at each load level for logs.
func formatLevels(s totals) string {
	var b strings.Builder
	for _, l := range levels {
		p, ok := s.levels[l.name]
		if !ok {
			continue
		}
		if b.Len() > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "from %s of the slots: target %d bad of %d, others %d bad of %d",
			l.name, p.Target.Bad, p.Target.answers(), p.Other.Bad, p.Other.answers())
	}
	return b.String()
}

const (
	// provedExcess is the least excess failure rate at a load level that a completion rules out. With a
	// lower one, a service with few requests could not complete good versions in time.
	provedExcess = 0.5
	// provedTotalExcess is the least excess failure rate of all answers that a completion rules out.
	provedTotalExcess = 0.05
	// provedLogThreshold is the log likelihood ratio required for it at the end of the order's time, the
	// logarithm of 55. It is higher than that of a larger share, since a completion cannot be undone.
	provedLogThreshold = 4.0
)

// provedThreshold returns the log likelihood ratio that a completion requires now: twice provedLogThreshold when
// it is due, and less towards the end of the order's time. Until then waiting costs nothing and brings
// answers, while hosts that try again and again would take a few lucky ones for a proof.
func (p Progress) provedThreshold(now clock.Bounds, s Schedule) float64 {
	left := float64(time.Duration(p.EndMs)*time.Millisecond-now.Earliest) / float64(max(s.completionMargin(), 1))
	return provedLogThreshold * (1 + min(max(left, 0), 1))
}

// ProvedUnderLoad reports whether the target has given enough good answers at the loads that the other
// versions' endpoints have borne since it got its first share. An upgrade is not completed before: the
// target's endpoints will bear these loads from then on, and a completion cannot be undone. A load level
// counts by the fraction of the others' answers that were given there: the log likelihood ratio there of
// a good target to one with an excess of provedExcess, or so high that provedTotalExcess results for all
// answers, has to reach the threshold.
func (j Judgement) ProvedUnderLoad(threshold float64) bool {
	all := j.seen.levels[anyLoad].Other.answers()
	if all < minReferenceAnswers {
		return true // too few to tell which loads are usual
	}
	for _, p := range j.seen.levels {
		excess := provedExcessAt(float64(p.Other.answers()) / float64(all))
		if excess < 1 && p.withOtherAtLeast(j.seen.total).logRatioGood(excess) < threshold {
			return false
		}
	}
	return j.seen.levels[anyLoad].withOtherAtLeast(j.seen.total).logRatioGood(busyThirdExcess) >= busyThirdLogShare*threshold
}

// Requirement for the answers at all loads together. The load that an answer states may differ from that
// under which it failed, so that failures under load count at another level.
const (
	// busyThirdExcess is the excess failure rate of a version that fails half of its answers on the busiest
	// third of its endpoints.
	busyThirdExcess = 0.5 / 3
	// busyThirdLogShare is the part of the threshold that is required for it: such a version shows
	// itself in fewer of its answers than at its own level.
	busyThirdLogShare = 0.25
)

// othersBusy reports whether enough of the others' answers were given under load that the target has to be
// proved there.
func (j Judgement) othersBusy() bool {
	all := j.seen.levels[anyLoad].Other.answers()
	p := j.seen.levels[levels[1].name]
	return all >= minReferenceAnswers && provedExcessAt(float64(p.Other.answers())/float64(all)) < 1
}

// provedExcessAt returns the excess failure rate that a completion rules out at a load level, given the
// fraction of the others' answers that were given there; 1 or more if the level is too rare to count.
func provedExcessAt(fraction float64) float64 { return max(provedTotalExcess/fraction, provedExcess) }

// Disproved reports whether the recent answers show signs of a fault, or the target fails repeatedly at some
// load level and is more likely bad than good there.
func (j Judgement) Disproved() bool {
	if j.suspect {
		return true
	}
	all := j.seen.levels[anyLoad].Other.answers()
	for _, p := range j.seen.levels {
		excess := provedExcessAt(float64(p.Other.answers()) / float64(max(all, 1)))
		if p.Target.Bad >= minBadAnswers && excess < 1 && p.withOtherAtLeast(j.seen.total).logRatioGood(excess) < 0 {
			return true
		}
	}
	return false
}

// logRatioGood returns the log likelihood ratio of a version without excess failures to one with the given
// excess rate.
func (p VersionCounts) logRatioGood(excess float64) float64 {
	own := max(p.Other.badRate(), completionBaselineBadRate)
	return -float64(p.Target.Good)*math.Log1p(-excess) + float64(p.Target.Bad)*math.Log(own/(1-(1-own)*(1-excess)))
}
