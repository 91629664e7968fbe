package gateway

import (
	"context"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/ratelimit"
	"quaybarrow/internal/route"
	"quaybarrow/internal/telemetry"
)

// takePlace takes a place at the endpoint of a hold where rejections of its service are costly; it returns
// nil where they are not. The place is taken before a connection is opened, since a new connection is
// costly too.
func (x *exchange) takePlace(ctx context.Context, hold *fleet.Hold) (*ratelimit.Place, error) {
	if x.g.RateLimits == nil {
		return nil, nil //nolint:nilnil // a nil Place counts nothing
	}
	need, needed := hold.NeedsPlace()
	if !needed {
		return nil, nil //nolint:nilnil // as above
	}
	place, retryAfter, basis := x.g.RateLimits.TakePlace(ctx, ratelimit.PlaceRequest{
		Endpoint: need.Endpoint, Survives: need.Survives, Slots: need.Slots,
		Report: ratelimit.PlaceReport{Occupied: need.Occupied, Slots: need.ReportSlots, Age: need.ReportAge},
	})
	if place != nil {
		return place, nil
	}
	hold.NoPlace(retryAfter)
	x.placesDenied++
	x.g.Telemetry.Count("places_denied", 1, telemetry.Label("count", string(basis.State)))
	return nil, errNoPlace
}

// reportHead passes on the load that the head of a stream reports, long before the stream ends.
func (a *attempt) reportHead() {
	if a.x.route.Kind == route.KindStream {
		a.place.Return(ratelimit.PlaceRunning, a.placeReport())
	}
}

// returnPlace returns the place of the attempt. An endpoint may go on running a request whose response is
// not complete.
func (a *attempt) returnPlace(complete bool) {
	if complete {
		a.place.Return(ratelimit.PlaceFreed, a.placeReport())
	} else {
		a.place.Return(ratelimit.PlaceGivenUp, ratelimit.PlaceReport{}) // the load at its head is long out of date
	}
}

// returnRejected returns the place of an attempt that the endpoint did not run.
func (a *attempt) returnRejected(outcome fleet.Outcome) {
	if outcome != fleet.OutcomeRefused {
		a.place.Return(ratelimit.PlaceNotSent, ratelimit.PlaceReport{})
		return
	}
	a.x.g.Telemetry.Count("endpoint_rejections", 1, telemetry.Label("count", a.place.Counted()))
	a.place.Return(ratelimit.PlaceRejected, a.placeReport())
}

// placeReport returns the load that the response reported.
func (a *attempt) placeReport() ratelimit.PlaceReport {
	if a.response == nil {
		return ratelimit.PlaceReport{}
	}
	l := a.header.Load
	return ratelimit.PlaceReport{Occupied: l.Running + l.Waiting, Slots: l.Slots, Age: clock.Since(a.receivedAt)}
}
