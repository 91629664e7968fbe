package upgrade

import (
	"time"

	"quaybarrow/internal/clock"
)

// Untold is what is known of answers that nobody has told of. Hosts tell of failures at
// once, so what is untold is good. Silent hosts have seen fewer of the target's answers than those
// that told, who told because they had seen some; with nothing untold a good version beside
// endpoints that fail would look worse than it is.
type Untold struct {
	Silent int // hosts that have told nothing
	// Known tells that HostSeconds is, the time that hosts have not told of, added up and
	// multiplied by the target's share of the keys.
	Known       bool
	HostSeconds float64
}

// untoldFor is how long it takes at most until all hosts tell all that they see, once one has
// seen a failure of the target: 0.35 s until it is told and read, half a second until
// hosts tell again, and as long until that is read. A host that tells nothing after that has
// seen nothing.
const untoldFor = 1200 * time.Millisecond

// answers returns how many answers of the target, of which some hosts told, nobody has; all
// are those of any version, in seconds of hosts that told.
func (u Untold) answers(told, all Pair, tellers int, seconds float64) int {
	switch {
	case !u.Known && tellers > 0:
		return u.Silent * told.Target.answers() / tellers
	case seconds > 0:
		return int(float64(all.Target.answers()-all.unseen+all.Other.answers()) / seconds * u.HostSeconds)
	default:
		return 0
	}
}

// secondsOf adds up for how long hosts have counted.
func secondsOf(told []Evidence) float64 {
	sum := 0.0
	for _, e := range told {
		sum += e.Seconds
	}
	return sum
}

// untold is what others have not told this host until now.
func (t *Tracker) untold(s *service, now clock.Instant) Untold {
	u := Untold{Silent: max(t.options.Hosts()-len(s.others)-1, 0)}
	if s.finished() {
		u.Silent = 0 // nobody tells any more
		return u
	}
	shown, known := t.options.Watch.Now()
	if !known || !s.begun() {
		return u
	}
	u.Known = true
	if s.failsSince.IsZero() || now.Sub(s.failsSince) > untoldFor {
		return u
	}
	elapsed := s.progress.elapsedAt(shown)
	trial := max(elapsed-s.schedule.at(trialAt), 0)
	seconds := float64(u.Silent) * trial.Seconds()
	for _, o := range s.others {
		seconds += min(now.Sub(o.at), trial).Seconds()
	}
	u.HostSeconds = seconds * s.progress.Share(elapsed, s.schedule)
	return u
}
