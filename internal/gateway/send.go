package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/ratelimit"
	"quaybarrow/internal/reach"
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
	errFailedAnswer    = errors.New("the endpoint answered with a failure")
	// errTakesNothing means that an endpoint that was chosen has since said that it takes nothing.
	errTakesNothing = errors.New("the endpoint takes no request any more")
	errAllLeaving   = errors.New("all endpoints of the service leave")
	errAllPaused    = errors.New("all endpoints of the service want a pause from this host")
	// errNoPlace means that an endpoint that was chosen has no place for the request now.
	errNoPlace = errors.New("the endpoint has no place for the request")
)

// Bounds of attempts.
const (
	// connShare is the largest fraction of an endpoint's connections that one host holds. The
	// hosts' loads differ, and the sum stays far below what endpoints accept.
	connShare = 0.25
	minConns  = 4
	// maxDials bounds the number of endpoints that one attempt tries to reach.
	maxDials = 6
)

// attempt is a request sent to an endpoint, and the endpoint's response.
type attempt struct {
	x             *exchange
	hold          *fleet.Hold
	place         *ratelimit.Place // nil where none is needed
	conn          *conn.Conn
	model         string
	sentAt        clock.Instant
	response      *http.Response
	header        ResponseHeader
	receivedAt    clock.Instant // when response had been received
	headerAt      clock.Instant // when the response header had been read; zero before
	pauses        *eventPauses  // between the events that are relayed; nil before
	ongoingRun    *quarantine.OngoingResponse
	stopInterrupt func() bool // stops interrupting conn at the end of the context
	ended         bool
}

// send picks an endpoint and sends the request to it. Endpoints that can't be reached are skipped,
// since they have seen nothing of the request.
func (x *exchange) send(ctx context.Context, model, lastEventID string) (*attempt, error) {
	for range maxDials {
		if !x.endsBeforeStop() {
			return nil, errStopping
		}
		if err := x.awaitSuspectTurn(ctx); err != nil {
			return nil, err
		}
		hold, decision := x.pickInTurn(ctx, model)
		if hold == nil {
			return nil, x.whyNoEndpoint(decision)
		}
		a, err := x.sendTo(ctx, hold, model, lastEventID)
		if !errors.Is(err, errChooseAgain) {
			return a, err
		}
	}
	return nil, errNoEndpoint
}

// errChooseAgain means that the request was not sent to the endpoint that was chosen, and may go to
// another.
var errChooseAgain = errors.New("the request was not sent there")

// sendTo sends the request to the endpoint of a hold, if that has a place for it, is reached and still
// takes it.
func (x *exchange) sendTo(ctx context.Context, hold *fleet.Hold, model, lastEventID string) (*attempt, error) {
	place, err := x.takePlace(ctx, hold)
	if err != nil {
		hold.Done(fleet.Result{Outcome: fleet.OutcomeNotSent})
		return nil, errChooseAgain
	}
	c, err := x.g.Pool.Get(ctx, hold.Endpoint.Address, x.connLimit(), x.conns...)
	if err != nil {
		place.Return(ratelimit.PlaceNotSent, ratelimit.PlaceReport{})
		x.recordUnreachable(hold, err)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, errChooseAgain
	}
	if err := x.checkBeforeSend(ctx, hold); err != nil {
		c.Release(false)
		place.Return(ratelimit.PlaceNotSent, ratelimit.PlaceReport{})
		hold.Done(fleet.Result{Outcome: fleet.OutcomeNotSent})
		if errors.Is(err, errBecameSuspect) || errors.Is(err, errTakesNothing) {
			return nil, errChooseAgain
		}
		return nil, err
	}
	a, err := x.sendOnConn(ctx, hold, place, c, model, lastEventID)
	if errors.Is(err, conn.ErrNotSent) {
		return nil, errChooseAgain
	}
	return a, err
}

// checkBeforeSend repeats, right before a request is sent, the checks whose results may be out of
// date: waiting and connecting take time, and the machine may have been suspended in between.
func (x *exchange) checkBeforeSend(ctx context.Context, hold *fleet.Hold) error {
	status := x.quarantineStatus()
	switch {
	case clock.Expired(ctx):
		return context.DeadlineExceeded
	case !x.endsBeforeStop():
		return errStopping
	case status.Quarantined:
		return quarantineError(status)
	case status.IsHeld() && x.g.RateLimits != nil:
		return errHeld
	case status.Turns(x.service) != (quarantine.Turns{}) && !x.maySendSuspect:
		return errBecameSuspect
	case !hold.StillTakes():
		x.g.Telemetry.Count("holds_given_back", 1)
		return errTakesNothing
	default:
		return nil
	}
}

// connLimit returns how many connections to one endpoint this host may hold; 0 if the service
// declares no limit.
func (x *exchange) connLimit() int {
	s, ok := x.table.Service(x.service)
	if !ok || s.MaxConns == 0 {
		return 0
	}
	return max(minConns, int(float64(s.MaxConns)*connShare))
}

// recordUnreachable records an endpoint that the request could not be sent to.
func (x *exchange) recordUnreachable(hold *fleet.Hold, err error) {
	x.tried = append(x.tried, hold.Endpoint.ID)
	outcome := fleet.OutcomeLost
	switch {
	case errors.Is(err, conn.ErrConnLimit), x.ctx.Err() != nil:
		outcome = fleet.OutcomeNeutral
	case errors.Is(err, reach.ErrNoWay):
		outcome = fleet.OutcomeUnreached
	}
	hold.Done(fleet.Result{Outcome: outcome})
	x.g.Telemetry.Count("endpoints_not_reached", 1, telemetry.Label("outcome", outcome.String()))
	x.g.unreachedLog.Do(func() {
		x.g.Logger.Warn("endpoint not reached", "id", x.header.ID, "endpoint", hold.Endpoint.ID, "address", hold.Endpoint.Address, "meaning", outcome, "error", err)
	})
}

// sendOnConn sends the request on a connection and reads the response header.
func (x *exchange) sendOnConn(ctx context.Context, hold *fleet.Hold, place *ratelimit.Place, c *conn.Conn, model, lastEventID string) (*attempt, error) {
	a := &attempt{x: x, hold: hold, place: place, conn: c, model: model, sentAt: clock.Now()}
	x.attempt = a
	x.sends++
	x.logSuspectSend(hold.Endpoint.ID)
	x.maySendSuspect = false
	x.tried, x.conns = append(x.tried, hold.Endpoint.ID), append(x.conns, c.ID())
	x.endpoint, x.version, x.model = hold.Endpoint.ID, hold.Endpoint.Version, model
	x.relayedBy = c.RelayedBy()
	a.stopInterrupt = context.AfterFunc(ctx, c.Interrupt)
	c.SetAbandonable(x.route.Repeatable() && x.sends < x.route.Attempts)
	a.boundHeaderWait(ctx)
	resp, err := c.Send(x.outgoingRequest(a, lastEventID), a.accepts) //nolint:bodyclose // a closed connection ends its body
	if errors.Is(err, conn.ErrNotSent) {
		x.sends--
		a.place.Return(ratelimit.PlaceNotSent, ratelimit.PlaceReport{})
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
	a.response, a.receivedAt = resp, clock.Now()
	a.recordStatement(resp, a.header, a.sentAt)
	if a.header.NotRun || resp.StatusCode == http.StatusMisdirectedRequest {
		x.mayHaveRun = before
		a.endRejected()
		return nil, errRejected
	}
	// A rejection arrives at once. Taken for the start of a response, it would suggest that full
	// endpoints process prompts instantly and have no requests waiting.
	a.hold.Head(a.header.Load)
	a.reportHead()
	x.countUsage()
	a.headerAt, a.ongoingRun = clock.Now(), x.g.Quarantine.BeginResponse(hold.Endpoint.ID, x.identity, x.sharedParts)
	x.lastHeaderDelay, x.expected = clock.Since(a.sentAt), hold.Expected
	return a, nil
}

// headerWaitFraction of the objective is how long a unary repeatable request waits for a response
// before it is sent to another endpoint: a response is likely to arrive sooner, unless it never
// does. Streams keep waiting, because a larger model may need the remaining attempt.
const headerWaitFraction = 0.75

// boundHeaderWait bounds the wait for the response header if the request may go to another endpoint
// instead and would be in time there.
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

// clearReadDeadline removes the bound on the wait for the rest of the response.
func (a *attempt) clearReadDeadline(ctx context.Context) {
	a.conn.SetReadDeadline(time.Time{})
	if ctx.Err() != nil {
		a.conn.Interrupt()
	}
}

// accepts reports whether a response is for this attempt, and parses its header. The ID that it carries is
// that of the request; it tells the attempt too, since each goes over a connection of its own: on a
// connection used twice, a late copy of the rejection of the first attempt would pass for the
// answer to the second. Endpoints echo the ID, so a response without one answers no request. What a response to an
// earlier request on the connection says about its endpoint holds too.
func (a *attempt) accepts(response *http.Response) bool {
	header := a.x.g.Codec.ParseResponse(response.Header)
	if header.RequestID == a.x.header.ID {
		a.header = header
		return true
	}
	if header.RequestID != "" {
		a.recordStatement(response, header, clock.Instant{})
	}
	return false
}

// outgoingRequest returns the request to send to the endpoint.
func (x *exchange) outgoingRequest(a *attempt, lastEventID string) *http.Request {
	left := x.timeLeft()
	h := x.g.Codec.EndpointHeader(x.r.Header, AttemptHeader{
		Instance: a.hold.Endpoint.Instance, Workspace: x.workspace, Model: x.modelName(a.model), LastEventID: lastEventID,
		TimeLeft: left, Urgency: a.hold.Urgency(),
	})
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // net/http would add its own
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

// modelName returns the model to name to the endpoint; empty where the caller chose the model.
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
	drained := a.conn.Drain()
	a.returnRejected(outcome)
	a.end(outcome, drained)
	a.x.g.Logger.Info("endpoint rejected", "id", a.x.header.ID, "endpoint", a.hold.Endpoint.ID, "status", a.response.StatusCode,
		"running", a.header.Load.Running, "waiting", a.header.Load.Waiting, "pause_ms", a.header.Pause.For.Milliseconds(), "sent_ms_ago", clock.Since(a.sentAt).Milliseconds(),
		"counted", a.place.Counted(), "count_owner", a.place.Owner(), "count_age_ms", a.place.CountAge().Milliseconds(), "occupied", a.place.Occupied())
}

// end releases the connection and the slot at the endpoint. The connection is reused only if the
// response is complete.
func (a *attempt) end(outcome fleet.Outcome, complete bool) {
	if a.ended {
		return
	}
	a.ended = true
	a.addWork(outcome)
	a.returnPlace(complete)
	if a.ongoingRun != nil {
		x := a.x
		x.g.Quarantine.EndResponse(a.ongoingRun, complete && a.endsItself() && a.response.StatusCode == http.StatusOK)
		if complete && x.g.Quarantine.HasEvidence() {
			x.g.Quarantine.RequestCompleted(x.fingerprint())
		}
	}
	a.conn.Release(a.stopInterrupt() && complete)
	a.hold.Done(fleet.Result{Outcome: outcome, Load: a.header.Load})
}

// fromEndpoint reports whether the endpoint itself produced the response.
func (a *attempt) fromEndpoint() bool {
	return a.header.Sealed && a.response.Header.Get("Content-Encoding") == ""
}

// reportAnswer reports to the service's upgrade a response that the endpoint itself produced. One that
// turned the request away tells nothing of the version.
func (a *attempt) reportAnswer(outcome fleet.Outcome) {
	if outcome == fleet.OutcomeRefused {
		return
	}
	a.reportFinding(upgrade.Answered{Failed: outcome == fleet.OutcomeFailed})
}

// reportPace reports to the service's upgrade how fast the response arrived.
func (a *attempt) reportPace(pace upgrade.Pace) {
	a.reportFinding(upgrade.Paced{Pace: pace, Requests: a.header.Load.Running + a.header.Load.Waiting})
}

// reportFinding reports to the service's upgrade a finding about the endpoint's version. All starts
// of an endpoint count as one: if it fails at each of its starts, the fault is the endpoint's.
func (a *attempt) reportFinding(f upgrade.Finding) {
	e := a.hold.Endpoint
	a.x.g.Upgrades.Record(upgrade.Report{
		Service: a.x.service, Version: e.Version, Endpoint: e.Instance, Route: a.x.route.Name, Model: a.model, Load: a.loadFraction(), Finding: f,
	})
}

// loadFraction returns the fraction of the endpoint's slots in use while it answered; 0 if it does not tell.
// The head of a stream states the load that the request met, without the request.
func (a *attempt) loadFraction() float64 {
	load := a.header.Load
	if a.x.route.Kind == route.KindStream {
		load.Running++
	}
	return load.Fraction()
}
