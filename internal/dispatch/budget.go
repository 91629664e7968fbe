package dispatch

import "sync"

// Parameters of the retry budget.
const (
	retryShare   = 0.1  // retries per first attempt
	retryReserve = 10.0 // retries that an idle host may make at once
)

// Budget limits retries to a part of the first attempts, so that they can't
// multiply the load on endpoints that fail; an immutable value.
type Budget struct{ tokens float64 }

// NewBudget returns a full budget.
func NewBudget() Budget { return Budget{tokens: retryReserve} }

// WithFirst returns the budget after a first attempt.
func (b Budget) WithFirst() Budget { return Budget{tokens: min(b.tokens+retryShare, retryReserve)} }

// WithRetry returns the budget after a retry; false if there is none left.
func (b Budget) WithRetry() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	return Budget{tokens: b.tokens - 1}, true
}

// sharedBudget is a host's budget.
type sharedBudget struct {
	mu  sync.Mutex // guards now
	now Budget
}

func (s *sharedBudget) first() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.WithFirst()
}

// retry takes a retry from the budget, if there is one.
func (s *sharedBudget) retry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, ok := s.now.WithRetry()
	s.now = next
	return ok
}
