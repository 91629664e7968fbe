package gateway

import (
	"context"
	"slices"
	"time"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/prefill"
	"quaybarrow/internal/telemetry"
)

// pickInTurn waits for the request's turn and picks an endpoint that the request has not been sent
// to. It returns nil if the request is refused or no endpoint is available.
func (x *exchange) pickInTurn(ctx context.Context, model string) (*fleet.Hold, admission.Decision) {
	turn := int64(0)
	for {
		hold, decision := x.chooseEndpoint(ctx, model, turn)
		wait, ok := decision.(admission.Wait)
		if !ok {
			return hold, decision
		}
		if x.g.draining.Load() {
			// The wait may outlast this host, and other hosts take the request.
			return nil, admission.Refuse{}
		}
		x.waits++
		if x.waits == 1 && x.promptBudget().Bounded() {
			x.g.Telemetry.Count("requests_held", 1, telemetry.Label("service", x.service))
		}
		if !clock.Sleep(ctx, wait.For) {
			return nil, nil
		}
		turn = wait.Turn
	}
}

// chooseEndpoint picks an endpoint for the request, or decides that it waits or is refused. Hosts
// coordinate their choices for requests with a prompt.
func (x *exchange) chooseEndpoint(ctx context.Context, model string, turn int64) (*fleet.Hold, admission.Decision) {
	req := x.placeRequest(model, turn)
	if req.Key == 0 || x.g.Advice == nil {
		return x.g.Fleet.Place(req)
	}
	asked := req
	asked.Avoid = slices.Concat(req.Avoid, x.g.Fleet.PausedEndpoints(x.service))
	advised, ok := x.g.Advice.Choose(ctx, asked, x.versionKey)
	if !ok {
		x.countAdvice("none")
		return x.g.Fleet.Place(req)
	}
	if advised.Endpoint == "" {
		x.countAdvice("not now")
		return nil, advised.Decision
	}
	hold, ok := x.g.Fleet.PickAt(advised, req)
	if !ok {
		x.countAdvice("not usable")
		x.g.Advice.EndAdvised(advised)
		return x.g.Fleet.Place(req)
	}
	x.countAdvice("followed")
	hold.OnDone = func() { x.g.Advice.EndAdvised(advised) }
	return hold, advised.Decision
}

// promptBudget returns the budget for the request's prompt. A request that may have run elsewhere is not
// held back: its caller has waited for it already.
func (x *exchange) promptBudget() prefill.Budget {
	if x.mayHaveRun || !x.sharesCapacity() {
		return prefill.Budget{}
	}
	return prefill.NewBudget(x.table.ShortestObjective(x.service), x.route.Objective)
}

// placeRequest returns the criteria for choosing an endpoint for a model, with the time that the request
// has left.
func (x *exchange) placeRequest(model string, turn int64) fleet.Request {
	req := x.fleetRequest(model)
	req.Waited, req.Turn, req.MaxLimitWait = clock.Since(x.start), turn, x.maxLimitWait()
	if req.Key == 0 {
		return req
	}
	req.Unadvised = x.g.Advice != nil && !x.g.Advice.Leads()
	// Once the caller has part of a response, the rest takes precedence over other requests.
	if x.headerDelay == 0 {
		req.Slack, req.Remaining, req.MayHaveStarted = x.slack(), x.usefulTime(), x.mayHaveRun
		req.Budget = x.promptBudget()
	}
	return req
}

// slack returns the time left until the response should begin.
func (x *exchange) slack() time.Duration { return x.route.Objective - clock.Since(x.start) }

// Callers disconnect from a stream that has been silent for the longest of minSilenceLimit,
// silenceLimitObjectives objectives and silenceLimitGaps of the longest pauses that count as in
// time.
const (
	minSilenceLimit        = 2 * time.Second
	silenceLimitObjectives = 4
	silenceLimitGaps       = 8
)

// usefulTime returns for how long the start of a response is useful to the caller: until the caller
// would disconnect, or the response could not end in time.
func (x *exchange) usefulTime() time.Duration {
	span := time.Duration(x.g.streamSpans.mean(x.route.Name) * float64(time.Second))
	return max(min(x.callerSilenceLimit()-clock.Since(x.start), x.timeLeft()-span), 1)
}

// callerSilenceLimit returns how long a stream may be silent before the caller disconnects.
func (x *exchange) callerSilenceLimit() time.Duration {
	return max(minSilenceLimit, silenceLimitObjectives*x.route.Objective, silenceLimitGaps*x.route.MaxEventGap)
}

func (x *exchange) countAdvice(outcome string) {
	x.adviceOutcome = outcome
	x.g.Telemetry.Count("advice", 1, telemetry.Label("outcome", outcome))
}

// whyNoEndpoint returns the error for a request for which no endpoint was chosen.
func (x *exchange) whyNoEndpoint(decision admission.Decision) error {
	switch d := decision.(type) {
	case admission.Refuse:
		x.roomIn = d.After
		if d.After > 0 {
			return errAtLimits
		}
		return errNoCapacity
	case admission.Paused:
		x.roomIn = d.For
		return errAllPaused
	}
	switch {
	case x.g.Fleet.AllEvacuated(x.service):
		return errAllEvacuated
	case x.g.Fleet.AllLeaving(x.service):
		return errAllLeaving
	default:
		x.g.Quarantine.ServiceEmptied(x.service)
		return errNoEndpoint
	}
}
