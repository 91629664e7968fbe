package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"quaybarrow/platform/standin"
)

// coldMost is how many requests a second a cold endpoint may get, by the settings of the
// hosts and the declaration.
const coldMost = 1.5*standin.ColdRate + 2

// endpointAgain has an endpoint start again under its name: its connections are reset, and
// its entry tells the start.
func endpointAgain(ctx context.Context, w *world, lasts time.Duration) {
	e := w.endpoint()
	if e == nil {
		return
	}
	e.proxy.set(Resetting)
	sleep(ctx, lasts/4)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.endpoints[e.ID] == e {
		w.store.Put(standin.TableEndpoints, e.ID, e.start())
	}
	e.proxy.set(Pass)
}

// evacuateHall evacuates a data hall for a time.
func evacuateHall(ctx context.Context, w *world, lasts time.Duration) {
	key := standin.EvacuationKey(halls[w.number(len(halls))])
	w.store.Put(standin.TableOperator, key, []byte("{}"))
	sleep(ctx, lasts)
	w.store.Delete(standin.TableOperator, key)
}

// evacuable returns a data hall without which each service has endpoints left.
func (w *world) evacuable() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, hall := range halls {
		left := map[string]int{}
		for _, e := range w.endpoints {
			if e.hall != hall {
				left[e.service]++
			}
		}
		if left["plain"] > 0 && left["model"] > 0 {
			return hall
		}
	}
	return "nowhere" // all of a service stand in each of them
}

// strangeEntries are entries that no endpoint writes, for an address.
var strangeEntries = []string{
	`{"service":"plain","address":%q,"zone":"ikeja","version":"v1","slots":8,"state":"well","cold_left_ms":0,"seq":1}`,
	`{"service":"plain","address":%q,"zone":"nowhere","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":1}`,
	`{"service":"model","address":%q,"zone":"ikeja","version":"v1","slots":"8","state":"ready","cold_left_ms":0,"seq":1}`,
	`{"service":"model","address":%q,"zone":"ikeja","slots":8,"state":"ready","cold_left_ms":0,"seq":1}`,
	`{"service":"model","address":%q,`,
}

// strangeEntry has another writer name an address among the endpoints, where nothing may
// arrive.
func strangeEntry(ctx context.Context, w *world, lasts time.Duration) {
	l, err := w.ports.listen()
	if err != nil {
		return // out of ports; other faults go on
	}
	defer func() { _ = l.Close() }()
	id := fmt.Sprint("stranger-", l.Addr())
	trap := standin.NewEndpoint(id, func(int, *http.Request) standin.Script { return standin.Reset{} })
	go trap.Serve(l)
	w.mu.Lock()
	w.traps = append(w.traps, trap)
	w.mu.Unlock()
	w.store.Put(standin.TableEndpoints, id, fmt.Appendf(nil, strangeEntries[w.number(len(strangeEntries))], l.Addr().String()))
	sleep(ctx, lasts)
	w.store.Delete(standin.TableEndpoints, id)
}

// misplaced lists requests that reached an endpoint which should not have got them: at an
// address that another writer named, or in a data hall that is evacuated, from a moment on.
func (w *world) misplaced(evacuated string, from time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for _, trap := range w.traps {
		if n := len(trap.Requests()); n > 0 {
			found = append(found, fmt.Sprintf("%d requests at %s, which is no endpoint", n, trap.ID))
		}
	}
	for _, e := range w.all {
		if n := countBetween(arrivalTimes(e.Requests()), from, time.Now()); e.hall == evacuated && n > 0 {
			found = append(found, fmt.Sprintf("%d requests at %s, whose data hall is evacuated", n, e.ID))
		}
	}
	return found
}

// overCold lists the seconds in which a cold endpoint got more than it may.
func (w *world) overCold() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for _, e := range w.all {
		if e.service == "model" {
			found = append(found, e.overCold(e.Requests())...)
		}
	}
	return found
}

// overCold lists the seconds after a start in which the endpoint got too much.
func (e *endpoint) overCold(seen []standin.ReceivedRequest) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []string
	times := arrivalTimes(seen)
	for _, start := range e.starts {
		for _, s := range seen {
			until := s.At.Add(time.Second)
			if s.At.Before(start) || until.After(start.Add(standin.ColdFor)) {
				continue
			}
			if n := countBetween(times, s.At, until); n > int(coldMost) {
				found = append(found, fmt.Sprintf("%d requests within a second at %s, which is cold", n, e.ID))
			}
		}
	}
	return found
}

// arrivalTimes are the times at which requests arrived.
func arrivalTimes(seen []standin.ReceivedRequest) []time.Time {
	times := make([]time.Time, len(seen))
	for i, s := range seen {
		times[i] = s.At
	}
	return times
}

// countBetween counts the times from a moment on and before another.
func countBetween(times []time.Time, from, until time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(until) {
			n++
		}
	}
	return n
}
