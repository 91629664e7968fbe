// Package retry limits a host's retries of requests to a fraction of its first attempts, so that
// retries cannot multiply the load on failing endpoints.
//
// # Usage
//
//	b := retry.NewBudgets(retry.Limits{Ratio: 0.8, Reserve: 2})
//	b.RecordFirst("tagger")       // a request is sent for the first time
//	if b.TakeRetry("tagger", 1) { // and may be retried
//		...
//	}
//
// All hosts together may make retries up to a fraction of a service's requests in a time window. Each
// host keeps to that fraction of its own requests, so hosts share no state. A Window makes the
// decision; Budgets keeps one Window for each service.
package retry

import (
	"sync"
	"time"

	"quaybarrow/internal/clock"
)

// windowSeconds is the length of the window; the platform's bound on retries names the same length.
const windowSeconds = 10

// Limits bound retries.
type Limits struct {
	Ratio   float64 // retries for each first attempt
	Reserve float64 // retries allowed without any first attempts
}

// Window counts the attempts of the last seconds. It is an immutable value. It uses a monotonic clock:
// with wall-clock time, a jump forward and back would keep old counts for as long as the jump.
type Window struct {
	second  int64 // of the monotonic clock
	firsts  [windowSeconds]int
	retries [windowSeconds]int
}

// WithFirst returns the window after a first attempt.
func (w Window) WithFirst(now time.Duration) Window {
	w = w.advanceTo(now)
	w.firsts[w.second%windowSeconds]++
	return w
}

// WithRetry returns the window after a retry, if the limits allow one. A fraction below 1 leaves the
// rest of the allowance to other uses.
func (w Window) WithRetry(now time.Duration, limits Limits, fraction float64) (Window, bool) {
	w = w.advanceTo(now)
	firsts, retries := 0, 0
	for i := range windowSeconds {
		firsts += w.firsts[i]
		retries += w.retries[i]
	}
	if float64(retries+1) > fraction*(limits.Ratio*float64(firsts)+limits.Reserve) {
		return w, false
	}
	w.retries[w.second%windowSeconds]++
	return w, true
}

// advanceTo returns the window without the seconds that have expired.
func (w Window) advanceTo(now time.Duration) Window {
	second := int64(now / time.Second)
	for s := max(w.second, second-windowSeconds); s < second; s++ {
		next := (s + 1) % windowSeconds
		w.firsts[next], w.retries[next] = 0, 0
	}
	w.second = max(w.second, second)
	return w
}

// Budgets keeps a window for each service. It is safe for concurrent use.
type Budgets struct {
	mu      sync.Mutex // guards all below
	limits  Limits
	windows map[string]Window
	clock   clock.Steady
}

// NewBudgets returns budgets without any attempts.
func NewBudgets(limits Limits) *Budgets {
	return &Budgets{limits: limits, windows: map[string]Window{}, clock: clock.NewSteady()}
}

// SetRatio changes the ratio of retries to first attempts from now on.
func (b *Budgets) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Ratio = ratio
}

// RecordFirst counts the first attempt of a request.
func (b *Budgets) RecordFirst(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.windows[service] = b.windows[service].WithFirst(b.clock.Now())
}

// TakeRetry takes one retry from a service's budget. It returns false if the given fraction of the
// budget is used up.
func (b *Budgets) TakeRetry(service string, fraction float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, ok := b.windows[service].WithRetry(b.clock.Now(), b.limits, fraction)
	b.windows[service] = next
	return ok
}
