package dispatch

import "sync"

// Parameters of the retry budget.
const (
	retryShare   = 0.1  // retries per first attempt
	retryReserve = 10.0 // retries that an idle host may make at once
)

// budget limits retries to a part of the first attempts, so that they can't
// multiply the load on endpoints that fail.
type budget struct {
	mu     sync.Mutex // guards tokens
	tokens float64
}

func newBudget() *budget { return &budget{tokens: retryReserve} }

// first notes a first attempt.
func (b *budget) first() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryReserve)
}

// retry takes a retry from the budget, if there is one.
func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
