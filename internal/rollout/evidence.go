// Package rollout puts a model version into service gradually, so that a bad version affects
// few requests, and withdraws a version whose quality drops later.
//
// # Usage
//
//	state, action := rollout.Step(state, plan, ratings, now)
//
// Step is a pure function. A plan has a window: the number of answers that may be
// outstanding without a rating, much as a congestion window limits unacknowledged packets.
// It grows with good ratings and shrinks with bad ones. The controller grants the window to
// hosts as credits, one for each answer, so if the controller crashes, no more answers are
// given than it had granted. The decisions are sequential hypothesis tests that stay valid
// however often they are evaluated.
package rollout

import "math"

// betFractions are the bet sizes of the tests. A test averages the evidence of all of them, which
// keeps it valid and makes it fast over a range of differences between mean and floor.
var betFractions = [...]float64{0.25, 0.5, 1, 1.5}

// Evidence holds, for each bet size, the test supermartingale (e-process) for the hypothesis
// that a version's mean rating is on one side of the floor. If the hypothesis is false, the
// evidence ever exceeds 1/a with a probability of at most a. The tests rest on this bound.
type Evidence [len(betFractions)]float64

// newEvidence returns the evidence before the first rating.
func newEvidence() Evidence {
	var e Evidence
	for i := range e {
		e[i] = 1
	}
	return e
}

// mean returns the average evidence over all bet sizes.
func (e Evidence) mean() float64 {
	sum := 0.0
	for _, v := range e {
		sum += v
	}
	return sum / float64(len(e))
}

// update adds one rating. The direction is +1 to test whether the mean is above the floor and
// -1 to test whether it is below. The bet is limited so that the evidence stays positive.
func (e Evidence) update(rating, floor, direction float64) Evidence {
	maxLoss := floor // largest loss per unit of bet: at rating 0 in the upward direction
	if direction < 0 {
		maxLoss = 1 - floor
	}
	for i, fraction := range betFractions {
		bet := math.Min(fraction, maxLossPerRating/math.Max(maxLoss, minMaxLoss))
		e[i] *= 1 + bet*direction*(rating-floor)
	}
	return e
}

// Bounds of a bet.
const (
	maxLossPerRating = 0.9  // largest fraction of the evidence that one rating may take away
	minMaxLoss       = 0.05 // lower bound of the divisor, for floors near 0 or 1
)

// ChangeDetector detects a drop in the quality of a version in service. It sums the evidence
// of tests that start at every rating, each with one unit (a Shiryaev-Roberts detector). With a
// good version, the sum exceeds 1/a at most about once in 1/a ratings.
type ChangeDetector Evidence

// update adds one rating.
func (d ChangeDetector) update(rating, floor float64) ChangeDetector {
	e := Evidence(d)
	for i := range e {
		e[i]++
	}
	return ChangeDetector(e.update(rating, floor, -1))
}

func (d ChangeDetector) mean() float64 { return Evidence(d).mean() }
