// Package dispatch sends requests to endpoints. It makes attempts, retries failed ones, resumes
// interrupted streams, and reports whether a request may have run.
//
// # Usage
//
//	stream, err := dispatcher.Open(ctx, dispatch.Request{...})
//	defer stream.Close()
//	for { event, err := stream.Next() ... }
//
// The fleet chooses endpoints, package conn provides the connections, and package retry bounds
// retries, as it does for routed requests. Each attempt has its own stream, so data that a
// cancelled or late attempt still sends is dropped. A request is retried only while the caller has
// received nothing; one that may not be repeated is never retried once a byte of it may have been
// sent.
package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"quaybarrow/internal/bound"
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

// Limits and defaults of attempts.
const (
	MaxAttempts      = 3 // per request
	maxResponseBytes = 32 << 20
	retryAfter       = time.Second // Retry-After of responses to callers whose request no endpoint answered
	// defaultObjective is the objective for the time to the first token where none is declared.
	// The fleet uses it to weigh traffic between data halls against waiting time.
	defaultObjective = 1500 * time.Millisecond
)

// DefaultRetries bounds retries where no bound is declared: a tenth of the first attempts, plus a
// small reserve so that an idle host can retry.
var DefaultRetries = retry.Limits{Ratio: 0.1, Reserve: 10}

// Options set up a Dispatcher.
type Options struct {
	Fleet             *fleet.Fleet
	Conns             *conn.Pool
	FirstTokenTimeout time.Duration
	Telemetry         *telemetry.Telemetry
	// Quarantine tracks requests that crash endpoints.
	Quarantine *quarantine.Tracker
	// ResponseMemory bounds the incomplete events and bodies that the host holds; nil bounds them by the process's
	// memory limit.
	ResponseMemory *bound.Memory
	Logger         *log.Logger // nil for none
}

// Dispatcher sends requests to endpoints.
type Dispatcher struct {
	options Options
	budgets *retry.Budgets
}

// New returns a dispatcher.
func New(options Options) *Dispatcher {
	if options.ResponseMemory == nil {
		options.ResponseMemory = bound.NewMemory(bound.ProcessLimit)
	}
	return &Dispatcher{options: options, budgets: retry.NewBudgets(DefaultRetries)}
}

// Request is a completion request for an engine.
type Request struct {
	ID           string
	Version      declare.Ref
	Body         []byte // its model is already replaced by the version
	Priority     declare.Priority
	PrefixHash   uint64 // hash of the prompt's prefix that other prompts share; 0 if none
	PromptTokens int    // estimated
	SharedTokens int    // prompt tokens that belong to the shared prefix
	// Identity has all by which the request is known when it, or parts of its prompt, come again.
	Identity func() quarantine.Request
	Label    string // workspace and requested name, shown to operators
	// CheckAllowed is called right before each attempt, so that a version that has been withdrawn
	// since the last one gets no further requests.
	CheckAllowed func() error
	// OnAttempt is called after each failed attempt that may have run.
	OnAttempt func()
	// OnVersionResult is called with true when the version, not its endpoint, failed an attempt,
	// and with false when an attempt succeeded. It may be nil.
	OnVersionResult func(failed bool)
}

// fleetRequest returns the criteria by which the fleet picks an engine.
func (r Request) fleetRequest(avoid []string) fleet.Request {
	return fleet.Request{
		Service: endpoint.EngineService, Model: r.Version.String(), Avoid: avoid, Key: r.PrefixHash,
		Tokens: r.PromptTokens, SharedTokens: r.SharedTokens, Objective: defaultObjective,
	}
}

// Open sends a completion request and returns the response once its first byte has arrived. Errors
// are problems that say whether the request ran.
func (d *Dispatcher) Open(ctx context.Context, request Request) (*Stream, error) {
	d.budgets.RecordFirst(endpoint.EngineService)
	run := problem.NotRun
	var avoid []string
	var last error
	crashes := 0
	for attempt := range MaxAttempts {
		if clock.Expired(ctx) {
			break
		}
		if err := request.CheckAllowed(); err != nil {
			return nil, problem.Of(err).WithRun(run)
		}
		status := d.quarantineStatus(request.Identity)
		if status.Quarantined {
			return nil, QuarantinedProblem(run)
		}
		if !status.HostMayRetry(crashes) {
			break
		}
		if attempt > 0 && !d.budgets.TakeRetry(endpoint.EngineService, 1) {
			break
		}
		hold, ok := d.options.Fleet.Pick(request.fleetRequest(avoid))
		if !ok {
			break
		}
		sent := clock.Now()
		stream, err := d.attempt(ctx, request, hold)
		if err == nil {
			request.reportVersionResult(false)
			return stream, nil
		}
		if d.recordFailure(ctx, hold, request.info(), quarantine.BrokenAttempt{Run: quarantine.Run{Lasted: clock.Since(sent)}}, err) {
			crashes++
		}
		last = err
		avoid = append(avoid, hold.Endpoint.ID)
		if errors.Is(err, errVersionFailed) {
			request.reportVersionResult(true)
		}
		if runOf(err) != problem.NotRun {
			run = problem.Unknown
			request.OnAttempt()
		}
	}
	return nil, d.finalProblem(ctx, run, last, request.fleetRequest(nil))
}

func (r Request) reportVersionResult(failed bool) {
	if r.OnVersionResult != nil {
		r.OnVersionResult(failed)
	}
}

// finalProblem returns the problem for a request that got no response.
func (d *Dispatcher) finalProblem(ctx context.Context, run problem.Run, last error, request fleet.Request) error {
	switch {
	case clock.Expired(ctx):
		return problem.New(http.StatusGatewayTimeout, problem.CodeDeadline, run, "no answer came in time").WithCause(last)
	case last == nil || run == problem.NotRun:
		return problem.New(http.StatusServiceUnavailable, problem.CodeNoCapacity, run,
			"no endpoint took the request").WithCause(last).WithRetryAfter(max(retryAfter, d.options.Fleet.PausedFor(request)))
	default:
		return problem.New(http.StatusBadGateway, problem.CodeEndpoint, run,
			"the endpoints failed").WithCause(last).WithRetryAfter(retryAfter)
	}
}

// attemptError describes a failed attempt.
type attemptError struct {
	run     problem.Run
	outcome fleet.Outcome
	cause   error
}

// Error implements error.
func (e *attemptError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.cause }

// runOf returns whether a failed attempt ran.
func runOf(err error) problem.Run {
	var e *attemptError
	if errors.As(err, &e) {
		return e.run
	}
	return problem.Unknown
}

// outcomeOf returns the outcome that a failed attempt counts as for its endpoint. An attempt whose
// context ended is neutral unless the endpoint refused it, or its response exceeded a bound or had a head
// that still arrived when the time was over: the caller disconnected or the deadline passed.
func outcomeOf(ctx context.Context, err error) fleet.Outcome {
	var e *attemptError
	known := errors.As(err, &e)
	switch {
	case known && e.outcome == fleet.OutcomeRefused:
		return fleet.OutcomeRefused
	case bound.IsExceeded(err), clock.Expired(ctx) && errors.Is(err, conn.ErrHeadIncomplete):
		return fleet.OutcomeFailed
	case ctx.Err() != nil:
		return fleet.OutcomeNeutral
	case known:
		return e.outcome
	default:
		return fleet.OutcomeFailed
	}
}

// errVersionFailed means that an engine ran the request and failed: it responded with a server
// error that does not say that the request was not run.
var errVersionFailed = errors.New("the version failed")

// attempt sends a completion request to one endpoint and waits for the first byte of the response
// body.
func (d *Dispatcher) attempt(ctx context.Context, request Request, hold *fleet.Hold) (*Stream, error) {
	callerCtx := ctx
	ctx, span := d.options.Telemetry.Start(ctx, "attempt "+hold.Endpoint.ID)
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	sent := clock.Now()
	timer := time.AfterFunc(d.options.FirstTokenTimeout, cancel)
	defer timer.Stop()
	s := &Stream{dispatcher: d, hold: hold, cancel: cancel, context: ctx, request: request, attemptID: uuid.NewString()}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(chat.HeaderPriority, string(request.Priority))
	header.Set(chat.HeaderResumable, "1")
	response, err := d.send(ctx, exchange{
		method: http.MethodPost, hold: hold, path: "/v1/chat/completions", header: header,
		body: request.Body, requestID: request.ID, attemptID: s.attemptID,
	})
	if err == nil {
		s.setResponse(response)
		_, err = s.reader.Peek(1)
		if err != nil {
			err = &attemptError{run: problem.Unknown, outcome: fleet.OutcomeFailed, cause: fmt.Errorf("wait for first byte of response: %w", err)}
		}
	}
	if err != nil {
		telemetry.Fail(span, err)
		s.abort(outcomeOf(callerCtx, err))
		return nil, err
	}
	hold.Head(fleet.Load{})
	s.sentAt, s.responseStarted = sent, clock.Now()
	s.ongoing = d.options.Quarantine.BeginResponse(s.hold.Endpoint.ID, request.Identity, nil)
	return s, nil
}

// exchange is one HTTP request to an endpoint.
type exchange struct {
	method    string
	hold      *fleet.Hold
	continues bool // it belongs to a request that runs at the endpoint
	path      string
	header    http.Header
	body      []byte
	requestID string
	attemptID string
}

// endpointResponse is an endpoint's response and the connection on which it arrives.
type endpointResponse struct {
	*http.Response
	conn      *conn.Conn
	stopWatch func() bool // stops interrupting the connection when the context ends
}

// release returns the connection to its pool, which keeps it only if the response was read to its
// end and the context did not end.
func (a *endpointResponse) release(readToEnd bool) { a.conn.Release(a.stopWatch() && readToEnd) }

// send makes one exchange and returns its response unless that is a refusal or a server error.
// Errors are *attemptError.
func (d *Dispatcher) send(ctx context.Context, x exchange) (*endpointResponse, error) {
	address := x.hold.Endpoint.Address
	request, err := http.NewRequestWithContext(ctx, x.method, "http://"+address+x.path, bytes.NewReader(x.body))
	if err != nil {
		return nil, &attemptError{run: problem.NotRun, outcome: fleet.OutcomeNeutral, cause: fmt.Errorf("build request: %w", err)}
	}
	request.Header = x.header
	request.Header.Set(chat.HeaderRequestID, x.requestID)
	request.Header.Set(chat.HeaderAttempt, x.attemptID)
	d.options.Telemetry.Inject(ctx, request.Header)
	c, err := d.options.Conns.Get(ctx, address, 0)
	if err != nil {
		return nil, notSent(fleet.OutcomeLost, err)
	}
	if !x.continues && !x.hold.StillTakes() {
		c.Release(false)
		return nil, notSent(fleet.OutcomeNotSent, errTakesNothing)
	}
	stop := context.AfterFunc(ctx, c.Interrupt)
	response, err := c.Send(request, x.accepts) //nolint:bodyclose // a closed connection ends its body
	received := &endpointResponse{Response: response, conn: c, stopWatch: stop}
	if err == nil {
		err = x.checkStatus(response, d.notePause(x, response))
		if err == nil {
			return received, nil
		}
		// A refusal that does not name the attempt could come again and pass for the answer to a later
		// request on the connection.
		received.release(response.Header.Get(chat.HeaderAttempt) == x.attemptID && c.Drain())
		return nil, err
	}
	received.release(false)
	if errors.Is(err, conn.ErrNotSent) {
		return nil, notSent(fleet.OutcomeLost, err)
	}
	return nil, &attemptError{run: problem.Unknown, outcome: fleet.OutcomeFailed, cause: fmt.Errorf("send: %w", err)}
}

// errTakesNothing means that an engine that was chosen has since asked for a pause.
var errTakesNothing = errors.New("the endpoint takes no request any more")

// notSent returns the error for an attempt of which the endpoint received nothing.
func notSent(o fleet.Outcome, err error) error {
	return &attemptError{run: problem.NotRun, outcome: o, cause: fmt.Errorf("send: %w", err)}
}

// notePause records for how long an endpoint that turned a request away wants no other, and reports
// whether it wants a pause.
func (d *Dispatcher) notePause(x exchange, response *http.Response) bool {
	if response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusTooManyRequests {
		return false
	}
	pause, err := retry.ParseAfter(response.Header, clock.Now().Time())
	if err != nil {
		d.options.Telemetry.Count("unreadable_pauses", 1)
		return false
	}
	if pause > 0 {
		d.options.Fleet.NotePause(x.hold.Endpoint.ID, pause, fleet.NoticeSource{By: fleet.NoticeInResponse, Request: x.requestID})
	}
	return pause > 0
}

// accepts reports whether a response belongs to this exchange. Responses of endpoints that do not
// echo the IDs are accepted.
func (x exchange) accepts(response *http.Response) bool {
	h := response.Header
	return echoMatches(h, chat.HeaderRequestID, x.requestID) && echoMatches(h, chat.HeaderAttempt, x.attemptID)
}

// checkStatus returns an error if the response is a refusal or a server error. An endpoint that turns a
// request away and wants a pause has not failed.
func (x exchange) checkStatus(response *http.Response, wantsPause bool) error {
	refused := response.Header.Get(chat.HeaderRun) == chat.NotRun
	switch {
	case refused && response.StatusCode >= http.StatusBadRequest:
		return &attemptError{run: problem.NotRun, outcome: fleet.OutcomeRefused, cause: errors.Errorf("refused with status %d", response.StatusCode)}
	case wantsPause:
		return &attemptError{run: problem.Unknown, outcome: fleet.OutcomeRefused, cause: errors.Errorf("turned away with status %d", response.StatusCode)}
	case response.StatusCode >= http.StatusInternalServerError:
		return &attemptError{
			run: problem.Unknown, outcome: fleet.OutcomeFailed,
			cause: errors.WithMessagef(errVersionFailed, "status %d", response.StatusCode),
		}
	default:
		return nil
	}
}

// echoMatches reports whether a header of the response is absent or echoes the given value.
func echoMatches(h http.Header, name, value string) bool {
	got := h.Get(name)
	return got == "" || got == value
}
