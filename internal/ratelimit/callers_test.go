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
	at      clock.Instant
	healthy bool // nothing had happened to its host for as long as the rule takes hosts to know a limit
}

// isHealthy reports whether nothing has happened to the host lately.
func (h *simHost) isHealthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faultyUntil.IsZero() || clock.Since(h.faultyUntil) > standin.LimitKnown
}

// markFaulty notes that something happens to the host until a moment.
func (h *simHost) markFaulty(duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultyUntil = later(h.faultyUntil, clock.Now().Add(duration))
}

func later(a, b clock.Instant) clock.Instant {
	if a.After(b) {
		return a
	}
	return b
}

// generateRequests send requests at moments by chance.
func (w *simulation) generateRequests(ctx context.Context, workers *sync.WaitGroup) {
	for clock.Sleep(ctx, time.Duration(w.exponential()/w.requestRate*float64(time.Second))) {
		h := w.simHosts[int(w.draw()*float64(len(w.simHosts)))]
		if w.draw() < w.hotShare {
			h = w.simHosts[0]
		}
		if _, down, silent := h.state(); !down && !silent {
			workers.Go(func() { w.serve(h) })
		}
	}
}

func (w *simulation) exponential() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.ExpFloat64()
}

// serve has a host serve a request.
func (w *simulation) serve(h *simHost) {
	h.mu.Lock()
	f := h.fleet
	h.mu.Unlock()
	arrived, turn := clock.Now(), int64(0)
	for {
		waited := clock.Since(arrived)
		hold, decision := f.Place(fleet.Ask{Service: simService, Within: max(requestDeadline-waited, 1), Waited: waited, Turn: turn, Urgency: -1})
		if hold != nil {
			w.complete(h, f, hold)
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

// complete notes a request at an endpoint, which answers.
func (w *simulation) complete(h *simHost, f *fleet.Fleet, hold *fleet.Hold) {
	id, sent, healthy := hold.Endpoint.ID, clock.Now(), h.isHealthy()
	w.mu.Lock()
	w.sent++
	w.sends[id] = append(w.sends[id], arrival{at: sent, healthy: healthy})
	w.mu.Unlock()
	time.Sleep(answerTime)
	var i int
	_, _ = fmt.Sscanf(id, "e%d", &i)
	f.HearLimit(id, fleet.Limit{Named: i < w.limitedEndpoints, Rate: w.rate}, sent)
	hold.Done(fleet.Result{Outcome: fleet.OutcomeGood})
}

// worstWindow is the most that a limited endpoint got in a window from some seconds on, from all hosts and from
// those that nothing had happened to, and got the part of their limits that they got.
func (w *simulation) worstWindow(from, window time.Duration) (most, healthy int, used float64) {
	n := 0
	for i := range w.limitedEndpoints {
		sends := w.sends[endpointName(i)]
		slices.SortFunc(sends, func(a, b arrival) int { return a.at.Compare(b.at) })
		for first, s := range sends {
			if s.at.Sub(w.began) < from {
				continue
			}
			n++
			total, fromHealthy := 0, 0
			for _, other := range sends[first:] {
				if other.at.Sub(s.at) >= window {
					break
				}
				total++
				if other.healthy {
					fromHealthy++
				}
			}
			most, healthy = max(most, total), max(healthy, fromHealthy)
		}
	}
	return most, healthy, float64(n) / (w.rate * float64(w.limitedEndpoints) * (w.duration - from).Seconds())
}
