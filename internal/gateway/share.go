package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/route"
	"quaybarrow/internal/share"
	"quaybarrow/internal/telemetry"
)

// Shares admits requests by the shares of their workspaces, as share.Shares does.
type Shares interface {
	// Admit counts a request with its expected work as offered, and decides whether it is admitted.
	Admit(service string, c share.Class, work time.Duration) share.Verdict
	// Responded records what a response shows of its endpoint's load.
	Responded(service string, r share.Response)
}

// sharesCapacity reports whether capacity is shared among workspaces and kinds of requests.
func (x *exchange) sharesCapacity() bool {
	if x.g.SharesCapacity == nil {
		return x.table.SharesCapacity()
	}
	return x.g.SharesCapacity()
}

// waitingOrder returns the order of a workspace's request among those that wait or compete for capacity; 0 if
// its urgency alone counts.
func (x *exchange) waitingOrder(w route.Workspace) int {
	if !x.sharesCapacity() {
		return 0
	}
	return x.table.Order(x.route, w)
}

// overShareOrder is added to the order of requests of a class that is over its workspace's share, so that
// other requests come first.
const overShareOrder = 1 << 16

// placeOrder returns the order of the request among those that wait for endpoints.
func (x *exchange) placeOrder() int {
	if x.overShare {
		return x.order + overShareOrder
	}
	return x.order
}

// checkShare refuses a request that is over the share of its workspace. A stream that its caller
// continues counts as offered too, but is never refused: its caller has a part of the response.
func (x *exchange) checkShare() *refusal {
	if x.g.Shares == nil {
		return nil
	}
	class := share.Class{Workspace: x.workspace, Urgency: x.order}
	verdict := x.g.Shares.Admit(x.service, class, x.expectedWork())
	x.share, x.overShare = verdict.Fraction, verdict.Fraction < 1
	if x.overShare && len(x.route.Models) > 0 {
		x.model = x.route.Models[0] // the smallest: its workspace gets more answers for its share
	}
	if verdict.Admitted || x.continuesStream() {
		return nil
	}
	x.g.Telemetry.Count("share_refusals", 1, telemetry.Label("service", x.service))
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "workspace is over its share",
		retryAfter: admission.RetryDelay(x.timeLeft(), rand.Float64()),
	}
}

// continuesStream reports whether the caller has the beginning of the response and asks for the rest.
func (x *exchange) continuesStream() bool {
	return x.route.Kind == route.KindStream && x.header.LastEventID != ""
}

// reportLoad reports what a response shows of its endpoint's load.
func (x *exchange) reportLoad(status int, header ResponseHeader) {
	if x.g.Shares == nil {
		return
	}
	x.g.Shares.Responded(x.service, share.Response{
		Rejected:  header.NotRun || (turnsAway(status) && header.Pause.For > 0),
		Occupancy: occupancy(header.Load),
	})
}

// noOccupancy stands for the occupancy of an endpoint that reports no load.
const noOccupancy = -1

// occupancy returns the running and waiting requests by slots.
func occupancy(l fleet.Load) float64 {
	if l.Slots <= 0 {
		return noOccupancy
	}
	return float64(l.Running+l.Waiting) / float64(l.Slots)
}
