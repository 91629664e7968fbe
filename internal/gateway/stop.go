package gateway

import (
	"net/http"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
)

// errStopping means that the host stops before the request would have ended.
var errStopping = errors.New("the host stops")

// Drain makes the gateway report that it is not ready, and tell callers to close their connections.
func (g *Gateway) Drain() { g.draining.Store(true) }

// StopTaking makes the gateway send only requests that end before the host does, at the given instant.
// The others are refused, so that other hosts can take them.
func (g *Gateway) StopTaking(end clock.Instant) { g.stopsAt.Store(&end) }

// CutOff ends the requests in flight. Callers that have got nothing yet are told so.
func (g *Gateway) CutOff() { g.endServing() }

// checkStop refuses a request that was read too late in a stop: when its deadline passes, the host has
// ended, and nobody would answer it.
func (x *exchange) checkStop() *refusal {
	end := x.g.stopsAt.Load()
	if end == nil || !x.deadline.After(*end) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: errStopping.Error(), retryAfter: defaultRetryAfter, closeConn: true}
}

// endsBeforeStop reports whether the request, if it is sent now, ends before the host does: its deadline is
// before that or, as a repeatable request can be repeated elsewhere if it is cut, its objective.
func (x *exchange) endsBeforeStop() bool {
	end := x.g.stopsAt.Load()
	switch {
	case end == nil || !x.deadline.After(*end):
		return true
	case x.route.Repeatable():
		return !clock.Now().Add(x.route.Objective).After(*end)
	default:
		return false
	}
}
