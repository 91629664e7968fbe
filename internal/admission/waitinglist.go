package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

// Parameters of a WaitingList.
const (
	// maxWaiting bounds the requests in a list, since each of them asks again at least every
	// maxPollInterval.
	maxWaiting = 512
	// maxHeld bounds the requests that are held back while endpoints have slots. It is higher than
	// maxWaiting because these leave the list quickly.
	maxHeld = 2048
	// pollGrace is how much later than told a request may ask again and still keep its
	// position. Requests whose callers have left don't ask again and are dropped after it.
	pollGrace = 300 * time.Millisecond
	// grantRateWindow is the window over which the rate of sent waiting requests is measured, and
	// priorGrants the number of them that is added to those seen in it. If none were seen, the
	// rate is thus one a second, and as many requests may wait as are sent at that rate in half
	// of the time that their callers can use.
	grantRateWindow = 2 * time.Second
	priorGrants     = 2
)

// waitingRequest is an entry of a WaitingList.
type waitingRequest struct {
	id      int64
	urgency int
	asked   clock.Instant // when its caller sent it
	expires clock.Instant
	held    bool // it is held back while endpoints have slots
}

// WaitingList holds the requests that wait for the endpoints of a service, ordered by urgency and
// then by when their callers sent them. It reads no clock and takes no locks.
type WaitingList struct {
	waiting []waitingRequest
	lastID  int64           // starts at a random number, so that ids given out by another host match nothing here
	grants  []clock.Instant // times within grantRateWindow at which requests were sent, oldest first
}

// Clone returns a list with the same requests. The clone of nil is empty.
func (l *WaitingList) Clone() *WaitingList {
	if l == nil {
		return &WaitingList{}
	}
	return &WaitingList{waiting: slices.Clone(l.waiting), lastID: l.lastID, grants: slices.Clone(l.grants)}
}

// Ahead returns the number of waiting requests that are sent before a request, and how long that
// takes at the current rate. An id of 0 stands for a request that is not in the list.
func (l *WaitingList) Ahead(id int64, urgency int, asked, now clock.Instant) (int, time.Duration) {
	l.expire(now)
	if id == 0 {
		id = math.MaxInt64 // the last one of those sent at the same time
	}
	position, _ := l.position(waitingRequest{id: id, urgency: urgency, asked: asked})
	return position, time.Duration(float64(position) / l.grantRate() * float64(time.Second))
}

// Wait adds a request that asks again after d, or updates it if it has an id already. It returns
// the request's id, or 0 if the list is full.
func (l *WaitingList) Wait(id int64, urgency int, asked, now clock.Instant, d time.Duration) int64 {
	return l.wait(waitingRequest{id: id, urgency: urgency, asked: asked, expires: now.Add(d + pollGrace)}, maxWaiting)
}

// WaitHeld is Wait for a request that is held back while endpoints have slots.
func (l *WaitingList) WaitHeld(id int64, urgency int, asked, now clock.Instant, d time.Duration) int64 {
	return l.wait(waitingRequest{id: id, urgency: urgency, asked: asked, expires: now.Add(d + pollGrace), held: true}, maxHeld)
}

// wait adds or updates a request. The limit bounds those that wait for the same reason; one that is in the list
// keeps its place there.
func (l *WaitingList) wait(entry waitingRequest, limit int) int64 {
	if !l.remove(entry.id) && l.count(entry.held) >= limit {
		return 0
	}
	if entry.id == 0 {
		entry.id = l.nextID()
	}
	position, _ := l.position(entry)
	l.waiting = slices.Insert(l.waiting, position, entry)
	return entry.id
}

// count returns the number of requests that are held back, or of those that are not.
func (l *WaitingList) count(held bool) int {
	n := 0
	for _, w := range l.waiting {
		if w.held == held {
			n++
		}
	}
	return n
}

// maxFirstID bounds the random first id and leaves as many ids again to be given out.
const maxFirstID = math.MaxInt64 / 2

func (l *WaitingList) nextID() int64 {
	if l.lastID == 0 {
		l.lastID = rand.Int64N(maxFirstID)
	}
	l.lastID++
	return l.lastID
}

// Granted records that a request was sent in the list's order, such as one that is not likely to be
// in time, and removes it from the list.
func (l *WaitingList) Granted(id int64, now clock.Instant) {
	l.remove(id)
	l.dropOldGrants(now)
	l.grants = append(l.grants, now)
}

// Remove removes a request that no longer waits.
func (l *WaitingList) Remove(id int64) { l.remove(id) }

// remove reports whether the request was in the list.
func (l *WaitingList) remove(id int64) bool {
	before := len(l.waiting)
	l.waiting = slices.DeleteFunc(l.waiting, func(w waitingRequest) bool { return w.id == id })
	return len(l.waiting) < before
}

// position returns the position of a request in the list and whether it is there.
func (l *WaitingList) position(w waitingRequest) (int, bool) {
	return slices.BinarySearchFunc(l.waiting, w, func(a, b waitingRequest) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), a.asked.Compare(b.asked), cmp.Compare(a.id, b.id))
	})
}

// expire drops requests that have not asked again in time, and grants outside the window.
func (l *WaitingList) expire(now clock.Instant) {
	l.waiting = slices.DeleteFunc(l.waiting, func(w waitingRequest) bool { return now.After(w.expires) })
	l.dropOldGrants(now)
}

func (l *WaitingList) dropOldGrants(now clock.Instant) {
	for len(l.grants) > 0 && now.Sub(l.grants[0]) > grantRateWindow {
		l.grants = l.grants[1:]
	}
}

// grantRate returns the number of waiting requests that are sent a second.
func (l *WaitingList) grantRate() float64 {
	return (float64(len(l.grants)) + priorGrants) / grantRateWindow.Seconds()
}
