package upgrade

import (
	"time"

	"quaybarrow/internal/clock"
)

// Unreported is what is known of answers that nobody has told of. Hosts tell of failures at
// once, so what is untold is good. Silent hosts have seen fewer of the target's answers than those
// that told, who told because they had seen some; with nothing untold a good version beside
// endpoints that fail would look worse than it is.
type Unreported struct {
	Silent int // hosts that have told nothing
	// Known tells that HostSeconds is, the time that hosts have not told of, added up and
	// multiplied by the target's share of the keys.
	Known       bool
	HostSeconds float64
}

// maxReportDelay is how long it takes at most until all hosts tell all that they see, once one has
// seen a failure of the target: 0.35 s until it is told and read, half a second until
// hosts tell again, and as long until that is read. A host that tells nothing after that has
// seen nothing.
const maxReportDelay = 1200 * time.Millisecond

// estimate returns how many estimate of the target, of which some hosts told, nobody has; all
// are those of any version, in seconds of hosts that told.
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

// totalSeconds adds up for how long hosts have counted.
func totalSeconds(evidence []Evidence) float64 {
	sum := 0.0
	for _, e := range evidence {
		sum += e.Seconds
	}
	return sum
}

// unreported is what others have not told this host until now.
func (t *Tracker) unreported(s *serviceUpgrade, now clock.Instant) Unreported {
	u := Unreported{Silent: max(t.options.Hosts()-len(s.others)-1, 0)}
	if s.finished() {
		u.Silent = 0 // nobody tells any more
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
