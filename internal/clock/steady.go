package clock

import "time"

// Steady is a clock that the time of day does not move: it counts from its making.
type Steady struct{ began time.Time }

// NewSteady starts a clock.
func NewSteady() Steady { return Steady{began: time.Now()} }

// Now is how long ago the clock was started.
func (s Steady) Now() time.Duration { return time.Since(s.began) }
