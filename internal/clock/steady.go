package clock

import "time"

// Steady is a clock that the time of day does not move: it counts from its making, also while
// the machine is suspended.
type Steady struct{ started Instant }

// NewSteady starts a clock.
func NewSteady() Steady { return Steady{started: Now()} }

// Now is how long ago the clock was started.
func (s Steady) Now() time.Duration { return Since(s.started) }
