package soak

import (
	"fmt"
	"slices"
	"time"
)

// The users' bound on repeats: in any window a service receives at most a part of its requests again, besides
// a reserve.
const (
	repeatWindow      = 10 * time.Second
	repeatsPerRequest = 0.9
	repeatReserve     = 54
)

// receipt is the arrival of a request at an endpoint.
type receipt struct {
	id string
	at time.Time
}

// overRepeats lists the services that received more repeats than allowed.
func (w *world) overRepeats() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	byService := map[string][]receipt{}
	for _, e := range w.all {
		for _, s := range e.Requests() {
			byService[e.service] = append(byService[e.service], receipt{id: s.ID(), at: s.At})
		}
	}
	var found []string
	for service, receipts := range byService {
		if repeats, allowed, at := mostRepeats(receipts); repeats > allowed {
			found = append(found, fmt.Sprintf("%s received %d repeats within %s from %s on, %d allowed", service, repeats, repeatWindow, at.Format(time.StampMilli), allowed))
		}
	}
	return found
}

// mostRepeats returns the repeats in the window in which they come nearest to what is allowed, or exceed it most,
// and when it begins. Requests count once they arrive, in whichever has the most of the window, the one before
// and the one half a window before.
func mostRepeats(receipts []receipt) (repeats, allowed int, at time.Time) {
	slices.SortStableFunc(receipts, func(a, b receipt) int { return a.at.Compare(b.at) })
	var firsts, again []time.Time
	seen := map[string]bool{}
	for _, r := range receipts {
		if seen[r.id] {
			again = append(again, r.at)
		} else {
			firsts = append(firsts, r.at)
		}
		seen[r.id] = true
	}
	margin := 0
	for i, from := range again {
		requests := 0
		for _, before := range []time.Duration{0, repeatWindow / 2, repeatWindow} {
			began := from.Add(-before)
			requests = max(requests, countBetween(firsts, began, began.Add(repeatWindow)))
		}
		n, most := countBetween(again, from, from.Add(repeatWindow)), int(repeatsPerRequest*float64(requests))+repeatReserve
		if i == 0 || most-n < margin {
			repeats, allowed, at, margin = n, most, from, most-n
		}
	}
	return repeats, allowed, at
}
