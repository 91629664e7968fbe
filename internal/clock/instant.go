package clock

import "time"

// Instant is a point in time. Unlike the difference of two time.Time values, the difference of two
// instants includes the time for which the machine was suspended, since other machines kept running.
// The runtime's timers and connection deadlines don't include it; Deadlines.Watch compensates for
// that in contexts. An Instant is immutable; the zero value is before all others.
type Instant struct{ at time.Time }

// Now returns the current instant.
func Now() Instant {
	now := time.Now()
	return Instant{now.Add(machineSuspension.totalAt(now))}
}

// Since returns the time elapsed since i.
func Since(i Instant) time.Duration { return Now().Sub(i) }

// Until returns the time left until i.
func Until(i Instant) time.Duration { return i.Sub(Now()) }

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return Instant{i.at.Add(d)} }

// Sub returns the duration i-o.
func (i Instant) Sub(o Instant) time.Duration { return i.at.Sub(o.at) }

// Before reports whether i is before o.
func (i Instant) Before(o Instant) bool { return i.at.Before(o.at) }

// After reports whether i is after o.
func (i Instant) After(o Instant) bool { return i.at.After(o.at) }

// Compare returns -1 if i is before o, 1 if i is after o, and 0 otherwise.
func (i Instant) Compare(o Instant) int { return i.at.Compare(o.at) }

// IsZero reports whether i is the zero value, which stands for no instant.
func (i Instant) IsZero() bool { return i.at.IsZero() }

// Time converts i to the runtime's time, for setting a timer or connection deadline that ends at i
// or for finding the wall clock time at i. It returns the zero time for the zero instant.
func (i Instant) Time() time.Time {
	if i.IsZero() {
		return time.Time{}
	}
	now := time.Now()
	return i.at.Add(-machineSuspension.totalAt(now))
}

// At returns an instant of a clock other than the runtime's, such as a simulation's clock.
func At(t time.Time) Instant { return Instant{t} }
