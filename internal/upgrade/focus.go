package upgrade

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/fleet"
)

// Focus of the requests to a target. Spread over all its endpoints, a share of the requests would give
// each a small part of the load that it will bear, and a version that is bad under load would look
// good. The endpoints stay the same, with more of them as the share rises, so that they are under load for
// some time. Where the others' endpoints are idle there is no load to be shown, and a focus would only make
// answers slower.

// loadHeadroom is the load of an endpoint in focus, relative to its load if the target got all requests on
// all its endpoints: a version is shown at more load than usual before it is completed, since load may
// rise afterwards.
const loadHeadroom = 2.5

// Focus returns the preference of a request with the given key among the target's endpoints; the zero
// value for requests that do not go to a target on trial.
func (t *Tracker) Focus(name string, key uint64) fleet.Focus {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok || !s.othersBusy || s.progress.Outcome != OutcomeRunning || !t.useTarget(s, key) {
		return fleet.Focus{}
	}
	now, known := t.options.Watch.Now()
	if !known {
		return fleet.Focus{}
	}
	return s.progress.focus(s.progress.elapsedAt(now), s.schedule)
}

// focus returns the focus on the target's endpoints once the given time has passed.
func (p Progress) focus(elapsed time.Duration, s Schedule) fleet.Focus {
	return fleet.Focus{
		Key:      xxhash.Sum64String(strconv.FormatInt(p.Revision, 10)),
		Fraction: p.Share(elapsed, s) / loadHeadroom,
	}
}
