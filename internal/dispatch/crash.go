package dispatch

import (
	"context"
	"net/http"

	"quaybarrow/internal/conn"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/quarantine"
)

// quarantineStatus returns the quarantine status of a request, by its fingerprint. It computes no
// fingerprint while there is no evidence of crashes.
func (d *Dispatcher) quarantineStatus(fingerprint func() quarantine.Fingerprint) quarantine.Status {
	if !d.options.Quarantine.HasEvidence() {
		return quarantine.Status{}
	}
	return d.options.Quarantine.Status(quarantine.Request{Fingerprint: fingerprint()})
}

// QuarantinedProblem returns the problem for a request that crashes endpoints.
func QuarantinedProblem(run problem.Run) *problem.Problem {
	return problem.New(http.StatusUnprocessableEntity, problem.CodeQuarantined, run,
		"endpoints crash under this request, so it is not sent to any; change it, or ask the operators to let it out")
}

// requestInfo identifies a request to the quarantine tracker.
type requestInfo struct {
	fingerprint func() quarantine.Fingerprint
	label       string // workspace and requested name, shown to operators
}

func (r Request) info() requestInfo { return requestInfo{r.Fingerprint, r.Label} }
func (c Call) info() requestInfo    { return requestInfo{c.Fingerprint, c.Label} }

// recordFailure tells the quarantine tracker about a failed attempt whose connection broke, and
// reports whether the endpoint has crashed. It ignores attempts whose context ended and endpoints
// that have left the fleet.
func (d *Dispatcher) recordFailure(ctx context.Context, hold *fleet.Hold, request requestInfo, run quarantine.Run, err error) bool {
	e := hold.Endpoint
	run.Label = request.label
	if !conn.IsDisconnect(err) || ctx.Err() != nil || !d.options.Fleet.Serves(e.ID) {
		return false
	}
	return d.options.Quarantine.ConnectionBroke(ctx, quarantine.BrokenAttempt{Endpoint: e.ID, Address: e.Address, Service: e.Service, Request: quarantine.Request{Fingerprint: request.fingerprint()}, Run: run})
}

// recordCompleted tells the quarantine tracker that a request completed.
func (d *Dispatcher) recordCompleted(fingerprint func() quarantine.Fingerprint) {
	if d.options.Quarantine.HasEvidence() {
		d.options.Quarantine.RequestCompleted(fingerprint())
	}
}
