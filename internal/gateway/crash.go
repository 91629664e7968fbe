package gateway

import (
	"net/http"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/quarantine"
)

// errQuarantined means that endpoints crash under the request.
var errQuarantined = errors.New("quarantined: endpoints crash under this request; change it, or ask the operators to let it out")

// known is the fingerprint, for the log of a request that endpoints crashed under; empty for
// others, which need not be hashed.
func (x *exchange) known() string {
	if x.crashes == 0 && !x.held {
		return ""
	}
	return x.fingerprint().String()
}

// hash makes the request's fingerprint.
func (x *exchange) hash() quarantine.Fingerprint {
	return quarantine.Identity{Workspace: x.workspace, Target: x.r.Method + " " + x.r.Host + " " + x.r.RequestURI, Body: x.body}.Fingerprint()
}

// standing is what is known of the request when it came before.
func (x *exchange) standing() quarantine.Standing {
	if !x.g.Quarantine.Watching() {
		return quarantine.Standing{}
	}
	return x.g.Quarantine.Standing(x.fingerprint())
}

// checkQuarantine refuses a request under which endpoints crash. It has not run and will not,
// and nothing is gained by coming back.
func (x *exchange) checkQuarantine() *refusal {
	if !x.standing().Quarantined {
		return nil
	}
	x.held = true
	x.g.Telemetry.Count("quarantine_refusals", 1)
	return &refusal{status: http.StatusServiceUnavailable, reason: errQuarantined.Error()}
}

// broke ends an attempt whose answer could not be read, and notes whether its endpoint has
// crashed.
func (a *attempt) broke(err error) {
	run := quarantine.Run{Lasted: clock.Since(a.sentAt), Of: a.x.workspace + " " + a.x.route.Name}
	if !a.headAt.IsZero() {
		run.Answered = clock.Since(a.headAt)
	}
	a.fail()
	x := a.x
	e := a.hold.Endpoint
	if !conn.BrokeOff(err) || x.ctx.Err() != nil || !x.g.Fleet.Serves(e.ID) {
		return
	}
	if !x.g.Quarantine.Broke(x.ctx, quarantine.Break{Endpoint: e.ID, Address: e.Address, Service: x.service, Request: x.fingerprint(), Run: run}) {
		return
	}
	x.crashes++
	x.g.Telemetry.Count("endpoint_crashes_met", 1)
	x.g.Logger.Warn("endpoint crashed under a request", "id", x.ask.ID, "fingerprint", x.fingerprint(), "workspace", x.workspace,
		"endpoint", e.ID, "address", e.Address, "service", x.service, "ran_ms", run.Lasted.Milliseconds(),
		"answered_ms", run.Answered.Milliseconds(), "crashes", x.crashes)
}
