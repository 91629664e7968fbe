// Package cascade compares the expected value of a small model's answer with that of a larger model's,
// less the cost of the larger model and the delay it causes to other requests. It only computes values:
// the caller decides, and no clock is read.
//
// # Usage
//
//	small := cascade.Answer{Correct: cascade.CorrectProbability(confidence), InTime: 1}
//	large := cascade.Option{Answer: cascade.Answer{Correct: cascade.LargestCorrect, InTime: 0.9}, Cost: cost, Size: size, Delay: delay}
//	if large.NetValue() > small.Value() {
//		...ask the larger model
//	}
//
// All values are fractions of the value of a correct answer that comes in time.
package cascade

// Values of wrong and of late answers, as fractions of the value of a correct answer that comes in
// time. They are priors: callers do not report what an answer was worth to them.
const (
	valueWrong = 0.05
	valueLate  = 0.3
)

// LargestCorrect is the prior probability that the largest model's answer is correct: that model is
// there for requests that smaller models cannot answer.
const LargestCorrect = 1.0

// largestCost is the prior cost of using the largest model, as a fraction of the answer's value:
// operators declare what models cost, but not what an answer is worth.
const largestCost = 0.35

// RelativeCost returns the cost of using a model, given its declared cost and that of the largest model.
func RelativeCost(cost, largest float64) float64 {
	if largest <= 0 {
		return largestCost
	}
	return largestCost * cost / largest
}

// fixedWorth is the part of a request's worth that does not grow with its size, as the users say.
const fixedWorth = 0.3

// Worth returns the worth of a request, as a fraction of its route's mean. Size is relative to the
// route's mean size.
func Worth(size float64) float64 { return fixedWorth + (1-fixedWorth)*size }

// Answer is an answer that a caller has or may get.
type Answer struct {
	Correct float64 // probability that it is correct
	InTime  float64 // probability that it comes in time
}

// Value returns the expected value of the answer.
func (a Answer) Value() float64 {
	return (a.Correct + (1-a.Correct)*valueWrong) * (a.InTime + (1-a.InTime)*valueLate)
}

// Option is an answer that has not been requested yet.
type Option struct {
	Answer
	Cost float64 // cost of using the model for a request of mean size
	Size float64 // size of the request, relative to the mean size of its route
	// Delay is how long other requests wait because of this one, as a fraction of the route's time
	// objective. If their slack is spread evenly over the objective, this fraction of them becomes
	// late. They are taken to be worth as much as the mean request.
	Delay float64
}

// NetValue returns the value of the answer less its cost and the value that other requests lose by the
// delay.
func (o Option) NetValue() float64 {
	return o.Value() - (o.Cost*o.Size+o.Delay*(1-valueLate))/Worth(o.Size)
}

// calibration maps the confidence that a small model reports to the probability that its answer is
// correct, in ascending order. It is a prior: nothing at run time reveals which answers were correct.
var calibration = []struct{ confidence, chance float64 }{
	{0, 0.02}, {20, 0.05}, {30, 0.12}, {40, 0.3}, {50, 0.55}, {60, 0.65}, {80, 0.85}, {100, 1},
}

// CorrectProbability returns the probability that an answer of the given confidence, 0 to 100, is
// correct, interpolated linearly.
func CorrectProbability(confidence float64) float64 {
	for i := 1; i < len(calibration); i++ {
		below, above := calibration[i-1], calibration[i]
		if confidence < above.confidence {
			part := (confidence - below.confidence) / (above.confidence - below.confidence)
			return below.chance + max(part, 0)*(above.chance-below.chance)
		}
	}
	return 1
}
