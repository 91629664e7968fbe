package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/quarantine"
)

// errQuarantined means that endpoints crash under the request.
var errQuarantined = errors.New("quarantined: endpoints crash under this request; change it, or ask the operators to let it out")

// errSuspect means that the request has turned suspect since it was its turn.
var errSuspect = errors.New("endpoints may crash under this request, and it is not its turn")

// suspectRate is how often all hosts together send a service a request under which endpoints may crash,
// in a second.
const suspectRate = 1

// suspect reports whether endpoints may crash under the request, so that it has to wait for its turn.
func (x *exchange) suspect() bool {
	s := x.standing()
	return s.Suspect() || (x.stranded && s.MayHaveEmptied())
}

// awaitTurn waits until a request under which endpoints may crash may be sent. Copies that wait while a
// service has no endpoint would otherwise all go as the first one is back, and crash it together. One of
// all suspects runs at a time, so that what it does to its endpoint speaks of no other.
func (x *exchange) awaitTurn(ctx context.Context) error {
	for x.g.Limits != nil && !x.suspectTurn && x.suspect() {
		wait, granted := x.g.Limits.TryAcquire(ctx, "suspect/"+x.service, suspectRate)
		if granted {
			x.suspectTurn = true
			x.g.Logger.Info("suspect request may be sent", "id", x.ask.ID, "fingerprint", x.fingerprint(), "crashed", x.standing().Crashed)
			break
		}
		x.waits++
		if !clock.Sleep(ctx, min(wait, suspectLook)) {
			return context.DeadlineExceeded
		}
	}
	if x.standing().Quarantined {
		return errQuarantined
	}
	return nil
}

// suspectLook is after how long a suspect request that waits looks again what is known of it.
const suspectLook = 100 * time.Millisecond

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
