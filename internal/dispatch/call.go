package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"quaybarrow/internal/bound"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/telemetry"
)

// cancelTimeout bounds the request that tells an engine to cancel an attempt.
const cancelTimeout = 2 * time.Second

// cancelAttempt tells an engine to stop an attempt.
func (d *Dispatcher) cancelAttempt(address, attemptID string) {
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
	_, err = c.Send(request, func(*http.Response) bool { return true }) //nolint:bodyclose // a closed connection ends its body
	drained := err == nil && c.Drain()
	c.Release(stop() && drained)
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
	OnAttempt   func() // called after each failed attempt that may have run
	// Identity has all by which the call is known when it comes again.
	Identity func() quarantine.Request
	Label    string // workspace and called name, shown to operators
}

// Response is the response of a plain service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call sends a call to a plain service. A call that is not Repeatable is sent to another endpoint
// only while it is certain that no endpoint has run it.
func (d *Dispatcher) Call(ctx context.Context, call Call) (Response, error) {
	d.budgets.RecordFirst(call.Service)
	run := problem.NotRun
	var avoid []string
	var last error
	crashes := 0
	for attempt := range MaxAttempts {
		if clock.Expired(ctx) {
			break
		}
		status := d.quarantineStatus(call.Identity)
		if status.Quarantined {
			return Response{}, QuarantinedProblem(run)
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
		response, err := d.attemptCall(ctx, call, hold)
		if err == nil {
			d.recordCompleted(call.Identity)
			return response, nil
		}
		if d.recordFailure(ctx, hold, call.info(), quarantine.BrokenAttempt{Run: quarantine.Run{Lasted: clock.Since(sent)}}, err) {
			crashes++
		}
		last = err
		avoid = append(avoid, hold.Endpoint.ID)
		if runOf(err) != problem.NotRun {
			run = problem.Unknown
			call.OnAttempt()
		}
		if run != problem.NotRun && !call.Repeatable {
			break
		}
	}
	return Response{}, d.finalProblem(ctx, run, last, fleet.Request{Service: call.Service})
}

// attemptCall makes one attempt of a call at one endpoint.
func (d *Dispatcher) attemptCall(ctx context.Context, call Call, hold *fleet.Hold) (Response, error) {
	ctx, span := d.options.Telemetry.Start(ctx, "attempt "+hold.Endpoint.ID)
	defer span.End()
	response, err := d.sendCall(ctx, call, hold)
	telemetry.Fail(span, err)
	if err != nil {
		hold.Done(fleet.Result{Outcome: outcomeOf(ctx, err)})
		return Response{}, err
	}
	hold.Done(fleet.Result{Outcome: fleet.OutcomeGood})
	return response, nil
}

func (d *Dispatcher) sendCall(ctx context.Context, call Call, hold *fleet.Hold) (Response, error) {
	header := http.Header{}
	if call.ContentType != "" {
		header.Set("Content-Type", call.ContentType)
	}
	response, err := d.send(ctx, exchange{
		method: call.Method, hold: hold, path: "/" + call.Name, header: header,
		body: call.Body, requestID: call.ID, attemptID: uuid.NewString(),
	})
	if err != nil {
		return Response{}, err
	}
	body, err := d.readWhole(ctx, response, response.Body, hold)
	response.release(err == nil)
	if err != nil {
		return Response{}, &attemptError{run: problem.Unknown, outcome: fleet.OutcomeFailed, cause: fmt.Errorf("read response body: %w", err)}
	}
	return Response{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

// readWhole reads a response's body, from source, that is passed on only if it is whole. It returns a *bound.Error
// if the body is longer than maxResponseBytes, or holds the most when all responses hold more than they may.
func (d *Dispatcher) readWhole(ctx context.Context, response *endpointResponse, source io.Reader, hold *fleet.Hold) ([]byte, error) {
	memory := d.options.ResponseMemory.NewHolder(bound.PlaceBody, response.conn.Interrupt)
	body, err := bound.ReadBody(source, maxResponseBytes, func(size int) error { return memory.Resize(int64(size)) })
	ended := memory.Err()
	memory.Release()
	switch {
	case ended != nil:
		return nil, fmt.Errorf("hold a body: %w", ended)
	case errors.Is(err, io.EOF):
		return body, d.checkEnd(ctx, response, hold)
	case errors.Is(err, bound.ErrFull):
		return nil, &bound.Error{Place: bound.PlaceBody, Bytes: int64(len(body))}
	default:
		return nil, fmt.Errorf("read body: %w", err)
	}
}
