package clock

import "time"

// Steady is a clock that measures the time since its creation. It is unaffected by changes of the
// wall clock and keeps counting while the machine is suspended.
type Steady struct{ started Instant }

// NewSteady returns a clock that starts at zero.
func NewSteady() Steady { return Steady{started: Now()} }

// Now returns the time since the clock was started.
func (s Steady) Now() time.Duration { return Since(s.started) }
