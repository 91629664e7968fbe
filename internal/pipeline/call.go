package pipeline

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/billing"
	"quaybarrow/internal/dispatch"
	"quaybarrow/internal/once"
	"quaybarrow/internal/problem"
)

// call sends a service call. A call that may not be repeated and has an idempotency key or a request
// id given in advance is sent under a durable claim, so that it runs at most once.
func (p *Pipeline) call(ctx context.Context, in billedCall) (once.Result, error) {
	if in.operation.Repeatable || in.incoming.IdempotencyKey == "" && in.incoming.RequestID == "" {
		outcome, err := p.send(ctx, in)
		return once.Result{Run: problem.Ran, Outcome: outcome}, err
	}
	var failure error
	result, err := p.options.Guard.Do(ctx, in.claim(), func(ctx context.Context) once.Attempt {
		// If the caller disconnects, the call continues, because a repeat needs its outcome.
		detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.options.MaxTimeout)
		defer cancel()
		outcome, err := p.send(detached, in)
		failure = err
		if err != nil {
			return once.Attempt{Run: problem.Of(err).Run}
		}
		return once.Attempt{Run: problem.Ran, Outcome: outcome}
	})
	if err != nil {
		return once.Result{}, claimProblem(err)
	}
	if failure != nil {
		return once.Result{}, failure
	}
	return result, nil
}

// claim returns the identity under which the call is claimed.
func (c billedCall) claim() once.Call {
	key := c.incoming.IdempotencyKey
	if key == "" {
		key = c.incoming.RequestID
	}
	return once.Call{
		Workspace: c.workspace.Name, Service: c.service.Name, Name: c.operation.Name,
		Key: key, Body: c.incoming.Body, RequestID: c.requestID,
	}
}

// send dispatches the call and adds the attempt to the bill.
func (p *Pipeline) send(ctx context.Context, in billedCall) (once.Outcome, error) {
	answer, err := p.options.Dispatcher.Call(ctx, dispatch.Call{
		ID: in.requestID, Service: in.service.Name, Name: in.operation.Name, Method: in.incoming.Method,
		ContentType: in.incoming.ContentType, Body: in.incoming.Body, Repeatable: in.operation.Repeatable,
		OnAttempt: in.recordAttempt, Identity: in.knownAs, Label: in.description(),
	})
	if err != nil {
		return once.Outcome{}, err
	}
	in.charge(billing.Usage{Attempts: 1})
	return once.Outcome{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}, nil
}

// underWayRetry is the delay after which a caller may repeat a call that is still running.
const underWayRetry = 2 * time.Second

// claimProblem returns the problem for a call that was not dispatched because of its claim.
func claimProblem(err error) error {
	switch {
	case errors.Is(err, once.ErrNotClaimed):
		return storeUnavailable(err, "the call can't be claimed, so it was not sent")
	case errors.Is(err, once.ErrUnderWay):
		return problem.New(http.StatusConflict, problem.CodeUnderWay, problem.Unknown,
			"an earlier call with this key is under way").WithRetryAfter(underWayRetry)
	case errors.Is(err, once.ErrBodyMismatch):
		return problem.New(http.StatusUnprocessableEntity, problem.CodeKeyReused, problem.NotRun,
			"the Idempotency-Key was used for another body; this body was not sent")
	default:
		return problem.New(http.StatusConflict, problem.CodeOutcomeUnknown, problem.Unknown,
			"an earlier call with this key may have run; look it up in the service before a new key").WithCause(err)
	}
}
