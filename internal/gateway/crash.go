package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/bound"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/reach"
	"quaybarrow/internal/telemetry"
)

// errQuarantined means that the request makes endpoints crash.
var errQuarantined = errors.New("quarantined: endpoints crash under this request; change it, or ask the operators to let it out")

// errBecameSuspect means that the request became suspect after its turn to be sent was checked.
var errBecameSuspect = errors.New("endpoints may crash under this request, and it is not its turn")

// errHeld means that the request has to wait until it is known whether endpoints crash under a part of it.
var errHeld = errors.New("endpoints may crash under a part of the prompt, which is being tested")

// awaitSuspectTurn waits until a request that may make endpoints crash may be sent. Copies that
// wait while a service has no endpoint would otherwise all be sent as soon as the first endpoint is
// back, and crash it together. Only one suspect request runs at a time, so that a crash of its
// endpoint is not attributed to another request.
func (x *exchange) awaitSuspectTurn(ctx context.Context) error {
	for x.g.RateLimits != nil && !x.maySendSuspect {
		status := x.quarantineStatus()
		if status.IsHeld() {
			return errHeld
		}
		turns := status.Turns(x.service)
		if turns == (quarantine.Turns{}) {
			break
		}
		wait, granted := x.g.RateLimits.TryAcquire(ctx, "suspect/"+turns.Key, turns.PerSecond)
		if granted {
			x.maySendSuspect = true
			x.g.Logger.Info("suspect request may be sent", "id", x.header.ID, "fingerprint", x.fingerprint(), "crashed", status.Crashed, "turn", turns.Key)
			break
		}
		x.waits++
		if !clock.Sleep(ctx, min(wait, suspectPollInterval)) {
			return context.DeadlineExceeded
		}
	}
	if s := x.quarantineStatus(); s.Quarantined {
		return quarantineError(s)
	}
	return nil
}

// logSuspectSend logs that a request under which endpoints have crashed is sent to one.
func (x *exchange) logSuspectSend(endpoint string) {
	s := x.quarantineStatus()
	if s.Rule() == quarantine.RuleNone {
		return
	}
	x.g.Telemetry.Count("suspect_sends", 1, telemetry.Label("rule", string(s.Rule())))
	x.g.Logger.Info("request sent under which endpoints have crashed", "id", x.header.ID, "fingerprint", x.fingerprint(), "endpoint", endpoint,
		"rule", s.Rule(), "crashed", s.Crashed, "beside", s.Beside, "had_turn", x.maySendSuspect, "emptied", s.Emptied)
}

// suspectPollInterval is how often a waiting suspect request checks what is known of it.
const suspectPollInterval = 100 * time.Millisecond

// loggedFingerprint returns the fingerprint to log for a request that is known to make endpoints
// crash; empty for others, which need not be hashed.
func (x *exchange) loggedFingerprint() string {
	if x.crashes == 0 && !x.refusedAsQuarantined {
		return ""
	}
	return x.fingerprint().String()
}

// computeFingerprint computes the request's fingerprint.
func (x *exchange) computeFingerprint() quarantine.Fingerprint {
	return quarantine.Identity{Workspace: x.workspace, Target: x.r.Method + " " + x.r.Host + " " + x.r.RequestURI, Body: x.body}.Fingerprint()
}

// computeIdentity computes all by which the request is known when it, or its parts, come again.
func (x *exchange) computeIdentity() quarantine.Request {
	return quarantine.Request{Fingerprint: x.fingerprint(), Workspace: x.workspace, Parts: x.sharedParts()}
}

// computeParts computes by what the parts of the prompt are known that other requests may have too.
func (x *exchange) computeParts() []quarantine.Part {
	shared := x.header.SharedParts()
	shared = shared[:min(len(shared), quarantine.MaxRequestParts)]
	parts := make([]quarantine.Part, len(shared))
	for i, p := range shared {
		parts[i] = quarantine.NewPart(x.service, p.ID)
	}
	return parts
}

// quarantineStatus returns what is known of the request from earlier times that it came.
func (x *exchange) quarantineStatus() quarantine.Status {
	if !x.g.Quarantine.HasEvidence() {
		return quarantine.Status{}
	}
	status := x.g.Quarantine.Status(x.identity())
	x.quarantineRule = status.Rule()
	return status
}

// sharedPartIDs returns the IDs of the parts of the prompt that other requests may have too.
func (x *exchange) sharedPartIDs() []string {
	shared := x.header.SharedParts()
	ids := make([]string, len(shared))
	for i, p := range shared {
		ids[i] = p.ID
	}
	return ids
}

// checkQuarantine refuses a request that makes endpoints crash. It has not run and will not, and
// retrying does not help.
func (x *exchange) checkQuarantine() *refusal {
	status := x.quarantineStatus()
	if !status.Quarantined {
		return nil
	}
	x.refusedAsQuarantined = true
	x.g.Telemetry.Count("quarantine_refusals", 1)
	return &refusal{status: http.StatusServiceUnavailable, reason: quarantineError(status).Error(), outcome: errQuarantined.Error()}
}

// quarantineError returns the error for a request that is quarantined.
func quarantineError(s quarantine.Status) error {
	if s.Part == "" {
		return errQuarantined
	}
	return fmt.Errorf("%w: the cause is %s", errQuarantined, s.Part)
}

// wayLost reports whether the response could not be read because the way to the endpoint was lost,
// and not because of the endpoint.
func (a *attempt) wayLost(err error) bool {
	if a.x.ctx.Err() != nil || bound.IsExceeded(err) {
		return false
	}
	return errors.Is(err, reach.ErrWayLost) || a.conn.WayLost(a.x.ctx, conn.IsDisconnect(err))
}

// endBroken ends an attempt whose response could not be read, and records whether its endpoint has
// crashed.
func (a *attempt) endBroken(err error) {
	run := quarantine.Run{Lasted: clock.Since(a.sentAt), Label: a.x.workspace + " " + a.x.route.Name}
	if !a.headerAt.IsZero() {
		run.ResponseLasted = clock.Since(a.headerAt)
	}
	x := a.x
	if errors.Is(err, errEndUnknown) {
		a.end(fleet.OutcomeNeutral, false) // it is no fault of the endpoint
		return
	}
	if a.wayLost(err) {
		a.end(fleet.OutcomeWayLost, false)
		// The endpoint itself may be the best one to try again: it has the prompt cached.
		x.tried = slices.DeleteFunc(x.tried, func(id string) bool { return id == a.hold.Endpoint.ID })
		x.g.Logger.Info("way to an endpoint lost under a request", "id", x.header.ID, "endpoint", a.hold.Endpoint.ID, "address", a.hold.Endpoint.Address,
			"relayed_by", a.conn.RelayedBy(), "ran_ms", run.Lasted.Milliseconds(), "error", err)
		return
	}
	bound.Report(err, x.g.Telemetry, x.g.Logger, x.header.ID, a.hold.Endpoint.ID)
	a.endFailed(err)
	e := a.hold.Endpoint
	if !conn.IsDisconnect(err) || x.ctx.Err() != nil || !x.g.Fleet.Serves(e.ID) {
		return
	}
	broken := quarantine.BrokenAttempt{
		Endpoint: e.ID, Address: e.Address, Service: x.service, Request: x.identity(), Begun: a.ongoingRun != nil && a.ongoingRun.Lived(), Run: run,
	}
	if !x.g.Quarantine.ConnectionBroke(x.ctx, broken) {
		return
	}
	x.crashes++
	x.g.Telemetry.Count("endpoint_crashes_met", 1)
	x.g.Logger.Warn("endpoint crashed under a request", "id", x.header.ID, "fingerprint", x.fingerprint(), "workspace", x.workspace,
		"endpoint", e.ID, "address", e.Address, "service", x.service, "ran_ms", run.Lasted.Milliseconds(),
		"answered_ms", run.ResponseLasted.Milliseconds(), "crashes", x.crashes, "parts", x.sharedPartIDs())
}
