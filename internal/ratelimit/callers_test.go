package ratelimit_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/platform/standin"
)

// arrival is a request at an endpoint.
type arrival struct {
	at   clock.Instant
	well bool // nothing had happened to its host for as long as the rule takes hosts to know a limit
}

// wasWell reports whether nothing has happened to the host lately.
func (h *simHost) wasWell() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.harmed.IsZero() || clock.Since(h.harmed) > standin.LimitKnown
}

// harm notes that something happens to the host until a moment.
func (h *simHost) harm(lasts time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.harmed = later(h.harmed, clock.Now().Add(lasts))
}

func later(a, b clock.Instant) clock.Instant {
	if a.After(b) {
		return a
	}
	return b
}

// callers send requests at moments by chance.
func (w *world) callers(ctx context.Context, working *sync.WaitGroup) {
	for clock.Sleep(ctx, time.Duration(w.exponential()/w.asked*float64(time.Second))) {
		h := w.all[int(w.draw()*float64(len(w.all)))]
		if w.draw() < w.hot {
			h = w.all[0]
		}
		if _, down, silent := h.state(); !down && !silent {
			working.Go(func() { w.serve(h) })
		}
	}
}

func (w *world) exponential() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.ExpFloat64()
}

// serve has a host serve a request.
func (w *world) serve(h *simHost) {
	h.mu.Lock()
	f := h.fleet
	h.mu.Unlock()
	came, turn := clock.Now(), int64(0)
	for {
		waited := clock.Since(came)
		hold, decision := f.Place(fleet.Request{Service: simService, MaxLimitWait: max(simWithin-waited, 1), Waited: waited, Turn: turn, Urgency: -1})
		if hold != nil {
			w.arrive(h, f, hold)
			return
		}
		wait, ok := decision.(admission.Wait)
		if !ok {
			return
		}
		time.Sleep(wait.For)
		turn = wait.Turn
	}
}

// arrive notes a request at an endpoint, which answers.
func (w *world) arrive(h *simHost, f *fleet.Fleet, hold *fleet.Hold) {
	id, sent, well := hold.Endpoint.ID, clock.Now(), h.wasWell()
	w.mu.Lock()
	w.good++
	w.sends[id] = append(w.sends[id], arrival{at: sent, well: well})
	w.mu.Unlock()
	time.Sleep(answerTime)
	var i int
	_, _ = fmt.Sscanf(id, "e%d", &i)
	f.ObserveLimit(id, fleet.Limit{Named: i < w.limited, Rate: w.rate}, sent)
	hold.Done(fleet.Result{Outcome: fleet.OutcomeGood})
}

// worst is the most that a limited endpoint got in a window from some seconds on, from all hosts and from
// those that nothing had happened to, and got the part of their limits that they got.
func (w *world) worst(from, window time.Duration) (most, well int, got float64) {
	n := 0
	for i := range w.limited {
		sends := w.sends[endpointName(i)]
		slices.SortFunc(sends, func(a, b arrival) int { return a.at.Compare(b.at) })
		for first, s := range sends {
			if s.at.Sub(w.began) < from {
				continue
			}
			n++
			all, ofWell := 0, 0
			for _, other := range sends[first:] {
				if other.at.Sub(s.at) >= window {
					break
				}
				all++
				if other.well {
					ofWell++
				}
			}
			most, well = max(most, all), max(well, ofWell)
		}
	}
	return most, well, float64(n) / (w.rate * float64(w.limited) * (w.lasts - from).Seconds())
}
