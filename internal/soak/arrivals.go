package soak

import (
	"fmt"
	"slices"
	"time"

	"quaybarrow/platform/standin"
)

// arrival is a request as an endpoint got it.
type arrival struct {
	standin.ReceivedRequest
	endpoint string
	start    int    // of the endpoint, counted from 1
	sender   string // the host that a caller of this soak sent the request to; empty if none did
}

// String implements fmt.Stringer.
func (a arrival) String() string {
	sender := a.sender
	if sender == "" {
		sender = "nobody's host"
	}
	said := ""
	if a.Rejected {
		said = ", rejected"
	}
	return fmt.Sprintf("%s %s: %s %s at %s start %d, meant for %q, from %s on connection %s%s",
		a.At.Format(time.StampMicro), a.ID(), a.Method, a.Target, a.endpoint, a.start, a.EndpointID(), sender, a.From, said)
}

// arrivals lists what endpoints got of requests, in the order of time.
func (w *world) arrivals(ids []string) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []arrival
	for _, e := range w.all {
		for _, s := range e.Requests() {
			if !slices.Contains(ids, s.ID()) {
				continue
			}
			a := arrival{ReceivedRequest: s, endpoint: e.ID, start: e.startsBefore(s.At)}
			if p := w.sentBy(s.ID()); p != nil {
				a.sender = p.name
			}
			found = append(found, a)
		}
	}
	slices.SortFunc(found, func(a, b arrival) int { return a.At.Compare(b.At) })
	return found
}

// startsBefore counts the endpoint's starts up to a moment.
func (e *endpoint) startsBefore(at time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, start := range e.starts {
		if !start.After(at) {
			n++
		}
	}
	return n
}
