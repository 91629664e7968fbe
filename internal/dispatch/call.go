package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"quaybarrow/internal/endpoint"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/telemetry"
)

// cancelTimeout bounds telling an engine that nobody waits any more.
const cancelTimeout = 2 * time.Second

// cancelAt tells an engine to stop an attempt.
func (d *Dispatcher) cancelAt(address, attemptID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	url := "http://" + address + "/v1/streams/" + attemptID
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return
	}
	response, err := d.options.Transport.RoundTrip(request)
	if err != nil {
		return
	}
	drain(response)
}

// Call is a request to a plain service.
type Call struct {
	ID          string
	Service     string
	Name        string
	Method      string
	ContentType string
	Body        []byte
	Repeatable  bool
	Attempted   func() // told of each attempt that may have run
}

// Answer is a plain service's reply.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call sends a call to a plain service. A call that may not be repeated goes to
// another endpoint only while it is certain that none has run it.
func (d *Dispatcher) Call(ctx context.Context, call Call) (Answer, error) {
	d.budget.first()
	run := problem.NotRun
	var avoid []string
	var last error
	for attempt := range MaxAttempts {
		if attempt > 0 && !d.budget.retry() {
			break
		}
		reserved, ok := d.options.Pool.Pick(endpoint.Ask{Service: call.Service, Avoid: avoid})
		if !ok {
			break
		}
		answer, err := d.callOnce(ctx, call, reserved)
		if err == nil {
			return answer, nil
		}
		last = err
		avoid = append(avoid, reserved.ID)
		if runOf(err) != problem.NotRun {
			run = problem.Unknown
			call.Attempted()
		}
		if ctx.Err() != nil || run != problem.NotRun && !call.Repeatable {
			break
		}
	}
	return Answer{}, d.failed(ctx, run, last)
}

// callOnce makes one attempt at one endpoint.
func (d *Dispatcher) callOnce(ctx context.Context, call Call, reserved *endpoint.Reservation) (Answer, error) {
	ctx, span := d.options.Telemetry.Start(ctx, "attempt "+reserved.ID)
	defer span.End()
	answer, err := d.exchangeCall(ctx, call, reserved)
	telemetry.Fail(span, err)
	if err != nil {
		reserved.Done(outcomeOf(ctx, err))
		return Answer{}, err
	}
	reserved.Done(endpoint.OutcomeGood)
	return answer, nil
}

func (d *Dispatcher) exchangeCall(ctx context.Context, call Call, reserved *endpoint.Reservation) (Answer, error) {
	transport := d.options.Transport
	if !call.Repeatable {
		transport = d.options.Fresh
	}
	header := http.Header{}
	if call.ContentType != "" {
		header.Set("Content-Type", call.ContentType)
	}
	response, err := d.send(ctx, transport, exchange{
		method: call.Method, url: "http://" + reserved.Address + "/" + call.Name, header: header,
		body: call.Body, requestID: call.ID, attemptID: uuid.NewString(),
	})
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, &attemptError{run: problem.Unknown, cause: fmt.Errorf("read the answer: %w", err)}
	}
	return Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}
