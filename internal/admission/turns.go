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
	// turnsMost bounds the requests that wait for one who decides: each asks again every
	// askMost at least.
	turnsMost = 512
	// turnLapse is how much later than it was told a request may ask again and still have
	// its turn; those whose callers have left ask no more.
	turnLapse = 300 * time.Millisecond
	// grantWindow is over how long the rate is taken at which requests that wait go, and
	// grantPrior how many are taken to have gone in it besides: with none seen, as many
	// wait here as go at one a second in half of what their callers can use.
	grantWindow = 2 * time.Second
	grantPrior  = 2
)

// turn is a request that waits.
type turn struct {
	id      int64
	urgency int
	asked   clock.Instant // when its caller did
	lapses  clock.Instant
}

// WaitingList are the requests that wait for engines, the most urgent first and among them
// those whose callers asked first. They read no clock and take no locks.
type WaitingList struct {
	waiting []turn
	serial  int64           // of the last one; it begins by chance, so that turns of another host mean nothing here
	grants  []clock.Instant // the latest ones, oldest first
}

// Ahead counts the requests that go before one, and how long that takes as they go now.
func (t *WaitingList) Ahead(id int64, urgency int, asked, now clock.Instant) (int, time.Duration) {
	t.sweep(now)
	if id == 0 {
		id = math.MaxInt64 // among those that asked together, the last one
	}
	place, _ := t.place(turn{id: id, urgency: urgency, asked: asked})
	return place, time.Duration(float64(place) / t.rate() * float64(time.Second))
}

// Wait notes a request that waits, and returns its id: the one that it has, if any.
// Without room for it the id is 0.
func (t *WaitingList) Wait(id int64, urgency int, asked, now clock.Instant, d time.Duration) int64 {
	t.drop(id)
	if len(t.waiting) >= turnsMost {
		return 0
	}
	if id == 0 {
		id = t.next()
	}
	next := turn{id: id, urgency: urgency, asked: asked, lapses: now.Add(d + turnLapse)}
	place, _ := t.place(next)
	t.waiting = slices.Insert(t.waiting, place, next)
	return id
}

// serialsFrom bounds the first id; it leaves as many again to be given out.
const serialsFrom = math.MaxInt64 / 2

func (t *WaitingList) next() int64 {
	if t.serial == 0 {
		t.serial = rand.Int64N(serialsFrom)
	}
	t.serial++
	return t.serial
}

// Granted notes that a request which is not likely in time was sent.
func (t *WaitingList) Granted(id int64, now clock.Instant) {
	t.drop(id)
	t.grants = append(t.grants, now)
}

// Remove takes out a request that waits no more.
func (t *WaitingList) Remove(id int64) { t.drop(id) }

func (t *WaitingList) drop(id int64) {
	t.waiting = slices.DeleteFunc(t.waiting, func(w turn) bool { return w.id == id })
}

// place is where a request stands among those that wait.
func (t *WaitingList) place(w turn) (int, bool) {
	return slices.BinarySearchFunc(t.waiting, w, func(a, b turn) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), a.asked.Compare(b.asked), cmp.Compare(a.id, b.id))
	})
}

// sweep drops requests that have not asked again, and old grants.
func (t *WaitingList) sweep(now clock.Instant) {
	t.waiting = slices.DeleteFunc(t.waiting, func(w turn) bool { return now.After(w.lapses) })
	for len(t.grants) > 0 && now.Sub(t.grants[0]) > grantWindow {
		t.grants = t.grants[1:]
	}
}

// rate is how many requests that wait go in a second.
func (t *WaitingList) rate() float64 {
	return (float64(len(t.grants)) + grantPrior) / grantWindow.Seconds()
}
