package dispatch

import (
	"context"
	"net/http"

	"quaybarrow/internal/conn"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/quarantine"
)

// quarantineStatus is what is known of a request when it came before.
func (d *Dispatcher) quarantineStatus(fingerprint func() quarantine.Fingerprint) quarantine.Status {
	if !d.options.Quarantine.HasEvidence() {
		return quarantine.Status{}
	}
	return d.options.Quarantine.Status(fingerprint())
}

// Quarantined is the problem of a request under which endpoints crash.
func Quarantined(run problem.Run) *problem.Problem {
	return problem.New(http.StatusUnprocessableEntity, problem.CodeQuarantined, run,
		"endpoints crash under this request, so it is not sent to any; change it, or ask the operators to let it out")
}

// requestInfo is a request as it is known when it comes again.
type requestInfo struct {
	fingerprint func() quarantine.Fingerprint
	label       string // its workspace and what it asks for, for operators
}

func (r Request) info() requestInfo { return requestInfo{r.Fingerprint, r.Label} }
func (c Call) info() requestInfo    { return requestInfo{c.Fingerprint, c.Label} }

// recordFailure takes in that an attempt failed, and reports whether its endpoint has recordFailure.
func (d *Dispatcher) recordFailure(ctx context.Context, hold *fleet.Hold, request requestInfo, run quarantine.Run, err error) bool {
	e := hold.Endpoint
	run.Label = request.label
	if !conn.IsDisconnect(err) || ctx.Err() != nil || !d.options.Fleet.Serves(e.ID) {
		return false
	}
	return d.options.Quarantine.ConnectionBroke(ctx, quarantine.BrokenAttempt{Endpoint: e.ID, Address: e.Address, Service: e.Service, Request: request.fingerprint(), Run: run})
}

// recordCompleted takes in that a request came to a good end.
func (d *Dispatcher) recordCompleted(fingerprint func() quarantine.Fingerprint) {
	if d.options.Quarantine.HasEvidence() {
		d.options.Quarantine.RequestCompleted(fingerprint())
	}
}
