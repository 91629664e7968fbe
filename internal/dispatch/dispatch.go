// Package dispatch sends requests to endpoints: attempts, retries, resumed
// streams, and the certainty about what ran.
//
// # Usage
//
//	stream, err := dispatcher.Open(ctx, dispatch.Request{...})
//	defer stream.Close()
//	for { event, err := stream.Next() ... }
//
// An attempt owns its stream: what a cancelled or late attempt still sends goes
// nowhere. A request is tried again only while the caller has seen nothing, and
// within a budget; one that may not be repeated is never tried again once a
// byte of it may have been sent.
package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"quaybarrow/internal/chat"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/endpoint"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/telemetry"
)

// Limits of attempts.
const (
	MaxAttempts    = 3 // of one request
	maxAnswerBytes = 32 << 20
	retryAfter     = time.Second // told to callers that find no endpoint
)

// Options set up a Dispatcher.
type Options struct {
	Pool *endpoint.Pool
	// Transport carries what may be repeated; its connections are kept.
	Transport http.RoundTripper
	// Fresh carries calls that may not be repeated: a new connection for each,
	// so that the HTTP library never has a reason to send one again.
	Fresh      http.RoundTripper
	FirstToken time.Duration
	Telemetry  *telemetry.Telemetry
}

// Dispatcher sends requests to endpoints.
type Dispatcher struct {
	options Options
	budget  *sharedBudget
}

// New returns a dispatcher.
func New(options Options) *Dispatcher {
	return &Dispatcher{options: options, budget: &sharedBudget{now: NewBudget()}}
}

// Request is a completion for an engine.
type Request struct {
	ID       string
	Version  declare.Ref
	Body     []byte // with the version as its model
	Priority declare.Priority
	Prefix   uint64
	// Allowed is asked right before each attempt, so that a version withdrawn
	// meanwhile gets nothing new.
	Allowed func() error
	// Attempted is told of each attempt that may have run.
	Attempted func()
	// Judged is told whether the version itself failed an attempt, as opposed
	// to its endpoint; nil if nobody asks.
	Judged func(failed bool)
}

// Open sends a completion and returns its answer once it has begun. Errors are
// problems that say whether it ran.
func (d *Dispatcher) Open(ctx context.Context, request Request) (*Stream, error) {
	d.budget.first()
	run := problem.NotRun
	var avoid []string
	var last error
	for attempt := range MaxAttempts {
		if err := request.Allowed(); err != nil {
			return nil, problem.Of(err).WithRun(run)
		}
		if attempt > 0 && !d.budget.retry() {
			break
		}
		reserved, ok := d.options.Pool.Pick(endpoint.Ask{Version: request.Version, Prefix: request.Prefix, Avoid: avoid})
		if !ok {
			break
		}
		stream, err := d.attempt(ctx, request, reserved)
		if err == nil {
			request.judge(false)
			return stream, nil
		}
		last = err
		avoid = append(avoid, reserved.ID)
		if errors.Is(err, errVersionFailed) {
			request.judge(true)
		}
		if runOf(err) != problem.NotRun {
			run = problem.Unknown
			request.Attempted()
		}
		if ctx.Err() != nil {
			break
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
	case ctx.Err() != nil:
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
	refused bool // by the endpoint, in so many words
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
func outcomeOf(ctx context.Context, err error) endpoint.Outcome {
	var e *attemptError
	switch {
	case errors.As(err, &e) && e.refused:
		return endpoint.OutcomeRefused
	case ctx.Err() != nil:
		return endpoint.OutcomeNeutral
	default:
		return endpoint.OutcomeFailed
	}
}

// errVersionFailed means that an engine ran the request and failed.
var errVersionFailed = errors.New("the version failed")

// errForeign means that an endpoint answered another request than ours.
var errForeign = errors.New("endpoint answered for another request")

// attempt sends a completion to one endpoint and waits for its first byte.
func (d *Dispatcher) attempt(ctx context.Context, request Request, reserved *endpoint.Reservation) (*Stream, error) {
	caller := ctx
	ctx, span := d.options.Telemetry.Start(ctx, "attempt "+reserved.ID)
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(d.options.FirstToken, cancel)
	defer timer.Stop()
	s := &Stream{dispatcher: d, reserved: reserved, cancel: cancel, context: ctx, request: request, attemptID: uuid.NewString()}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(chat.HeaderPriority, string(request.Priority))
	header.Set(chat.HeaderResumable, "1")
	url := "http://" + reserved.Address + "/v1/chat/completions"
	response, err := d.send(ctx, d.options.Transport, exchange{ //nolint:bodyclose // the stream closes it
		method: http.MethodPost, url: url, header: header, body: request.Body,
		requestID: request.ID, attemptID: s.attemptID,
	})
	if err == nil {
		s.take(response)
		_, err = s.reader.Peek(1)
		if err != nil {
			err = &attemptError{run: problem.Unknown, cause: fmt.Errorf("wait for the answer: %w", err)}
		}
	}
	if err != nil {
		telemetry.Fail(span, err)
		s.fail(outcomeOf(caller, err))
		return nil, err
	}
	return s, nil
}

// exchange is one HTTP request to an endpoint.
type exchange struct {
	method    string
	url       string
	header    http.Header
	body      []byte
	requestID string
	attemptID string
}

// send makes one exchange and returns the response if it is an answer to it.
// Errors are *attemptError.
func (d *Dispatcher) send(ctx context.Context, transport http.RoundTripper, x exchange) (*http.Response, error) {
	connected := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	request, err := http.NewRequestWithContext(traced, x.method, x.url, bytes.NewReader(x.body))
	if err != nil {
		return nil, &attemptError{run: problem.NotRun, cause: fmt.Errorf("build request: %w", err)}
	}
	request.GetBody = nil // so that the library never sends it again by itself
	request.Header = x.header
	request.Header.Set(chat.HeaderRequestID, x.requestID)
	request.Header.Set(chat.HeaderAttempt, x.attemptID)
	d.options.Telemetry.Inject(ctx, request.Header)
	response, err := transport.RoundTrip(request)
	if err != nil {
		run := problem.Unknown
		if !connected {
			run = problem.NotRun
		}
		return nil, &attemptError{run: run, cause: fmt.Errorf("send: %w", err)}
	}
	if err := x.check(response); err != nil {
		drain(response)
		return nil, err
	}
	return response, nil
}

// check tells an answer to this exchange from a refusal, a failure and an
// answer to another one.
func (x exchange) check(response *http.Response) error {
	refused := response.Header.Get(chat.HeaderRun) == chat.NotRun
	switch {
	case refused && response.StatusCode >= http.StatusBadRequest:
		return &attemptError{run: problem.NotRun, refused: true, cause: errors.Errorf("refused with status %d", response.StatusCode)}
	case response.StatusCode >= http.StatusInternalServerError:
		return &attemptError{run: problem.Unknown, cause: errors.WithMessagef(errVersionFailed, "status %d", response.StatusCode)}
	case !echoes(response.Header, chat.HeaderRequestID, x.requestID), !echoes(response.Header, chat.HeaderAttempt, x.attemptID):
		return &attemptError{run: problem.Unknown, cause: errForeign}
	default:
		return nil
	}
}

// echoes reports whether an echoed header, if there is one, has our value.
func echoes(h http.Header, name, value string) bool {
	got := h.Get(name)
	return got == "" || got == value
}

// drain lets a connection be used again if little is left on it.
func drain(response *http.Response) {
	const most = 4 << 10
	_, _ = io.CopyN(io.Discard, response.Body, most)
	_ = response.Body.Close()
}
