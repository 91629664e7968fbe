package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/telemetry"
)

// cancelTimeout bounds telling an engine that nobody waits any more.
const cancelTimeout = 2 * time.Second

// cancelAt tells an engine to stop an attempt.
func (d *Dispatcher) cancelAt(address, attemptID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/streams/"+attemptID, nil)
	if err != nil {
		return
	}
	c, err := d.options.Conns.Get(ctx, address, 0)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, c.Interrupt)
	response, err := c.Send(request, func(http.Header) bool { return true }) //nolint:bodyclose // a closed connection ends its body
	c.Release(stop() && err == nil && drained(response))
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
	// Fingerprint is that by which the call is known when it comes again.
	Fingerprint func() quarantine.Fingerprint
	Of          string // workspace and what is called, for operators
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
	d.budgets.RecordFirst(call.Service)
	run := problem.NotRun
	var avoid []string
	var last error
	crashes := 0
	for attempt := range MaxAttempts {
		if clock.Over(ctx) {
			break
		}
		status := d.quarantineStatus(call.Fingerprint)
		if status.Quarantined {
			return Answer{}, Quarantined(run)
		}
		if !status.HostMayRetry(crashes) {
			break
		}
		if attempt > 0 && !d.budgets.TakeRetry(call.Service, 1) {
			break
		}
		hold, ok := d.options.Fleet.Pick(fleet.Request{Service: call.Service, Avoid: avoid})
		if !ok {
			break
		}
		sent := clock.Now()
		answer, err := d.callOnce(ctx, call, hold)
		if err == nil {
			d.finished(call.Fingerprint)
			return answer, nil
		}
		if d.crashed(ctx, hold, call.asked(), quarantine.Run{Lasted: clock.Since(sent)}, err) {
			crashes++
		}
		last = err
		avoid = append(avoid, hold.Endpoint.ID)
		if runOf(err) != problem.NotRun {
			run = problem.Unknown
			call.Attempted()
		}
		if run != problem.NotRun && !call.Repeatable {
			break
		}
	}
	return Answer{}, d.failed(ctx, run, last)
}

// callOnce makes one attempt at one endpoint.
func (d *Dispatcher) callOnce(ctx context.Context, call Call, hold *fleet.Hold) (Answer, error) {
	ctx, span := d.options.Telemetry.Start(ctx, "attempt "+hold.Endpoint.ID)
	defer span.End()
	answer, err := d.exchangeCall(ctx, call, hold)
	telemetry.Fail(span, err)
	if err != nil {
		hold.Done(fleet.Result{Outcome: outcomeOf(ctx, err)})
		return Answer{}, err
	}
	hold.Done(fleet.Result{Outcome: fleet.OutcomeGood})
	return answer, nil
}

func (d *Dispatcher) exchangeCall(ctx context.Context, call Call, hold *fleet.Hold) (Answer, error) {
	header := http.Header{}
	if call.ContentType != "" {
		header.Set("Content-Type", call.ContentType)
	}
	a, err := d.send(ctx, exchange{
		method: call.Method, address: hold.Endpoint.Address, path: "/" + call.Name, header: header,
		body: call.Body, requestID: call.ID, attemptID: uuid.NewString(),
	})
	if err != nil {
		return Answer{}, err
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	a.release(err == nil && len(body) < maxAnswerBytes)
	if err != nil {
		return Answer{}, &attemptError{run: problem.Unknown, outcome: fleet.OutcomeFailed, cause: fmt.Errorf("read the answer: %w", err)}
	}
	return Answer{Status: a.StatusCode, ContentType: a.Header.Get("Content-Type"), Body: body}, nil
}
