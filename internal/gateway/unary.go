package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/bound"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/route"
	"quaybarrow/internal/upgrade"
)

// Bounds of buffered responses and retries.
const (
	// maxBufferedBytes of a response are held back until it is complete, so that a broken one can
	// be requested again.
	maxBufferedBytes = 256 << 10
	// retryPause lets an endpoint that is full, or an entry that is late, catch up before the
	// request is tried again.
	retryPause = 25 * time.Millisecond
	// noEndpointWaitFraction of the objective is how long a request that no endpoint takes is tried
	// again before the caller is told to retry.
	noEndpointWaitFraction = 0.2
	// defaultRetryAfter is when a caller may retry; full endpoints have room again after the
	// duration of a few requests.
	defaultRetryAfter = 400 * time.Millisecond
)

// maxPauseWait is how long after its arrival a request may still wait because all endpoints want a pause.
const maxPauseWait = 200 * time.Millisecond

// evacuatedRetryAfter is when a caller may retry while all data halls are evacuated, which lasts
// for seconds; callers wait for a third of their time at most.
const evacuatedRetryAfter = 2 * time.Second

// leavingRetryAfter is when callers may retry if all endpoints of a service leave: those that replace
// them are listed within seconds.
const leavingRetryAfter = time.Second

// bufferedResponse is a response, or the start of it if it is long.
type bufferedResponse struct {
	attempt   *attempt
	body      []byte
	memory    *bound.Holder // of the body while the rest is still to be read
	truncated bool          // the rest is still to be read
}

// serveUnary serves a request whose response is a single body.
func (x *exchange) serveUnary() {
	// failure is the endpoint's own, to be forwarded if nothing better arrives.
	var failure *bufferedResponse
	for {
		resp, err := x.unaryAttempt()
		if err == nil && resp.attempt.response.StatusCode < http.StatusInternalServerError {
			x.relayBuffered(resp)
			return
		}
		if err == nil {
			failure = resp
			err = fmt.Errorf("%w: status %d", errFailedAnswer, resp.attempt.response.StatusCode)
		}
		if !x.mayRetry(err) {
			x.giveUp(failure, err)
			return
		}
		if failure != nil && failure.truncated {
			// Its rest would keep the connection until the next attempt has ended.
			failure.drop()
			failure = nil
		}
	}
}

// unaryAttempt sends the request once and reads the response.
func (x *exchange) unaryAttempt() (*bufferedResponse, error) {
	a, err := x.send(x.ctx, x.model, "")
	if err != nil {
		return nil, err
	}
	resp, err := a.readHeldBack()
	if err == nil {
		err = a.checkEnd()
	}
	if err != nil {
		a.endBroken(err)
		return nil, err
	}
	if !a.fromEndpoint() {
		a.endFailed(errNotFromEndpoint)
		return nil, errNotFromEndpoint
	}
	outcome := a.outcome()
	a.reportAnswer(outcome)
	if outcome == fleet.OutcomeGood {
		a.reportPace(upgrade.ResponseTime(clock.Since(a.sentAt)))
	}
	if !resp.truncated {
		a.end(outcome, true)
	}
	return resp, nil
}

// mayRetry reports whether the request may be sent again after an error, and waits where that
// helps.
func (x *exchange) mayRetry(err error) bool {
	if x.callerGone() {
		return false
	}
	may, reason := x.retryDecision(err)
	x.g.Logger.Info("attempt failed", "id", x.header.ID, "endpoint", x.endpoint, "model", x.model, "sends", x.sends,
		"attempts", x.route.Attempts, "left_ms", x.timeLeft().Milliseconds(), "error", err, "again", may, "reason", reason)
	return may
}

// retryDecision decides whether the request is sent again, and returns the reason.
func (x *exchange) retryDecision(err error) (may bool, reason string) {
	switch {
	case x.g.serving.Err() != nil, errors.Is(err, errStopping):
		return false, "the host stops"
	case clock.Expired(x.ctx):
		return false, "time is over"
	case errors.Is(err, errNoCapacity), errors.Is(err, errAtLimits):
		return false, "refused"
	case errors.Is(err, errAllEvacuated), errors.Is(err, errAllLeaving):
		return false, "nobody runs it"
	case errors.Is(err, errAllPaused):
		return x.awaitPauseEnd(), "all endpoints want a pause"
	case errors.Is(err, errQuarantined):
		return false, "endpoints crash under it"
	case errors.Is(err, errNoEndpoint):
		return x.waitForEndpoint(), "no endpoint took it"
	case errors.Is(err, errHeld):
		return x.waitForEndpoint(), "a part of it is tested"
	case x.mayHaveRun && !x.route.Repeatable():
		return false, "it may have run, and may run once only"
	case x.sends >= max(x.route.Attempts, 1):
		return false, "no attempts left"
	case x.crashes > 0 && !x.quarantineStatus().HostMayRetry(x.crashes):
		return false, "endpoints crashed under it"
	case !x.g.retryBudgets.TakeRetry(x.service, 1):
		return false, "the retry budget is spent"
	default:
		return true, "may be repeated"
	}
}

// waitForEndpoint pauses while no endpoint takes the request. It returns false once it is better to
// tell the caller to retry. Endpoints that the request was sent to are tried again if it did not
// run there.
func (x *exchange) waitForEndpoint() bool {
	return x.waitToTryAgain(retryPause)
}

// awaitPauseEnd waits until the first endpoint takes requests again. It returns false at once if that is
// too late.
func (x *exchange) awaitPauseEnd() bool {
	return clock.Since(x.start)+x.roomIn <= maxPauseWait && x.waitToTryAgain(x.roomIn)
}

// waitToTryAgain waits before a request that has not run is tried again. It returns false at once if
// the wait would take too much of the objective.
func (x *exchange) waitToTryAgain(wait time.Duration) bool {
	until := x.start.Add(time.Duration(noEndpointWaitFraction * float64(x.route.Objective)))
	if x.mayHaveRun || x.sends >= max(x.route.Attempts, 1) || clock.Now().Add(wait).After(until) {
		return false
	}
	if !clock.Sleep(x.ctx, wait) {
		return false
	}
	x.tried = nil
	return true
}

// relayBuffered sends an endpoint's response to the caller.
func (x *exchange) relayBuffered(resp *bufferedResponse) {
	a := resp.attempt
	h := x.w.Header()
	for name, values := range x.g.Codec.CallerHeader(a.response.Header) {
		h[name] = values
	}
	if !resp.truncated {
		h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	x.w.WriteHeader(a.response.StatusCode)
	x.outcome = "answered " + strconv.Itoa(a.response.StatusCode)
	if resp.truncated {
		x.passOn(resp)
		return
	}
	if _, err := x.w.Write(resp.body); err != nil {
		x.outcome = "caller left during the answer"
	}
}

// abortPartial closes the caller's connection, so that a partial response does not look complete.
func (x *exchange) abortPartial(reason string) { x.abort("cut: " + reason) }

// abort closes the caller's connection without another byte. If a handler returns without a
// response, net/http sends an empty one with status 200, or ends a stream cleanly, and a caller
// that has closed only its sending half reads it.
func (x *exchange) abort(outcome string) {
	x.outcome = outcome
	panic(http.ErrAbortHandler)
}

// giveUp responds to a request for which no endpoint gave a good response.
func (x *exchange) giveUp(failure *bufferedResponse, err error) {
	switch {
	case x.callerGone():
		if failure != nil {
			failure.drop()
		}
		x.abort("caller left")
	case failure != nil:
		x.relayBuffered(failure)
	default:
		x.refuse(x.finalRefusal(err))
	}
}

// retryAfter returns when the caller of a request that no endpoint has run, for the given reason,
// should retry. If this host is draining, other hosts take the request at once; engines are full
// for as long as a load lasts; other endpoints have room again after the duration of a few
// requests.
func (x *exchange) retryAfter(reason error) time.Duration {
	switch {
	case errors.Is(reason, errAllEvacuated):
		return evacuatedRetryAfter
	case errors.Is(reason, errAllLeaving):
		return admission.RetryDelayUntilRoom(leavingRetryAfter, x.timeLeft(), rand.Float64())
	case errors.Is(reason, errQuarantined):
		return 0
	case errors.Is(reason, errAtLimits), errors.Is(reason, errAllPaused):
		return admission.RetryDelayUntilRoom(x.roomIn, x.timeLeft(), rand.Float64())
	}
	if errors.Is(reason, errRejected) {
		if pause := x.g.Fleet.PausedFor(x.fleetRequest(x.model)); pause > 0 {
			return admission.RetryDelayUntilRoom(pause, x.timeLeft(), rand.Float64())
		}
	}
	full := errors.Is(reason, errNoCapacity) || errors.Is(reason, errRejected)
	if full && x.affinityKey(x.model) != 0 && !x.g.draining.Load() {
		return admission.RetryDelay(x.timeLeft(), rand.Float64())
	}
	return defaultRetryAfter
}

// finalRefusal returns the response to the caller after the last error. It says that the request
// did not run only where no endpoint can have run it.
func (x *exchange) finalRefusal(err error) refusal {
	late := clock.Expired(x.ctx)
	reason := causeOf(x.ctx, err)
	if x.g.serving.Err() != nil {
		late, reason = false, errStopping.Error()
	}
	switch {
	case !x.mayHaveRun:
		return refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: x.retryAfter(err)}
	case late:
		return refusal{status: http.StatusGatewayTimeout, reason: "time is over: " + reason}
	case x.route.Kind == route.KindOnce:
		return refusal{status: http.StatusBadGateway, reason: "unknown whether it ran: " + reason}
	default:
		return refusal{status: http.StatusBadGateway, reason: reason}
	}
}
