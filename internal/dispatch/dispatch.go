// Package dispatch sends requests to endpoints: attempts, retries, resumed
// streams, and the certainty about what ran.
//
// # Usage
//
//	stream, err := dispatcher.Open(ctx, dispatch.Request{...})
//	defer stream.Close()
//	for { event, err := stream.Next() ... }
//
// Endpoints are chosen by the fleet, requests are sent on connections of the
// package conn, and repeats are bounded by the package retry, as those of routed
// requests are. An attempt owns its stream: what a cancelled or late attempt still
// sends goes nowhere. A request is tried again only while the caller has seen
// nothing; one that may not be repeated is never tried again once a byte of it may
// have been sent.
package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"quaybarrow/internal/chat"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/endpoint"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/retry"
	"quaybarrow/internal/telemetry"
)

// Limits of attempts.
const (
	MaxAttempts    = 3 // of one request
	maxAnswerBytes = 32 << 20
	retryAfter     = time.Second // told to callers that find no endpoint
	// usualFirst is the time to a first token that is taken for good where nobody
	// declares one; it weighs bytes between data halls against waiting.
	usualFirst = 1500 * time.Millisecond
)

// DefaultRetries bounds repeats where nobody declares a bound: a tenth of the first
// sends, and a few for an idle host.
var DefaultRetries = retry.Limits{Ratio: 0.1, Reserve: 10}

// Options set up a Dispatcher.
type Options struct {
	Fleet      *fleet.Fleet
	Conns      *conn.Pool
	FirstToken time.Duration
	Telemetry  *telemetry.Telemetry
	// Quarantine knows requests under which endpoints crash.
	Quarantine *quarantine.Tracker
}

// Dispatcher sends requests to endpoints.
type Dispatcher struct {
	options Options
	budgets *retry.Budgets
}

// New returns a dispatcher.
func New(options Options) *Dispatcher {
	return &Dispatcher{options: options, budgets: retry.NewBudgets(DefaultRetries)}
}

// Request is a completion for an engine.
type Request struct {
	ID       string
	Version  declare.Ref
	Body     []byte // with the version as its model
	Priority declare.Priority
	Prefix   uint64 // hash of what the prompt shares with others; 0 for nothing
	Tokens   int    // of the prompt, estimated
	Shared   int    // of them, those that others share
	// Fingerprint is that by which the request is known when it comes again.
	Fingerprint func() quarantine.Fingerprint
	Of          string // workspace and what is asked for, for operators
	// Allowed is asked right before each attempt, so that a version withdrawn
	// meanwhile gets nothing new.
	Allowed func() error
	// Attempted is told of each attempt that may have run.
	Attempted func()
	// Judged is told whether the version itself failed an attempt, as opposed
	// to its endpoint; nil if nobody asks.
	Judged func(failed bool)
}

// ask is what the choice of an engine goes by.
func (r Request) ask(avoid []string) fleet.Request {
	return fleet.Request{
		Service: endpoint.Engines, Model: r.Version.String(), Avoid: avoid, Key: r.Prefix,
		Tokens: r.Tokens, SharedTokens: r.Shared, Objective: usualFirst,
	}
}

// Open sends a completion and returns its answer once it has begun. Errors are
// problems that say whether it ran.
func (d *Dispatcher) Open(ctx context.Context, request Request) (*Stream, error) {
	d.budgets.RecordFirst(endpoint.Engines)
	run := problem.NotRun
	var avoid []string
	var last error
	crashes := 0
	for attempt := range MaxAttempts {
		if clock.Over(ctx) {
			break
		}
		if err := request.Allowed(); err != nil {
			return nil, problem.Of(err).WithRun(run)
		}
		status := d.quarantineStatus(request.Fingerprint)
		if status.Quarantined {
			return nil, Quarantined(run)
		}
		if !status.HostMayRetry(crashes) {
			break
		}
		if attempt > 0 && !d.budgets.TakeRetry(endpoint.Engines, 1) {
			break
		}
		hold, ok := d.options.Fleet.Pick(request.ask(avoid))
		if !ok {
			break
		}
		sent := clock.Now()
		stream, err := d.attempt(ctx, request, hold)
		if err == nil {
			request.judge(false)
			return stream, nil
		}
		if d.crashed(ctx, hold, request.asked(), quarantine.Run{Lasted: clock.Since(sent)}, err) {
			crashes++
		}
		last = err
		avoid = append(avoid, hold.Endpoint.ID)
		if errors.Is(err, errVersionFailed) {
			request.judge(true)
		}
		if runOf(err) != problem.NotRun {
			run = problem.Unknown
			request.Attempted()
		}
	}
	return nil, d.failed(ctx, run, last)
}

func (r Request) judge(failed bool) {
	if r.Judged != nil {
		r.Judged(failed)
	}
}

// failed is the problem of a request that got no answer.
func (d *Dispatcher) failed(ctx context.Context, run problem.Run, last error) error {
	switch {
	case clock.Over(ctx):
		return problem.New(http.StatusGatewayTimeout, problem.CodeDeadline, run, "no answer came in time").WithCause(last)
	case last == nil || run == problem.NotRun:
		return problem.New(http.StatusServiceUnavailable, problem.CodeNoCapacity, run,
			"no endpoint took the request").WithCause(last).WithRetryAfter(retryAfter)
	default:
		return problem.New(http.StatusBadGateway, problem.CodeEndpoint, run,
			"the endpoints failed").WithCause(last).WithRetryAfter(retryAfter)
	}
}

// attemptError is a failed attempt.
type attemptError struct {
	run     problem.Run
	outcome fleet.Outcome
	cause   error
}

// Error implements error.
func (e *attemptError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.cause }

// runOf tells whether a failed attempt ran.
func runOf(err error) problem.Run {
	var e *attemptError
	if errors.As(err, &e) {
		return e.run
	}
	return problem.Unknown
}

// outcomeOf tells how a failed attempt speaks of its endpoint. One whose
// context ended says nothing: the caller left, or its time was up.
func outcomeOf(ctx context.Context, err error) fleet.Outcome {
	var e *attemptError
	known := errors.As(err, &e)
	switch {
	case known && e.outcome == fleet.OutcomeRefused:
		return fleet.OutcomeRefused
	case ctx.Err() != nil:
		return fleet.OutcomeNeutral
	case known:
		return e.outcome
	default:
		return fleet.OutcomeFailed
	}
}

// errVersionFailed means that an engine ran the request and failed.
var errVersionFailed = errors.New("the version failed")

// attempt sends a completion to one endpoint and waits for its first byte.
func (d *Dispatcher) attempt(ctx context.Context, request Request, hold *fleet.Hold) (*Stream, error) {
	caller := ctx
	ctx, span := d.options.Telemetry.Start(ctx, "attempt "+hold.Endpoint.ID)
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	sent := clock.Now()
	timer := time.AfterFunc(d.options.FirstToken, cancel)
	defer timer.Stop()
	s := &Stream{dispatcher: d, hold: hold, cancel: cancel, context: ctx, request: request, attemptID: uuid.NewString()}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(chat.HeaderPriority, string(request.Priority))
	header.Set(chat.HeaderResumable, "1")
	answer, err := d.send(ctx, exchange{
		method: http.MethodPost, address: hold.Endpoint.Address, path: "/v1/chat/completions", header: header,
		body: request.Body, requestID: request.ID, attemptID: s.attemptID,
	})
	if err == nil {
		s.take(answer)
		_, err = s.reader.Peek(1)
		if err != nil {
			err = &attemptError{run: problem.Unknown, outcome: fleet.OutcomeFailed, cause: fmt.Errorf("wait for the answer: %w", err)}
		}
	}
	if err != nil {
		telemetry.Fail(span, err)
		s.fail(outcomeOf(caller, err))
		return nil, err
	}
	hold.Head(fleet.Load{})
	s.sent, s.begun = sent, clock.Now()
	s.going = d.options.Quarantine.BeginResponse(request.Fingerprint)
	return s, nil
}

// exchange is one HTTP request to an endpoint.
type exchange struct {
	method    string
	address   string // ip:port
	path      string
	header    http.Header
	body      []byte
	requestID string
	attemptID string
}

// answer is an endpoint's answer on the connection that it comes by.
type answer struct {
	*http.Response
	conn *conn.Conn
	stop func() bool // ends the watch on the context
}

// release gives the connection back; it is kept if the answer was read whole.
func (a *answer) release(whole bool) { a.conn.Release(a.stop() && whole) }

// send makes one exchange and returns the answer if it is one to it. Errors are
// *attemptError.
func (d *Dispatcher) send(ctx context.Context, x exchange) (*answer, error) {
	request, err := http.NewRequestWithContext(ctx, x.method, "http://"+x.address+x.path, bytes.NewReader(x.body))
	if err != nil {
		return nil, &attemptError{run: problem.NotRun, outcome: fleet.OutcomeNeutral, cause: fmt.Errorf("build request: %w", err)}
	}
	request.Header = x.header
	request.Header.Set(chat.HeaderRequestID, x.requestID)
	request.Header.Set(chat.HeaderAttempt, x.attemptID)
	d.options.Telemetry.Inject(ctx, request.Header)
	c, err := d.options.Conns.Get(ctx, x.address, 0)
	if err != nil {
		return nil, notSent(err)
	}
	stop := context.AfterFunc(ctx, c.Interrupt)
	response, err := c.Send(request, x.accepts) //nolint:bodyclose // a closed connection ends its body
	a := &answer{Response: response, conn: c, stop: stop}
	if err == nil {
		err = x.check(response)
		if err == nil {
			return a, nil
		}
		a.release(drained(response))
		return nil, err
	}
	a.release(false)
	if errors.Is(err, conn.ErrNotSent) {
		return nil, notSent(err)
	}
	return nil, &attemptError{run: problem.Unknown, outcome: fleet.OutcomeFailed, cause: fmt.Errorf("send: %w", err)}
}

// notSent is the error of an attempt that its endpoint has seen nothing of.
func notSent(err error) error {
	return &attemptError{run: problem.NotRun, outcome: fleet.OutcomeLost, cause: fmt.Errorf("send: %w", err)}
}

// accepts reports whether an answer is one to this exchange; endpoints that do not
// echo the ids are believed.
func (x exchange) accepts(h http.Header) bool {
	return echoes(h, chat.HeaderRequestID, x.requestID) && echoes(h, chat.HeaderAttempt, x.attemptID)
}

// check tells an answer from a refusal and a failure.
func (x exchange) check(response *http.Response) error {
	refused := response.Header.Get(chat.HeaderRun) == chat.NotRun
	switch {
	case refused && response.StatusCode >= http.StatusBadRequest:
		return &attemptError{run: problem.NotRun, outcome: fleet.OutcomeRefused, cause: errors.Errorf("refused with status %d", response.StatusCode)}
	case response.StatusCode >= http.StatusInternalServerError:
		return &attemptError{
			run: problem.Unknown, outcome: fleet.OutcomeFailed,
			cause: errors.WithMessagef(errVersionFailed, "status %d", response.StatusCode),
		}
	default:
		return nil
	}
}

// echoes reports whether an echoed header, if there is one, has our value.
func echoes(h http.Header, name, value string) bool {
	got := h.Get(name)
	return got == "" || got == value
}

// drained reads what is left of a short answer; true if it was read to its end.
func drained(response *http.Response) bool {
	const most = 4 << 10
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, most))
	return err == nil && n < most
}
