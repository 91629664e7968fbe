// Package retry holds a host's repeats of requests to a part of its first sends, so
// that they can't multiply the load on endpoints that fail.
//
// # Usage
//
//	b := retry.NewBudgets(retry.Limits{Ratio: 0.8, Reserve: 2})
//	b.First("tagger")           // a request is sent for the first time
//	if b.Repeat("tagger", 1) {  // and may be sent once more
//		...
//	}
//
// All hosts together may make repeats up to a part of a service's requests in a
// window of time; each keeps to that part of its own, so nothing is shared. A
// Window is the value that decides; Budgets keeps one for each service.
package retry

import (
	"sync"
	"time"

	"quaybarrow/internal/clock"
)

// windowSeconds is the length of the window, which the platform's bound names.
const windowSeconds = 10

// Limits bound repeats.
type Limits struct {
	Ratio   float64 // repeats for each first send
	Reserve float64 // repeats that may be made without any first sends
}

// Window counts the sends of the last seconds; an immutable value. It goes by a
// steady clock: by the time of day, a jump ahead and back would leave its counts in
// place for as long as the jump.
type Window struct {
	second  int64 // of the steady clock
	firsts  [windowSeconds]int
	retries [windowSeconds]int
}

// WithFirst returns the window after a first send.
func (w Window) WithFirst(now time.Duration) Window {
	w = w.advanceTo(now)
	w.firsts[w.second%windowSeconds]++
	return w
}

// WithRetry returns the window after a repeat, if there is room for it. A part
// below 1 leaves the rest of the room to others.
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

// advanceTo returns the window with the seconds that are over dropped.
func (w Window) advanceTo(now time.Duration) Window {
	second := int64(now / time.Second)
	for s := max(w.second, second-windowSeconds); s < second; s++ {
		next := (s + 1) % windowSeconds
		w.firsts[next], w.retries[next] = 0, 0
	}
	w.second = max(w.second, second)
	return w
}

// Budgets keeps a window for each service; safe for use at once.
type Budgets struct {
	mu      sync.Mutex // guards all below
	limits  Limits
	windows map[string]Window
	clock   clock.Steady
}

// NewBudgets returns budgets that nothing was taken from.
func NewBudgets(limits Limits) *Budgets {
	return &Budgets{limits: limits, windows: map[string]Window{}, clock: clock.NewSteady()}
}

// SetRatio bounds repeats from now on.
func (b *Budgets) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Ratio = ratio
}

// RecordFirst counts a request's first send.
func (b *Budgets) RecordFirst(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.windows[service] = b.windows[service].WithFirst(b.clock.Now())
}

// TakeRetry takes a further send from a service's budget; false if none is left in a
// part of it.
func (b *Budgets) TakeRetry(service string, fraction float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, ok := b.windows[service].WithRetry(b.clock.Now(), b.limits, fraction)
	b.windows[service] = next
	return ok
}
