// Package cascade weighs answers of models of unlike size against each other, and
// against the time and the money that a larger model takes. It decides nothing by
// itself and reads no clock.
//
// # Usage
//
//	small := cascade.Answer{Right: cascade.ChanceRight(confidence), InTime: 1}
//	large := cascade.Option{Answer: cascade.Answer{Right: cascade.LargestRight, InTime: 0.9}, Use: use, Delay: delay}
//	if large.Net() > small.Value() {
//		...ask the larger model
//	}
//
// All is told in parts of the worth of a right answer that comes in time.
package cascade

// Values of answers, as parts of a right one that comes in time. They are priors:
// callers do not tell what an answer was worth to them.
const (
	valueWrong = 0.05
	valueLate  = 0.3
)

// LargestCorrect is the prior for the chance that the largest model's answer is right:
// it is there for what smaller ones can't answer.
const LargestCorrect = 1.0

// largestCost is the prior for what the use of the largest model costs, as a part of
// the answer's worth: operators declare what models cost, but not what an answer is
// worth.
const largestCost = 0.35

// RelativeCost is what the use of a model costs, by its declared cost and that of the largest.
func RelativeCost(cost, largest float64) float64 {
	if largest <= 0 {
		return largestCost
	}
	return largestCost * cost / largest
}

// fixedWorth of an answer's worth does not grow with its size, as the users tell.
const fixedWorth = 0.3

// Worth is what a request is worth, as a part of its route's mean, by its size
// relative to the mean one.
func Worth(size float64) float64 { return fixedWorth + (1-fixedWorth)*size }

// Answer is an answer that a caller may get.
type Answer struct {
	Right  float64 // chance that it is right
	InTime float64 // chance that it comes in time
}

// Value is what it is worth on average.
func (a Answer) Value() float64 {
	return (a.Right + (1-a.Right)*valueWrong) * (a.InTime + (1-a.InTime)*valueLate)
}

// Option is an answer that has yet to be asked for.
type Option struct {
	Answer
	Use  float64 // what the model's use costs for a request of the mean size
	Size float64 // of the request, relative to the mean one of its route
	// Delay is how long others wait for the work, as a part of the objective: of
	// requests whose slack is spread evenly over it, so many become late. They are
	// worth as much as the mean one.
	Delay float64
}

// NetValue is what it is worth beyond what it takes from others.
func (o Option) NetValue() float64 {
	return o.Value() - (o.Use*o.Size+o.Delay*(1-valueLate))/Worth(o.Size)
}

// calibration is the chance that a small model's answer is right, by the confidence it
// gives: pairs in rising order. It is a prior, for nothing on the way tells which answers
// were right.
var calibration = []struct{ confidence, chance float64 }{
	{0, 0.02}, {20, 0.05}, {30, 0.12}, {40, 0.3}, {50, 0.55}, {60, 0.65}, {80, 0.85}, {100, 1},
}

// CorrectProbability returns how likely an answer of a confidence, 0 to 100, is right.
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
