package gateway

import (
	"sync"
	"time"
)

// Parameters of the retry budget. All hosts together may make repeats up to a
// part of a service's requests in a window; each keeps to that part of its own.
const (
	budgetBuckets = 10 // of a second each
	budgetReserve = 2  // repeats that a host may make without any first sends
)

// budgets hold a host's repeats to a part of its first sends, by service.
type budgets struct {
	mu       sync.Mutex // guards all below
	ratio    float64
	services map[string]*budget
}

func newBudgets(ratio float64) *budgets {
	return &budgets{ratio: ratio, services: map[string]*budget{}}
}

func (b *budgets) setRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// budget counts the sends of the last seconds.
type budget struct {
	second  int64
	firsts  [budgetBuckets]int
	repeats [budgetBuckets]int
}

// first counts a request's first send.
func (b *budgets) first(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.at(service)
	at.firsts[at.second%budgetBuckets]++
}

// repeat takes a further send from the budget; a part below 1 leaves the rest of
// the budget to others.
func (b *budgets) repeat(service string, part float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.at(service)
	firsts, repeats := 0, 0
	for i := range budgetBuckets {
		firsts += at.firsts[i]
		repeats += at.repeats[i]
	}
	if float64(repeats+1) > part*(b.ratio*float64(firsts)+budgetReserve) {
		return false
	}
	at.repeats[at.second%budgetBuckets]++
	return true
}

// at returns a service's budget, with the seconds that are over dropped.
func (b *budgets) at(service string) *budget {
	known, ok := b.services[service]
	now := time.Now().Unix()
	if !ok {
		known = &budget{second: now}
		b.services[service] = known
	}
	for s := max(known.second, now-budgetBuckets); s < now; s++ {
		next := (s + 1) % budgetBuckets
		known.firsts[next], known.repeats[next] = 0, 0
	}
	known.second = max(known.second, now)
	return known
}
