package upgrade

import "time"

// Parameters of slow answers.
const (
	paceDecay  = 0.95 // weight of the past in the mean
	paceLeast  = 12   // answers before the mean says anything
	paceFactor = 4.0  // times the mean that is slow; bad versions take several times as long, and of good ones' answers one in fifty takes three times
)

// pace is the mean time of a route's answers on a model.
type pace struct {
	mean float64 // seconds
	n    int
}

// with returns the pace after an answer.
func (p pace) with(took time.Duration) pace {
	if p.n == 0 {
		return pace{mean: took.Seconds(), n: 1}
	}
	return pace{mean: p.mean*paceDecay + took.Seconds()*(1-paceDecay), n: p.n + 1}
}

// slow reports whether an answer took several times as long as usual.
func (p pace) slow(took time.Duration) bool {
	return p.n >= paceLeast && took.Seconds() > paceFactor*p.mean
}
