// Package rollout brings a version into service while a bad one touches few
// requests, and withdraws one that turns bad later.
//
// # Usage
//
//	state, action := rollout.Step(state, plan, ratings, now)
//
// Step is pure. A plan holds a window of answers that may be out without a
// rating, as a congestion window holds packets without an acknowledgement: it
// opens as good ratings return and closes on bad ones. The window is given to
// hosts as credits, one for each answer, so a controller that dies exposes
// nobody to more than what it had granted. The decisions are sequential tests
// that stay valid however often one looks.
package rollout

import "math"

// betFractions are the stakes of the tests; their wealth is averaged, which keeps a
// test valid and makes it quick over a range of differences.
var betFractions = [...]float64{0.25, 0.5, 1, 1.5}

// Evidence is what a gambler owns who bets that a version's mean rating is on one
// side of a floor, for each stake. If it is not, the wealth exceeds 1/a with
// probability a at the most, ever: this is the test.
type Evidence [len(betFractions)]float64

// newEvidence is the wealth before the first bet.
func newEvidence() Evidence {
	var w Evidence
	for i := range w {
		w[i] = 1
	}
	return w
}

// mean is the gambler's whole wealth.
func (w Evidence) mean() float64 {
	sum := 0.0
	for _, v := range w {
		sum += v
	}
	return sum / float64(len(w))
}

// update plays one rating: for is +1 to update that the mean is above the floor, -1
// that it is below. A stake never risks more than all.
func (w Evidence) update(rating, floor, direction float64) Evidence {
	maxLoss := floor // largest loss per stake: rating 0 when betting above
	if direction < 0 {
		maxLoss = 1 - floor
	}
	for i, fraction := range betFractions {
		bet := math.Min(fraction, maxLossPerRating/math.Max(maxLoss, minMaxLoss))
		w[i] *= 1 + bet*direction*(rating-floor)
	}
	return w
}

// Bounds of a stake.
const (
	maxLossPerRating = 0.9
	minMaxLoss       = 0.05
)

// ChangeDetector watches a version in service for a change to the bad: a gambler who
// starts anew with one unit at every rating. Its sum crosses 1/a about once in
// 1/a ratings of a good version at the most.
type ChangeDetector Evidence

// update plays one rating.
func (d ChangeDetector) update(rating, floor float64) ChangeDetector {
	w := Evidence(d)
	for i := range w {
		w[i]++
	}
	return ChangeDetector(w.update(rating, floor, -1))
}

func (d ChangeDetector) mean() float64 { return Evidence(d).mean() }
