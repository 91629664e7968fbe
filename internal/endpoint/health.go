package endpoint

import "time"

// Outcome is how an attempt at an endpoint went, for judging the endpoint.
type Outcome int

// Outcomes of an attempt.
const (
	OutcomeGood    Outcome = iota
	OutcomeFailed          // the endpoint broke off or answered with an error
	OutcomeRefused         // it refused before any work
	OutcomeNeutral         // the caller left, or the fault was ours
)

// Parameters of judging endpoints.
const (
	ejectAfter = 3                // failures in a row
	ejectFor   = 5 * time.Second  // at first; doubles with each ejection
	ejectMost  = 60 * time.Second // longest ejection
	slowStart  = 10 * time.Second // from ejection's end to full traffic
)

// Health is what attempts told of an endpoint; an immutable value.
type Health struct {
	failures int           // in a row
	until    time.Time     // no traffic before; zero if never ejected
	length   time.Duration // of the last ejection
}

// WithOutcome returns the health after an attempt. An endpoint that fails a few
// times in a row is left alone for a while, longer each time.
func (h Health) WithOutcome(o Outcome, now time.Time) Health {
	switch o {
	case OutcomeGood:
		h.failures, h.length = 0, 0
	case OutcomeFailed:
		h.failures++
		if h.failures >= ejectAfter || h.length > 0 {
			h.failures = 0
			h.length = min(max(h.length*2, ejectFor), ejectMost)
			h.until = now.Add(h.length)
		}
	case OutcomeRefused, OutcomeNeutral:
	}
	return h
}

// Ready reports whether the endpoint may get traffic.
func (h Health) Ready(now time.Time) bool { return !now.Before(h.until) }

// Slow is the part of full traffic, 0 to 1, that the endpoint should get.
func (h Health) Slow(now time.Time) float64 {
	back := now.Sub(h.until)
	if h.until.IsZero() || back >= slowStart {
		return 1
	}
	return max(float64(back)/float64(slowStart), 0)
}
