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
	errNoEndpoint = errors.New("no endpoint takes the request")
	errRefused    = errors.New("engines can't serve it")
	errLimited    = errors.New("endpoints are at the limits that they name")
	errAway       = errors.New("all data halls of the service are evacuated")
	errRejected   = errors.New("the endpoint did not run the request")
	errUnsound    = errors.New("the answer is not an endpoint's")
)

// Bounds of attempts.
const (
	// connShare of an endpoint's connections is the most that one host holds;
	// the hosts' loads differ, and the sum stays far below what endpoints take.
	connShare = 0.25
	connLeast = 4
	// maxDials bounds the endpoints that a request tries to reach.
	maxDials = 6
)

// attempt is a request at an endpoint, with the answer's head read.
type attempt struct {
	x      *exchange
	hold   *fleet.Hold
	conn   *conn.Conn
	model  string
	sentAt clock.Instant
	answer *http.Response
	said   Answer
	headAt clock.Instant // zero before the head
	going  *quarantine.Ongoing
	stop   func() bool // ends the watch on the caller
	ended  bool
}

// send picks an endpoint and sends the request there. Endpoints that can't be
// reached are passed over: they have seen nothing.
func (x *exchange) send(ctx context.Context, model, lastEvent string) (*attempt, error) {
	for range maxDials {
		if err := x.awaitTurn(ctx); err != nil {
			return nil, err
		}
		hold, decision := x.pick(ctx, model)
		if refused, ok := decision.(admission.Refuse); ok {
			x.room = refused.After
			if refused.After > 0 {
				return nil, errLimited
			}
			return nil, errRefused
		}
		if hold == nil {
			if x.g.Fleet.Away(x.service) {
				return nil, errAway
			}
			x.stranded = true
			return nil, errNoEndpoint
		}
		c, err := x.g.Pool.Get(ctx, hold.Endpoint.Address, x.connLimit())
		if err != nil {
			x.unreached(hold, err)
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			continue
		}
		if err := x.stillWanted(ctx); err != nil {
			c.Release(false)
			hold.Done(fleet.Result{Outcome: fleet.OutcomeNeutral})
			if errors.Is(err, errSuspect) {
				continue
			}
			return nil, err
		}
		a, err := x.sendOn(ctx, hold, c, model, lastEvent)
		if errors.Is(err, conn.ErrNotSent) {
			continue
		}
		return a, err
	}
	return nil, errNoEndpoint
}

// stillWanted asks, right before a request is sent, what was known when it came and may be old:
// waits and connections take time, and a machine may have been suspended in between.
func (x *exchange) stillWanted(ctx context.Context) error {
	switch {
	case clock.Expired(ctx):
		return context.DeadlineExceeded
	case x.standing().Quarantined:
		return errQuarantined
	case x.suspect() && !x.suspectTurn:
		return errSuspect
	default:
		return nil
	}
}

// pick chooses an endpoint that the request has not been to, once it is its turn; nil if
// it is refused or there is none.
func (x *exchange) pick(ctx context.Context, model string) (*fleet.Hold, admission.Decision) {
	turn := int64(0)
	for {
		hold, decision := x.choose(ctx, model, turn)
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

// choose decides on the request. For one with a prompt hosts choose together.
func (x *exchange) choose(ctx context.Context, model string, turn int64) (*fleet.Hold, admission.Decision) {
	ask := x.fleetAsk(model)
	ask.Waited, ask.Turn, ask.Within = clock.Since(x.start), turn, x.within()
	if ask.Key == 0 {
		return x.g.Fleet.Place(ask)
	}
	ask.Unadvised = x.g.Advice != nil && !x.g.Advice.Leads()
	if x.first == 0 { // else the caller has a part of the answer, and the rest goes before others
		ask.Slack, ask.Left, ask.Begun = x.slack(), x.useful(), x.mayRun
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

// Callers leave a stream of which nothing has come for the longest of leaveLeast,
// leaveObjectives objectives and leaveGaps of the longest pauses that count as in time.
const (
	leaveLeast      = 2 * time.Second
	leaveObjectives = 4
	leaveGaps       = 8
)

// useful is for how long the caller can use the beginning of an answer: until it would
// leave, or the answer could not end in time.
func (x *exchange) useful() time.Duration {
	span := time.Duration(x.g.spans.of(x.route.Name) * float64(time.Second))
	return max(min(x.leaves()-clock.Since(x.start), x.left()-span), 1)
}

// leaves is after how long a silence the caller leaves a stream.
func (x *exchange) leaves() time.Duration {
	return max(leaveLeast, leaveObjectives*x.route.Objective, leaveGaps*x.route.Gap)
}

func (x *exchange) countAdvice(outcome string) {
	x.advice = outcome
	x.g.Telemetry.Count("advice", 1, telemetry.Label("outcome", outcome))
}

// connLimit is how many connections to one endpoint this host may hold.
func (x *exchange) connLimit() int {
	s, ok := x.table.Service(x.service)
	if !ok || s.MaxConns == 0 {
		return 0
	}
	return max(connLeast, int(float64(s.MaxConns)*connShare))
}

// unreached notes an endpoint that the request could not be sent to.
func (x *exchange) unreached(hold *fleet.Hold, err error) {
	x.tried = append(x.tried, hold.Endpoint.ID)
	outcome := fleet.OutcomeLost
	if errors.Is(err, conn.ErrBusy) || x.ctx.Err() != nil {
		outcome = fleet.OutcomeNeutral
	}
	hold.Done(fleet.Result{Outcome: outcome})
	x.g.Logger.Warn("endpoint not reached", "id", x.ask.ID, "endpoint", hold.Endpoint.ID, "address", hold.Endpoint.Address, "error", err)
}

// sendOn sends the request on a connection and reads the answer's head.
func (x *exchange) sendOn(ctx context.Context, hold *fleet.Hold, c *conn.Conn, model, lastEvent string) (*attempt, error) {
	a := &attempt{x: x, hold: hold, conn: c, model: model, sentAt: clock.Now()}
	x.sends++
	x.suspectTurn = false
	x.tried = append(x.tried, hold.Endpoint.ID)
	x.endpoint, x.version, x.model = hold.Endpoint.ID, hold.Endpoint.Version, model
	a.stop = context.AfterFunc(ctx, c.Interrupt)
	a.limitHead(ctx)
	answer, err := c.Send(x.request(a, lastEvent), x.accepts) //nolint:bodyclose // a closed connection ends its body
	if errors.Is(err, conn.ErrNotSent) {
		x.sends--
		a.end(fleet.OutcomeLost, false)
		return nil, err
	}
	before := x.mayRun
	x.mayRun = true
	if err != nil {
		a.broke(err)
		return nil, err
	}
	a.liftLimit(ctx)
	a.answer, a.said = answer, x.g.Codec.Answer(answer.Header)
	a.hearLimit()
	if a.said.NotRun || answer.StatusCode == http.StatusMisdirectedRequest {
		x.mayRun = before
		a.rejected()
		return nil, errRejected
	}
	// A rejection comes at once: taken for the beginning of an answer it would tell that
	// full endpoints read prompts in no time, and have nobody waiting.
	a.hold.Head(a.said.Load)
	x.count()
	a.headAt, a.going = clock.Now(), x.g.Quarantine.Begin(x.fingerprint)
	x.head, x.expected = clock.Since(a.sentAt), hold.Expected
	return a, nil
}

// stuckPart of the objective is how long a plain repeatable request waits for an
// answer before it is offered to another endpoint: an answer is likely to come
// sooner, unless it never does. Streams are left to wait: another attempt may be what a
// larger model needs.
const stuckPart = 0.75

// limitHead bounds the wait for the answer's head if the request may go to
// another endpoint instead, and would be in time there.
func (a *attempt) limitHead(ctx context.Context) {
	x := a.x
	patience := time.Duration(stuckPart * float64(x.route.Objective))
	over := clock.Since(x.start)+patience > x.route.Objective
	if x.route.Kind != route.KindRepeatable || x.sends >= x.route.Attempts || over {
		return
	}
	a.conn.SetReadDeadline(a.sentAt.Add(patience).Time())
	if ctx.Err() != nil {
		a.conn.Interrupt()
	}
}

// liftLimit lets the rest of the answer take its time.
func (a *attempt) liftLimit(ctx context.Context) {
	a.conn.SetReadDeadline(time.Time{})
	if ctx.Err() != nil {
		a.conn.Interrupt()
	}
}

// accepts reports whether an answer is for this request.
func (x *exchange) accepts(h http.Header) bool {
	id := x.g.Codec.Answer(h).RequestID
	return id == "" || id == x.ask.ID
}

// request makes the request as the endpoint gets it.
func (x *exchange) request(a *attempt, lastEvent string) *http.Request {
	left := x.left()
	h := x.g.Codec.Forward(x.r.Header, Attempt{
		Instance: a.hold.Endpoint.Instance, Workspace: x.workspace, Model: x.modelName(a.model), LastEvent: lastEvent,
		Left: left, Urgency: a.hold.Urgency(),
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

// rejected ends an attempt that the endpoint did not run.
func (a *attempt) rejected() {
	a.x.rejections++
	outcome := fleet.OutcomeRefused
	if a.answer.StatusCode == http.StatusMisdirectedRequest {
		outcome = fleet.OutcomeLost // another endpoint has the address now
	}
	_, err := io.Copy(io.Discard, io.LimitReader(a.answer.Body, drainBytes))
	a.end(outcome, err == nil)
	a.x.g.Logger.Info("endpoint rejected", "id", a.x.ask.ID, "endpoint", a.hold.Endpoint.ID, "status", a.answer.StatusCode,
		"running", a.said.Load.Running, "waiting", a.said.Load.Waiting)
}

// drainBytes bounds what is read of an answer that nobody needs.
const drainBytes = 16 << 10

// fail ends an attempt that broke or whose answer is no good.
func (a *attempt) fail() {
	outcome := fleet.OutcomeFailed
	if a.x.ctx.Err() != nil {
		outcome = fleet.OutcomeNeutral
	}
	a.end(outcome, false)
}

// end gives the connection and the place at the endpoint back.
func (a *attempt) end(outcome fleet.Outcome, whole bool) {
	if a.ended {
		return
	}
	a.ended = true
	if a.going != nil {
		x := a.x
		x.g.Quarantine.End(a.going)
		if whole && x.g.Quarantine.Watching() {
			x.g.Quarantine.Finished(x.fingerprint())
		}
	}
	a.conn.Release(a.stop() && whole)
	a.hold.Done(fleet.Result{Outcome: outcome, Load: a.said.Load})
}

// sound reports whether the answer is one that the endpoint made.
func (a *attempt) sound() bool {
	return a.said.Sealed && a.answer.Header.Get("Content-Encoding") == ""
}

// paced tells the upgrade of the service how fast the answer came.
func (a *attempt) paced(pace upgrade.Pace) {
	a.report(upgrade.Paced{Pace: pace, Requests: a.said.Load.Running + a.said.Load.Waiting})
}

// report tells the upgrade of the service what was seen of the endpoint's version. All starts
// of an endpoint count as one: what fails at each of its starts is the endpoint.
func (a *attempt) report(f upgrade.Finding) {
	e := a.hold.Endpoint
	a.x.g.Upgrades.Note(upgrade.Report{
		Service: a.x.service, Version: e.Version, Endpoint: e.Instance, Route: a.x.route.Name, Model: a.model, Finding: f,
	})
}
