package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"quaybarrow/internal/bound"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/quarantine"
)

// quarantineStatus returns the quarantine status of a request. It computes no identity while there is
// no evidence of crashes.
func (d *Dispatcher) quarantineStatus(identity func() quarantine.Request) quarantine.Status {
	if !d.options.Quarantine.HasEvidence() {
		return quarantine.Status{}
	}
	return d.options.Quarantine.Status(identity())
}

// QuarantinedProblem returns the problem for a request that crashes endpoints.
func QuarantinedProblem(run problem.Run) *problem.Problem {
	return problem.New(http.StatusUnprocessableEntity, problem.CodeQuarantined, run,
		"endpoints crash under this request, so it is not sent to any; change it, or ask the operators to let it out")
}

// requestInfo identifies a request to the quarantine tracker.
type requestInfo struct {
	id       string
	identity func() quarantine.Request
	label    string // workspace and requested name, shown to operators
}

func (r Request) info() requestInfo { return requestInfo{r.ID, r.Identity, r.Label} }
func (c Call) info() requestInfo    { return requestInfo{c.ID, c.Identity, c.Label} }

// recordFailure reports a failed attempt whose response exceeds its bound, tells the quarantine tracker
// about one whose connection broke, and reports whether the endpoint has crashed. The tracker is not told
// of attempts whose context ended and endpoints that have left the fleet.
func (d *Dispatcher) recordFailure(ctx context.Context, hold *fleet.Hold, request requestInfo, broken quarantine.BrokenAttempt, err error) bool {
	e := hold.Endpoint
	bound.Report(err, d.options.Telemetry, d.options.Logger, request.id, e.ID)
	if !conn.IsDisconnect(err) || ctx.Err() != nil || !d.options.Fleet.Serves(e.ID) {
		return false
	}
	broken.Endpoint, broken.Address, broken.Service = e.ID, e.Address, e.Service
	broken.Request, broken.Run.Label = request.identity(), request.label
	return d.options.Quarantine.ConnectionBroke(ctx, broken)
}

// errEndedByCrash means that a body ended as its endpoint crashed.
var errEndedByCrash = fmt.Errorf("the endpoint crashed as the answer ended: %w", io.ErrUnexpectedEOF)

// checkEnd returns an error if a body that was read to its end may have been cut: one that states no end ends
// with its connection, which a crash of its endpoint closes too.
func (d *Dispatcher) checkEnd(ctx context.Context, response *endpointResponse, hold *fleet.Hold) error {
	e := hold.Endpoint
	if conn.StatesEnd(response.Response) || !d.options.Quarantine.EndpointCrashed(ctx, e.ID, e.Address) {
		return nil
	}
	return errEndedByCrash
}

// recordCompleted tells the quarantine tracker that a request completed.
func (d *Dispatcher) recordCompleted(identity func() quarantine.Request) {
	if d.options.Quarantine.HasEvidence() {
		d.options.Quarantine.RequestCompleted(identity().Fingerprint)
	}
}
