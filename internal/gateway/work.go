package gateway

import (
	"net/http"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/route"
)

// Parameters of the estimate of a request's work.
const (
	// Priors that apply before a route's first observation: of a request without a prompt, and for
	// each token of a prompt for an engine.
	priorPlainWork    = 20 * time.Millisecond
	priorWorkPerToken = 10 * time.Microsecond
	// maxPriorTokens bounds the prior: callers state the tokens themselves.
	maxPriorTokens = 200_000
	// minWorkSize and maxWorkSize bound the size, relative to the route's mean, by which work is
	// scaled. Callers state the size, so without bounds one request could distort a route's mean.
	minWorkSize = 0.25
	maxWorkSize = 4.0
)

// workSize returns the request's relative size within the bounds for estimates of work.
func (x *exchange) workSize() float64 { return min(max(x.relativeSize, minWorkSize), maxWorkSize) }

// expectedWork estimates the endpoint time that the request will take: the mean of its route, scaled to
// its size.
func (x *exchange) expectedWork() time.Duration {
	mean := x.g.routeWork.mean(x.route.Name)
	if mean == 0 {
		mean = x.priorWork().Seconds()
	}
	return clock.Seconds(mean * x.workSize())
}

// priorWork returns what the mean work of the route is taken for before its first observation.
func (x *exchange) priorWork() time.Duration {
	if x.engineSlots() == 0 || x.header.TokensIn <= 0 {
		return priorPlainWork
	}
	tokens := float64(min(x.header.TokensIn, maxPriorTokens))
	return time.Duration(tokens * float64(priorWorkPerToken) / x.workSize())
}

// engineSlots returns how many requests an engine of the service runs at the same time; 0 if its
// endpoints are no engines.
func (x *exchange) engineSlots() int {
	s, _ := x.table.Service(x.service)
	return s.Slots
}

// addWork adds the work of an attempt that has ended to the request's.
func (a *attempt) addWork(outcome fleet.Outcome) {
	if outcome == fleet.OutcomeRefused || a.headerAt.IsZero() {
		return
	}
	if work, ok := a.work(); ok {
		a.x.work += work
	}
}

// work returns the endpoint time of an attempt whose response has begun. It returns false if that is
// not known: a response that may have waited for others, or one of an engine that failed.
func (a *attempt) work() (time.Duration, bool) {
	x, slots := a.x, a.x.engineSlots()
	if slots > 0 && x.route.Kind == route.KindStream {
		return a.hold.Expected.PrefillTime + a.pauses.outputTime()/time.Duration(slots), a.response.StatusCode == http.StatusOK
	}
	took := a.receivedAt.Sub(a.sentAt)
	if x.route.Kind == route.KindStream {
		took = clock.Since(a.sentAt) // the stream holds its slot until it ends
	}
	load := a.header.Load
	return took / time.Duration(max(slots, 1)), load.Slots > 0 && load.Waiting == 0
}

// recordWork records the work of all attempts at the request for the estimates of later ones.
func (x *exchange) recordWork() {
	if x.work > 0 {
		x.g.routeWork.add(x.route.Name, x.work.Seconds()/x.workSize())
	}
}
