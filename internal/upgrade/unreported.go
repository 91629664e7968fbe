package upgrade

import (
	"time"

	"quaybarrow/internal/clock"
)

// Unreported describes the answers that other hosts have seen and not yet published. They are
// assumed to be good, since hosts publish failures at once. Silent hosts have seen fewer of the
// target's answers than the publishing ones, which published because they had seen some. Without
// the estimate a good version beside failing endpoints would look worse than it is.
type Unreported struct {
	Silent int // hosts that have published nothing
	// Known reports whether HostSeconds is known: the time for which hosts have not published,
	// summed over the hosts and multiplied by the target's share of the keys.
	Known       bool
	HostSeconds float64
}

// maxReportDelay is the longest time until all hosts have published everything they see, once one
// has seen a failure of the target: 0.35 s until that failure is published and read, half a second
// until hosts publish again, and as long until that is read. A host that publishes nothing after
// that has seen nothing.
const maxReportDelay = 1200 * time.Millisecond

// estimate returns the estimated number of the target's unpublished answers. reported holds the
// counts that the reporting hosts published; all holds those of any version within seconds, which
// is summed over the hosts that published.
func (u Unreported) estimate(reported, all VersionCounts, reporting int, seconds float64) int {
	switch {
	case !u.Known && reporting > 0:
		return u.Silent * reported.Target.answers() / reporting
	case seconds > 0:
		return int(float64(all.Target.answers()-all.assumedGood+all.Other.answers()) / seconds * u.HostSeconds)
	default:
		return 0
	}
}

// totalSeconds sums the time for which hosts have been counting.
func totalSeconds(evidence []Evidence) float64 {
	sum := 0.0
	for _, e := range evidence {
		sum += e.Seconds
	}
	return sum
}

// unreported describes the answers that other hosts have not yet published to this one.
func (t *Tracker) unreported(s *serviceUpgrade, now clock.Instant) Unreported {
	u := Unreported{Silent: max(t.options.Hosts()-len(s.others)-1, 0)}
	if s.finished() {
		u.Silent = 0 // the hosts have stopped publishing
		return u
	}
	storeTime, known := t.options.Watch.Now()
	if !known || !s.hasBegun() {
		return u
	}
	u.Known = true
	if s.firstFailureAt.IsZero() || now.Sub(s.firstFailureAt) > maxReportDelay {
		return u
	}
	elapsed := s.progress.elapsedAt(storeTime)
	sinceTrial := max(elapsed-s.schedule.timeOf(trialStart), 0)
	seconds := float64(u.Silent) * sinceTrial.Seconds()
	for _, o := range s.others {
		seconds += min(now.Sub(o.receivedAt), sinceTrial).Seconds()
	}
	u.HostSeconds = seconds * s.progress.Share(elapsed, s.schedule)
	return u
}
