package gateway

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/bound"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/fleet"
)

// unfinished is what is known of a response that did not end before its request's time was over.
type unfinished struct {
	headBegun     bool          // its head was arriving
	bodyBegun     bool          // its body was arriving, and is not a stream of events
	lasted        time.Duration // since the request was sent to the endpoint
	awaitedCaller time.Duration // of which the host waited for the caller to read
	timeout       time.Duration // of the route
}

// outcome returns the outcome for the endpoint. A head that arrives for as long as the request lasts, and
// a body that has not ended although the caller kept up with it and the endpoint had at least half of the
// route's timeout, are failures. Otherwise the time of the request, or its caller, may be the reason.
func (u unfinished) outcome() fleet.Outcome {
	switch {
	case u.headBegun:
		return fleet.OutcomeFailed
	case u.bodyBegun && 2*u.awaitedCaller < u.lasted && 2*u.lasted >= u.timeout:
		return fleet.OutcomeFailed
	default:
		return fleet.OutcomeNeutral
	}
}

// endFailed ends an attempt that broke off or whose response is unusable.
func (a *attempt) endFailed(err error) { a.end(a.failedOutcome(err), false) }

// failedOutcome returns the outcome of an attempt that ended with an error.
func (a *attempt) failedOutcome(err error) fleet.Outcome {
	x := a.x
	switch {
	case bound.IsExceeded(err), x.ctx.Err() == nil:
		return fleet.OutcomeFailed
	case x.callerGone():
		return fleet.OutcomeNeutral
	default:
		return unfinished{
			headBegun: errors.Is(err, conn.ErrHeadIncomplete), bodyBegun: errors.Is(err, errBodyIncomplete),
			lasted: clock.Since(a.sentAt), timeout: x.routeTimeout(),
		}.outcome()
	}
}

// routeTimeout returns the timeout of requests whose caller states none.
func (x *exchange) routeTimeout() time.Duration { return cmp.Or(x.route.Timeout, defaultTimeout) }

// errBodyIncomplete means that a response could not be read to its end after a part of its body.
var errBodyIncomplete = errors.New("the answer broke off")

// boundWrites makes writes to the caller fail once the request's time is over. The function that it
// returns removes the bound after a whole response: one that is cut closes the connection, and what is
// written before must not block.
func (x *exchange) boundWrites() (remove func()) {
	out := http.NewResponseController(x.w)
	_ = out.SetWriteDeadline(x.deadline.Time())
	return func() { _ = out.SetWriteDeadline(time.Time{}) }
}

// passOnBuffer is the size of the pieces in which a body is passed on.
const passOnBuffer = 32 << 10

// passOn sends a response that is not whole yet to the caller as it arrives, until the request's deadline.
// If it does not end by then, or breaks off, the caller's connection is closed.
func (x *exchange) passOn(resp *bufferedResponse) {
	a := resp.attempt
	removeBound := x.boundWrites()
	u := unfinished{bodyBegun: true, timeout: x.routeTimeout()}
	defer resp.release()
	var buffer []byte
	piece, readErr := resp.body, error(nil)
	for {
		if err := x.writeTimed(piece, &u); err != nil {
			a.end(a.cutOutcome(u), false)
			x.abortPartial("not passed on whole")
		}
		if readErr != nil {
			break
		}
		if buffer == nil {
			resp.release()
			buffer = make([]byte, passOnBuffer)
		}
		var n int
		n, readErr = a.response.Body.Read(buffer)
		piece = buffer[:n]
	}
	if errors.Is(readErr, io.EOF) {
		readErr = a.checkEnd()
	}
	if readErr == nil {
		a.end(a.outcome(), true)
		removeBound()
		return
	}
	if x.ctx.Err() != nil {
		a.end(a.cutOutcome(u), false)
	}
	a.endBroken(fmt.Errorf("pass on a body: %w", readErr))
	x.abortPartial("the answer broke off")
}

// cutOutcome returns the outcome of an attempt whose response was passed on until the caller left or the
// request's time was over. A write that fails because of its deadline ends the caller's context too, so only
// the time tells the two apart.
func (a *attempt) cutOutcome(u unfinished) fleet.Outcome {
	if a.x.timeLeft() > 0 {
		return fleet.OutcomeNeutral
	}
	u.lasted = clock.Since(a.sentAt)
	return u.outcome()
}

// writeTimed writes to the caller and adds the time that it takes.
func (x *exchange) writeTimed(p []byte, u *unfinished) error {
	before := clock.Now()
	_, err := x.w.Write(p)
	u.awaitedCaller += clock.Since(before)
	return errors.WithMessage(err, "write to the caller")
}

// readHeldBack reads the part of a response that is held back until the response is known to be whole: less
// than maxBufferedBytes if all responses hold as much as they may.
func (a *attempt) readHeldBack() (*bufferedResponse, error) {
	memory := a.x.g.ResponseMemory.NewHolder(bound.PlaceBody, a.conn.Interrupt)
	body, err := bound.ReadBody(a.response.Body, maxBufferedBytes, func(size int) error {
		if !memory.TryResize(int64(size)) {
			return bound.ErrFull
		}
		return nil
	})
	if errors.Is(err, bound.ErrFull) {
		return &bufferedResponse{attempt: a, body: body, memory: memory, truncated: true}, nil
	}
	ended := memory.Err()
	memory.Release()
	switch {
	case ended != nil:
		return nil, fmt.Errorf("hold a body back: %w", ended)
	case errors.Is(err, io.EOF):
		return &bufferedResponse{attempt: a, body: body, memory: memory}, nil
	case len(body) > 0:
		return nil, fmt.Errorf("%w: %w", errBodyIncomplete, err)
	default:
		return nil, errors.WithMessage(err, "the answer broke off")
	}
}

// release gives up the part of the body that was held back.
func (r *bufferedResponse) release() {
	r.body = nil
	r.memory.Release()
}

// drop ends the attempt of a response that is not forwarded though the rest of it is still to be read.
func (r *bufferedResponse) drop() {
	if r.truncated {
		r.release()
		r.attempt.end(r.attempt.outcome(), false)
	}
}
