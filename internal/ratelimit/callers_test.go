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

// arrival is a request that an endpoint received.
type arrival struct {
	at      clock.Instant
	healthy bool // the sending host had no fault for the time that the rule gives hosts to learn of a limit
}

// isHealthy reports whether the host has had no fault for longer than standin.LimitNoticeTime.
func (h *simHost) isHealthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faultyUntil.IsZero() || clock.Since(h.faultyUntil) > standin.LimitNoticeTime
}

// markFaulty records a fault that starts now and lasts for a duration.
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

// generateRequests sends requests as a Poisson process until the context ends.
func (s *simulation) generateRequests(ctx context.Context, workers *sync.WaitGroup) {
	for clock.Sleep(ctx, time.Duration(s.exponential()/s.requestRate*float64(time.Second))) {
		h := s.simHosts[int(s.draw()*float64(len(s.simHosts)))]
		if s.draw() < s.hotShare {
			h = s.simHosts[0]
		}
		if _, down, silent := h.state(); !down && !silent {
			workers.Go(func() { s.serve(h) })
		}
	}
}

func (s *simulation) exponential() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.ExpFloat64()
}

// serve makes a host serve one request.
func (s *simulation) serve(h *simHost) {
	h.mu.Lock()
	f := h.fleet
	h.mu.Unlock()
	arrived, turn := clock.Now(), int64(0)
	for {
		waited := clock.Since(arrived)
		hold, decision := f.Place(fleet.Request{Service: simService, MaxLimitWait: max(requestDeadline-waited, 1), Waited: waited, Turn: turn, Urgency: -1})
		if hold != nil {
			s.complete(h, f, hold)
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

// complete records a request at an endpoint and waits for its answer.
func (s *simulation) complete(h *simHost, f *fleet.Fleet, hold *fleet.Hold) {
	id, sent, healthy := hold.Endpoint.ID, clock.Now(), h.isHealthy()
	s.mu.Lock()
	s.sent++
	s.sends[id] = append(s.sends[id], arrival{at: sent, healthy: healthy})
	s.mu.Unlock()
	time.Sleep(answerTime)
	var i int
	_, _ = fmt.Sscanf(id, "e%d", &i)
	f.ObserveLimit(id, fleet.Limit{Named: i < s.limitedEndpoints, Rate: s.rate}, sent)
	hold.Done(fleet.Result{Outcome: fleet.OutcomeGood})
}

// worstWindow returns the most requests that a limited endpoint received in any window after from:
// from all hosts, and from hosts without faults. Used is the part of their limits that the endpoints
// received.
func (s *simulation) worstWindow(from, window time.Duration) (most, healthy int, used float64) {
	n := 0
	for i := range s.limitedEndpoints {
		sends := s.sends[endpointName(i)]
		slices.SortFunc(sends, func(a, b arrival) int { return a.at.Compare(b.at) })
		for first, send := range sends {
			if send.at.Sub(s.began) < from {
				continue
			}
			n++
			total, fromHealthy := 0, 0
			for _, other := range sends[first:] {
				if other.at.Sub(send.at) >= window {
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
	return most, healthy, float64(n) / (s.rate * float64(s.limitedEndpoints) * (s.duration - from).Seconds())
}
