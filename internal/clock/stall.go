package clock

import (
	"context"
	"sync"
	"time"
)

const (
	// MinStall is the shortest time for which a process does not run that counts as a stall. Another
	// process takes longer to crash and start again.
	MinStall = 500 * time.Millisecond
	// stallTick is the time between looks at the clock; it is shorter than a stall by more than timers
	// usually are late.
	stallTick = MinStall / 2
)

// Stalls notices when this process has not run for a while, since it was stopped or its machine stood
// still. What arrived meanwhile is read late, and does not show when it arrived. It is safe for concurrent
// use.
type Stalls struct {
	mu      sync.Mutex // guards the fields below
	looked  Instant    // when the clock was last looked at
	ended   Instant    // when the last stall ended
	stalled bool       // there has been a stall
}

// NewStalls returns a Stalls that has seen none.
func NewStalls() *Stalls { return &Stalls{looked: Now()} }

// Run looks at the clock until ctx ends. While it does not run, every use of Stalls that comes late enough
// counts as a stall.
func (s *Stalls) Run(ctx context.Context) {
	s.mu.Lock()
	s.looked = Now()
	s.mu.Unlock()
	for Sleep(ctx, stallTick) {
		s.look()
	}
}

// look notes a stall that has ended now.
func (s *Stalls) look() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := Now()
	if now.Sub(s.looked) >= MinStall {
		s.ended, s.stalled = now, true
	}
	s.looked = now
}

// Since reports whether a stall has ended after an instant, or ends now.
func (s *Stalls) Since(at Instant) bool {
	s.look()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalled && s.ended.After(at)
}
