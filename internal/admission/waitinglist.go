package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

// Parameters of the turns of requests that wait.
const (
	// maxWaiting bounds the requests that wait for one who decides: each asks again every
	// askMost at least.
	maxWaiting = 512
	// pollGrace is how much later than it was told a request may ask again and still have
	// its turn; those whose callers have left ask no more.
	pollGrace = 300 * time.Millisecond
	// grantRateWindow is over how long the rate is taken at which requests that wait go, and
	// grantPrior how many are taken to have gone in it besides: with none seen, as many
	// wait here as go at one a second in half of what their callers can use.
	grantRateWindow = 2 * time.Second
	priorGrants     = 2
)

// waitingRequest is a request that waits.
type waitingRequest struct {
	id      int64
	urgency int
	asked   clock.Instant // when its caller did
	expires clock.Instant
}

// WaitingList are the requests that wait for engines, the most urgent first and among them
// those whose callers asked first. They read no clock and take no locks.
type WaitingList struct {
	waiting []waitingRequest
	lastID  int64           // of the last one; it begins by chance, so that turns of another host mean nothing here
	grants  []clock.Instant // the latest ones, oldest first
}

// Ahead counts the requests that go before one, and how long that takes as they go now.
func (t *WaitingList) Ahead(id int64, urgency int, asked, now clock.Instant) (int, time.Duration) {
	t.expire(now)
	if id == 0 {
		id = math.MaxInt64 // among those that asked together, the last one
	}
	position, _ := t.position(waitingRequest{id: id, urgency: urgency, asked: asked})
	return position, time.Duration(float64(position) / t.grantRate() * float64(time.Second))
}

// Wait notes a request that waits, and returns its id: the one that it has, if any.
// Without room for it the id is 0.
func (t *WaitingList) Wait(id int64, urgency int, asked, now clock.Instant, d time.Duration) int64 {
	t.remove(id)
	if len(t.waiting) >= maxWaiting {
		return 0
	}
	if id == 0 {
		id = t.nextID()
	}
	entry := waitingRequest{id: id, urgency: urgency, asked: asked, expires: now.Add(d + pollGrace)}
	position, _ := t.position(entry)
	t.waiting = slices.Insert(t.waiting, position, entry)
	return id
}

// maxFirstID bounds the first id; it leaves as many again to be given out.
const maxFirstID = math.MaxInt64 / 2

func (t *WaitingList) nextID() int64 {
	if t.lastID == 0 {
		t.lastID = rand.Int64N(maxFirstID)
	}
	t.lastID++
	return t.lastID
}

// Granted notes that a request which is not likely in time was sent.
func (t *WaitingList) Granted(id int64, now clock.Instant) {
	t.remove(id)
	t.grants = append(t.grants, now)
}

// Remove takes out a request that waits no more.
func (t *WaitingList) Remove(id int64) { t.remove(id) }

func (t *WaitingList) remove(id int64) {
	t.waiting = slices.DeleteFunc(t.waiting, func(w waitingRequest) bool { return w.id == id })
}

// position is where a request stands among those that wait.
func (t *WaitingList) position(w waitingRequest) (int, bool) {
	return slices.BinarySearchFunc(t.waiting, w, func(a, b waitingRequest) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), a.asked.Compare(b.asked), cmp.Compare(a.id, b.id))
	})
}

// expire drops requests that have not asked again, and old grants.
func (t *WaitingList) expire(now clock.Instant) {
	t.waiting = slices.DeleteFunc(t.waiting, func(w waitingRequest) bool { return now.After(w.expires) })
	for len(t.grants) > 0 && now.Sub(t.grants[0]) > grantRateWindow {
		t.grants = t.grants[1:]
	}
}

// grantRate is how many requests that wait go in a second.
func (t *WaitingList) grantRate() float64 {
	return (float64(len(t.grants)) + priorGrants) / grantRateWindow.Seconds()
}
