package usage

import (
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

// MedianClock is what most hosts take the time of day to be, carried on by this host's running
// clock. The time of day of single hosts jumps by seconds, and back; the median of all is right
// as long as fewer than half have jumped. An immutable value; the zero one knows no time.
type MedianClock struct {
	at    clock.Instant
	wallTime time.Time
	known bool
}

// ClockReading is a host's time of day at a moment.
type ClockReading struct {
	At   clock.Instant
	Time time.Time
}

// minReadingShare is the part of the hosts that must have told their time of day.
const minReadingShare = 0.5

// With returns the time of day by what hosts have shown, of so many that there are; the one
// before if too few have.
func (t MedianClock) With(readings []ClockReading, hosts int) MedianClock {
	if len(readings) == 0 || float64(len(readings)) < minReadingShare*float64(hosts) {
		return t
	}
	now := clock.Now()
	times := make([]time.Time, len(readings))
	for i, s := range readings {
		times[i] = s.Time.Add(now.Sub(s.At))
	}
	slices.SortFunc(times, time.Time.Compare)
	return MedianClock{at: now, wallTime: times[len(times)/2], known: true}
}

// Now is the time of day; false if it is not known.
func (t MedianClock) Now() (time.Time, bool) { return t.wallTime.Add(clock.Since(t.at)), t.known }
