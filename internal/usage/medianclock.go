package usage

import (
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

// MedianClock is the median of all hosts' wall clocks, advanced by this host's monotonic clock.
// The wall clocks of single hosts jump by seconds, and back; the median is right as long as fewer
// than half have jumped. It is an immutable value; the zero value has no time.
type MedianClock struct {
	at       clock.Instant
	wallTime time.Time
	known    bool
}

// ClockReading is the wall time of a host, read at instant At of the local monotonic clock.
type ClockReading struct {
	At   clock.Instant
	Time time.Time
}

// minReadingShare is the minimum share of hosts whose wall time is needed for an update.
const minReadingShare = 0.5

// With returns a clock set to the median of the readings, or t itself if too few of the hosts have
// a reading; hosts is the number of all hosts.
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

// Now returns the time of day; false if it is not known.
func (t MedianClock) Now() (time.Time, bool) { return t.wallTime.Add(clock.Since(t.at)), t.known }
