package usage

import (
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

// TimeOfDay is what most hosts take the time of day to be, carried on by this host's running
// clock. The time of day of single hosts jumps by seconds, and back; the median of all is right
// as long as fewer than half have jumped. An immutable value; the zero one knows no time.
type TimeOfDay struct {
	at    clock.Instant
	shown time.Time
	known bool
}

// Shown is a host's time of day at a moment.
type Shown struct {
	At   clock.Instant
	Time time.Time
}

// shownLeast is the part of the hosts that must have told their time of day.
const shownLeast = 0.5

// With returns the time of day by what hosts have shown, of so many that there are; the one
// before if too few have.
func (t TimeOfDay) With(shown []Shown, hosts int) TimeOfDay {
	if len(shown) == 0 || float64(len(shown)) < shownLeast*float64(hosts) {
		return t
	}
	now := clock.Now()
	times := make([]time.Time, len(shown))
	for i, s := range shown {
		times[i] = s.Time.Add(now.Sub(s.At))
	}
	slices.SortFunc(times, time.Time.Compare)
	return TimeOfDay{at: now, shown: times[len(times)/2], known: true}
}

// Now is the time of day; false if it is not known.
func (t TimeOfDay) Now() (time.Time, bool) { return t.shown.Add(clock.Since(t.at)), t.known }
