package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/route"
	"quaybarrow/internal/telemetry"
	"quaybarrow/internal/upgrade"
)

// Errors of attempts.
var (
	errNoEndpoint      = errors.New("no endpoint takes the request")
	errNoCapacity      = errors.New("engines can't serve it")
	errAtLimits        = errors.New("endpoints are at the limits that they name")
	errAllEvacuated    = errors.New("all data halls of the service are evacuated")
	errRejected        = errors.New("the endpoint did not run the request")
	errNotFromEndpoint = errors.New("the answer is not an endpoint's")
)

// Bounds of attempts.
const (
	// connShare of an endpoint's connections is the most that one host holds;
	// the hosts' loads differ, and the sum stays far below what endpoints take.
	connShare = 0.25
	minConns  = 4
	// maxDials bounds the endpoints that a request tries to reach.
	maxDials = 6
)

// attempt is a request at an endpoint, with the answer's head read.
type attempt struct {
	x             *exchange
	hold          *fleet.Hold
	conn          *conn.Conn
	model         string
	sentAt        clock.Instant
	response      *http.Response
	header        ResponseHeader
	headAt        clock.Instant // zero before the head
	ongoingRun    *quarantine.Ongoing
	stopInterrupt func() bool // ends the watch on the caller
	ended         bool
}

// send picks an endpoint and sends the request there. Endpoints that can't be
// reached are passed over: they have seen nothing.
func (x *exchange) send(ctx context.Context, model, lastEvent string) (*attempt, error) {
	for range maxDials {
		if err := x.awaitSuspectTurn(ctx); err != nil {
			return nil, err
		}
		hold, decision := x.pickInTurn(ctx, model)
		if refused, ok := decision.(admission.Refuse); ok {
			x.roomIn = refused.After
			if refused.After > 0 {
				return nil, errAtLimits
			}
			return nil, errNoCapacity
		}
		if hold == nil {
			if x.g.Fleet.Away(x.service) {
				return nil, errAllEvacuated
			}
			x.foundNoEndpoint = true
			return nil, errNoEndpoint
		}
		c, err := x.g.Pool.Get(ctx, hold.Endpoint.Address, x.connLimit())
		if err != nil {
			x.recordUnreachable(hold, err)
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			continue
		}
		if err := x.checkBeforeSend(ctx); err != nil {
			c.Release(false)
			hold.Done(fleet.Result{Outcome: fleet.OutcomeNeutral})
			if errors.Is(err, errBecameSuspect) {
				continue
			}
			return nil, err
		}
		a, err := x.sendOnConn(ctx, hold, c, model, lastEvent)
		if errors.Is(err, conn.ErrNotSent) {
			continue
		}
		return a, err
	}
	return nil, errNoEndpoint
}

// checkBeforeSend asks, right before a request is sent, what was known when it came and may be old:
// waits and connections take time, and a machine may have been suspended in between.
func (x *exchange) checkBeforeSend(ctx context.Context) error {
	switch {
	case clock.Over(ctx):
		return context.DeadlineExceeded
	case x.standing().Quarantined:
		return errQuarantined
	case x.isSuspect() && !x.maySendSuspect:
		return errBecameSuspect
	default:
		return nil
	}
}

// pickInTurn chooses an endpoint that the request has not been to, once it is its turn; nil if
// it is refused or there is none.
func (x *exchange) pickInTurn(ctx context.Context, model string) (*fleet.Hold, admission.Decision) {
	turn := int64(0)
	for {
		hold, decision := x.chooseEndpoint(ctx, model, turn)
		wait, ok := decision.(admission.Wait)
		if !ok {
			return hold, decision
		}
		if x.g.draining.Load() {
			return nil, admission.Refuse{} // the wait may outlast this host, and others take the request
		}
		x.waits++
		if !clock.Sleep(ctx, wait.For) {
			return nil, nil
		}
		turn = wait.Turn
	}
}

// chooseEndpoint decides on the request. For one with a prompt hosts chooseEndpoint together.
func (x *exchange) chooseEndpoint(ctx context.Context, model string, turn int64) (*fleet.Hold, admission.Decision) {
	ask := x.fleetAsk(model)
	ask.Waited, ask.Turn, ask.Within = clock.Since(x.start), turn, x.maxLimitWait()
	if ask.Key == 0 {
		return x.g.Fleet.Place(ask)
	}
	ask.Unadvised = x.g.Advice != nil && !x.g.Advice.Leads()
	if x.headerDelay == 0 { // else the caller has a part of the answer, and the rest goes before others
		ask.Slack, ask.Left, ask.Begun = x.slack(), x.usefulTime(), x.mayHaveRun
	}
	if x.g.Advice == nil {
		return x.g.Fleet.Place(ask)
	}
	advised, ok := x.g.Advice.Choose(ctx, ask, x.versionKey)
	if !ok {
		x.countAdvice("none")
		return x.g.Fleet.Place(ask)
	}
	if advised.Endpoint == "" {
		x.countAdvice("not now")
		return nil, advised.Decision
	}
	hold, ok := x.g.Fleet.PickAt(advised, ask)
	if !ok {
		x.countAdvice("not usable")
		x.g.Advice.Ended(advised)
		return x.g.Fleet.Place(ask)
	}
	x.countAdvice("followed")
	hold.Ended = func() { x.g.Advice.Ended(advised) }
	return hold, advised.Decision
}

// slack is what is left until the answer should begin.
func (x *exchange) slack() time.Duration { return x.route.Objective - clock.Since(x.start) }

// Callers leave a stream of which nothing has come for the longest of minSilenceLimit,
// silenceLimitObjectives objectives and silenceLimitGaps of the longest pauses that count as in time.
const (
	minSilenceLimit        = 2 * time.Second
	silenceLimitObjectives = 4
	silenceLimitGaps       = 8
)

// usefulTime is for how long the caller can use the beginning of an answer: until it would
// leave, or the answer could not end in time.
func (x *exchange) usefulTime() time.Duration {
	span := time.Duration(x.g.streamSpans.mean(x.route.Name) * float64(time.Second))
	return max(min(x.callerSilenceLimit()-clock.Since(x.start), x.timeLeft()-span), 1)
}

// callerSilenceLimit is after how long a silence the caller callerSilenceLimit a stream.
func (x *exchange) callerSilenceLimit() time.Duration {
	return max(minSilenceLimit, silenceLimitObjectives*x.route.Objective, silenceLimitGaps*x.route.Gap)
}

func (x *exchange) countAdvice(outcome string) {
	x.adviceOutcome = outcome
	x.g.Telemetry.Count("advice", 1, telemetry.Label("outcome", outcome))
}

// connLimit is how many connections to one endpoint this host may hold.
func (x *exchange) connLimit() int {
	s, ok := x.table.Service(x.service)
	if !ok || s.MaxConns == 0 {
		return 0
	}
	return max(minConns, int(float64(s.MaxConns)*connShare))
}

// recordUnreachable notes an endpoint that the request could not be sent to.
func (x *exchange) recordUnreachable(hold *fleet.Hold, err error) {
	x.tried = append(x.tried, hold.Endpoint.ID)
	outcome := fleet.OutcomeLost
	if errors.Is(err, conn.ErrBusy) || x.ctx.Err() != nil {
		outcome = fleet.OutcomeNeutral
	}
	hold.Done(fleet.Result{Outcome: outcome})
	x.g.Logger.Warn("endpoint not reached", "id", x.header.ID, "endpoint", hold.Endpoint.ID, "address", hold.Endpoint.Address, "error", err)
}

// sendOnConn sends the request on a connection and reads the answer's head.
func (x *exchange) sendOnConn(ctx context.Context, hold *fleet.Hold, c *conn.Conn, model, lastEvent string) (*attempt, error) {
	a := &attempt{x: x, hold: hold, conn: c, model: model, sentAt: clock.Now()}
	x.sends++
	x.maySendSuspect = false
	x.tried = append(x.tried, hold.Endpoint.ID)
	x.endpoint, x.version, x.model = hold.Endpoint.ID, hold.Endpoint.Version, model
	a.stopInterrupt = context.AfterFunc(ctx, c.Interrupt)
	a.boundHeaderWait(ctx)
	resp, err := c.Send(x.outgoingRequest(a, lastEvent), x.acceptsResponse) //nolint:bodyclose // a closed connection ends its body
	if errors.Is(err, conn.ErrNotSent) {
		x.sends--
		a.end(fleet.OutcomeLost, false)
		return nil, err
	}
	before := x.mayHaveRun
	x.mayHaveRun = true
	if err != nil {
		a.endBroken(err)
		return nil, err
	}
	a.clearReadDeadline(ctx)
	a.response, a.header = resp, x.g.Codec.ParseResponse(resp.Header)
	a.recordLimit()
	if a.header.NotRun || resp.StatusCode == http.StatusMisdirectedRequest {
		x.mayHaveRun = before
		a.endRejected()
		return nil, errRejected
	}
	// A rejection comes at once: taken for the beginning of an answer it would tell that
	// full endpoints read prompts in no time, and have nobody waiting.
	a.hold.Head(a.header.Load)
	x.countUsage()
	a.headAt, a.ongoingRun = clock.Now(), x.g.Quarantine.Begin(x.fingerprint)
	x.lastHeaderDelay, x.expected = clock.Since(a.sentAt), hold.Expected
	return a, nil
}

// headerWaitFraction of the objective is how long a plain repeatable request waits for an
// answer before it is offered to another endpoint: an answer is likely to come
// sooner, unless it never does. Streams are left to wait: another attempt may be what a
// larger model needs.
const headerWaitFraction = 0.75

// boundHeaderWait bounds the wait for the answer's head if the request may go to
// another endpoint instead, and would be in time there.
func (a *attempt) boundHeaderWait(ctx context.Context) {
	x := a.x
	headerWait := time.Duration(headerWaitFraction * float64(x.route.Objective))
	tooLate := clock.Since(x.start)+headerWait > x.route.Objective
	if x.route.Kind != route.KindRepeatable || x.sends >= x.route.Attempts || tooLate {
		return
	}
	a.conn.SetReadDeadline(a.sentAt.Add(headerWait).Time())
	if ctx.Err() != nil {
		a.conn.Interrupt()
	}
}

// clearReadDeadline lets the rest of the answer take its time.
func (a *attempt) clearReadDeadline(ctx context.Context) {
	a.conn.SetReadDeadline(time.Time{})
	if ctx.Err() != nil {
		a.conn.Interrupt()
	}
}

// acceptsResponse reports whether an answer is for this request.
func (x *exchange) acceptsResponse(h http.Header) bool {
	id := x.g.Codec.ParseResponse(h).RequestID
	return id == "" || id == x.header.ID
}

// outgoingRequest makes the outgoingRequest as the endpoint gets it.
func (x *exchange) outgoingRequest(a *attempt, lastEvent string) *http.Request {
	left := x.timeLeft()
	h := x.g.Codec.EndpointHeader(x.r.Header, AttemptHeader{
		Instance: a.hold.Endpoint.Instance, Workspace: x.workspace, Model: x.modelName(a.model), LastEventID: lastEvent,
		TimeLeft: left, Urgency: a.hold.Urgency(),
	})
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // the library would add its own
	}
	r := &http.Request{
		Method: x.r.Method, URL: &url.URL{Opaque: x.r.RequestURI}, Host: x.r.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(x.body) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(x.body)), int64(len(x.body))
	}
	return r
}

// modelName is the model to name to an endpoint; empty where the caller chose.
func (x *exchange) modelName(model string) string {
	if len(x.route.Models) == 0 {
		return ""
	}
	return model
}

// endRejected ends an attempt that the endpoint did not run.
func (a *attempt) endRejected() {
	a.x.rejections++
	outcome := fleet.OutcomeRefused
	if a.response.StatusCode == http.StatusMisdirectedRequest {
		outcome = fleet.OutcomeLost // another endpoint has the address now
	}
	_, err := io.Copy(io.Discard, io.LimitReader(a.response.Body, maxDrainBytes))
	a.end(outcome, err == nil)
	a.x.g.Logger.Info("endpoint rejected", "id", a.x.header.ID, "endpoint", a.hold.Endpoint.ID, "status", a.response.StatusCode,
		"running", a.header.Load.Running, "waiting", a.header.Load.Waiting)
}

// maxDrainBytes bounds what is read of an answer that nobody needs.
const maxDrainBytes = 16 << 10

// endFailed ends an attempt that broke or whose answer is no good.
func (a *attempt) endFailed() {
	outcome := fleet.OutcomeFailed
	if a.x.ctx.Err() != nil {
		outcome = fleet.OutcomeNeutral
	}
	a.end(outcome, false)
}

// end gives the connection and the place at the endpoint back.
func (a *attempt) end(outcome fleet.Outcome, complete bool) {
	if a.ended {
		return
	}
	a.ended = true
	if a.ongoingRun != nil {
		x := a.x
		x.g.Quarantine.End(a.ongoingRun)
		if complete && x.g.Quarantine.Watching() {
			x.g.Quarantine.Finished(x.fingerprint())
		}
	}
	a.conn.Release(a.stopInterrupt() && complete)
	a.hold.Done(fleet.Result{Outcome: outcome, Load: a.header.Load})
}

// fromEndpoint reports whether the answer is one that the endpoint made.
func (a *attempt) fromEndpoint() bool {
	return a.header.Sealed && a.response.Header.Get("Content-Encoding") == ""
}

// reportPace tells the upgrade of the service how fast the answer came.
func (a *attempt) reportPace(pace upgrade.Pace) {
	a.reportFinding(upgrade.Paced{Pace: pace, Requests: a.header.Load.Running + a.header.Load.Waiting})
}

// reportFinding tells the upgrade of the service what was seen of the endpoint's version. All starts
// of an endpoint count as one: what fails at each of its starts is the endpoint.
func (a *attempt) reportFinding(f upgrade.Finding) {
	e := a.hold.Endpoint
	a.x.g.Upgrades.Note(upgrade.Report{
		Service: a.x.service, Version: e.Version, Endpoint: e.Instance, Route: a.x.route.Name, Model: a.model, Finding: f,
	})
}
