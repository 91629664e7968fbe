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

// asked is a request as it is known when it comes again.
type asked struct {
	fingerprint func() quarantine.Fingerprint
	of          string // its workspace and what it asks for, for operators
}

func (r Request) asked() asked { return asked{r.Fingerprint, r.Of} }
func (c Call) asked() asked    { return asked{c.Fingerprint, c.Of} }

// crashed takes in that an attempt failed, and reports whether its endpoint has crashed.
func (d *Dispatcher) crashed(ctx context.Context, hold *fleet.Hold, request asked, run quarantine.Run, err error) bool {
	e := hold.Endpoint
	run.Label = request.of
	if !conn.BrokeOff(err) || ctx.Err() != nil || !d.options.Fleet.Serves(e.ID) {
		return false
	}
	return d.options.Quarantine.ConnectionBroke(ctx, quarantine.BrokenAttempt{Endpoint: e.ID, Address: e.Address, Service: e.Service, Request: request.fingerprint(), Run: run})
}

// finished takes in that a request came to a good end.
func (d *Dispatcher) finished(fingerprint func() quarantine.Fingerprint) {
	if d.options.Quarantine.HasEvidence() {
		d.options.Quarantine.RequestCompleted(fingerprint())
	}
}
