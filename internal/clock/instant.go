package clock

import "time"

// Instant is a moment. Unlike the runtime's times, the time between two instants counts what
// the machine was suspended: the world went on meanwhile. What the runtime waits for, as
// timers and the deadlines of connections, goes by the runtime's times; a Watch makes up for
// them. An immutable value; the zero one is before all others.
type Instant struct{ at time.Time }

// Now is the moment that is now.
func Now() Instant {
	now := time.Now()
	return Instant{now.Add(machineSuspension.totalAt(now))}
}

// Since is how long ago a moment was.
func Since(i Instant) time.Duration { return Now().Sub(i) }

// Until is how long it is until a moment.
func Until(i Instant) time.Duration { return i.Sub(Now()) }

// Add is the moment that is so much later.
func (i Instant) Add(d time.Duration) Instant { return Instant{i.at.Add(d)} }

// Sub is how much later the moment is than another.
func (i Instant) Sub(o Instant) time.Duration { return i.at.Sub(o.at) }

// Before reports whether the moment is before another.
func (i Instant) Before(o Instant) bool { return i.at.Before(o.at) }

// After reports whether the moment is after another.
func (i Instant) After(o Instant) bool { return i.at.After(o.at) }

// Compare is -1 if the moment is before another, 1 if it is after it, else 0.
func (i Instant) Compare(o Instant) int { return i.at.Compare(o.at) }

// IsZero reports whether it is no moment.
func (i Instant) IsZero() bool { return i.at.IsZero() }

// Time is the moment in the runtime's times: when a timer or a connection's deadline is due that
// is to end then, or what the time of day was; the zero time for no moment.
func (i Instant) Time() time.Time {
	if i.IsZero() {
		return time.Time{}
	}
	now := time.Now()
	return i.at.Add(-machineSuspension.totalAt(now))
}

// At is a moment of a clock that is not the runtime's, as a simulation has one.
func At(t time.Time) Instant { return Instant{t} }
