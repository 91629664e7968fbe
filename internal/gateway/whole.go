package gateway

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/route"
	"quaybarrow/internal/upgrade"
)

// Bounds of answers that are relayed whole.
const (
	// wholeBytes of an answer are held back until it is whole, so that a broken
	// one can be asked for again.
	wholeBytes = 256 << 10
	// retryPause lets an endpoint that is full, or an entry that is late, catch
	// up before the request is offered again.
	retryPause = 25 * time.Millisecond
	// earlyPart of the objective is how long a request that no endpoint takes is
	// offered again before the caller is told to come back.
	earlyPart = 0.2
	// comeBack is when a caller may try again; full endpoints have room again
	// after a few requests' time.
	comeBack = 400 * time.Millisecond
)

// awayComeBack is when a caller may try again while all data halls are evacuated, which
// lasts for seconds; callers wait for a third of their time at most.
const awayComeBack = 2 * time.Second

// wholeAnswer is an answer, or its beginning if it is long.
type wholeAnswer struct {
	attempt *attempt
	body    []byte
	rest    bool // more is to be read
}

// serveWhole serves a request whose answer is one body.
func (x *exchange) serveWhole() {
	var failure *wholeAnswer // the endpoint's own, to be passed on if nothing better comes
	for {
		answer, err := x.wholeAttempt()
		if err == nil && answer.attempt.answer.StatusCode < http.StatusInternalServerError {
			x.relayWhole(answer)
			return
		}
		if err == nil {
			failure = answer
			err = errors.Errorf("the endpoint answered %d", answer.attempt.answer.StatusCode)
		}
		if !x.again(err) {
			x.giveUp(failure, err)
			return
		}
	}
}

// wholeAttempt sends the request once and reads the answer.
func (x *exchange) wholeAttempt() (*wholeAnswer, error) {
	a, err := x.send(x.ctx, x.model, "")
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(a.answer.Body, wholeBytes))
	if err != nil {
		a.broke(err)
		return nil, errors.WithMessage(err, "the answer broke off")
	}
	if !a.sound() {
		a.fail()
		return nil, errUnsound
	}
	answer := &wholeAnswer{attempt: a, body: body, rest: len(body) == wholeBytes}
	failed := a.answer.StatusCode >= http.StatusInternalServerError
	a.report(upgrade.Answered{Failed: failed})
	if !failed {
		a.paced(upgrade.Whole(clock.Since(a.sentAt)))
	}
	if answer.rest {
		return answer, nil
	}
	outcome := fleet.OutcomeGood
	if failed {
		outcome = fleet.OutcomeFailed
	}
	a.end(outcome, true)
	return answer, nil
}

// again reports whether the request may be sent once more after an error, and
// waits where that helps.
func (x *exchange) again(err error) bool {
	if x.gone() {
		return false
	}
	may, reason := x.mayRepeat(err)
	x.g.Logger.Info("attempt failed", "id", x.ask.ID, "endpoint", x.endpoint, "model", x.model, "sends", x.sends,
		"attempts", x.route.Attempts, "left_ms", x.left().Milliseconds(), "error", err, "again", may, "reason", reason)
	return may
}

// mayRepeat decides whether the request is sent once more, and tells why.
func (x *exchange) mayRepeat(err error) (may bool, reason string) {
	switch {
	case clock.Expired(x.ctx):
		return false, "time is over"
	case errors.Is(err, errRefused), errors.Is(err, errLimited):
		return false, "refused"
	case errors.Is(err, errAway):
		return false, "nobody runs it"
	case errors.Is(err, errQuarantined):
		return false, "endpoints crash under it"
	case errors.Is(err, errNoEndpoint):
		return x.wait(), "no endpoint took it"
	case x.mayRun && !x.route.Repeatable():
		return false, "it may have run, and may run once only"
	case x.sends >= max(x.route.Attempts, 1):
		return false, "no attempts left"
	case x.crashes > 0 && !x.standing().Repeats(x.crashes):
		return false, "endpoints crashed under it"
	case !x.g.budgets.Repeat(x.service, 1):
		return false, "the retry budget is spent"
	default:
		return true, "may be repeated"
	}
}

// wait pauses while no endpoint takes the request; false once the caller is
// better told to come back. Endpoints that the request has been to are tried
// again if it did not run there.
func (x *exchange) wait() bool {
	until := x.start.Add(time.Duration(earlyPart * float64(x.route.Objective)))
	if x.mayRun || x.sends >= max(x.route.Attempts, 1) || clock.Now().Add(retryPause).After(until) {
		return false
	}
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-x.ctx.Done():
		return false
	case <-timer.C:
	}
	x.tried = nil
	return true
}

// relayWhole answers the caller with an endpoint's answer.
func (x *exchange) relayWhole(answer *wholeAnswer) {
	a := answer.attempt
	h := x.w.Header()
	for name, values := range x.g.Codec.Back(a.answer.Header) {
		h[name] = values
	}
	if !answer.rest {
		h.Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	x.w.WriteHeader(a.answer.StatusCode)
	x.outcome = "answered " + strconv.Itoa(a.answer.StatusCode)
	if _, err := x.w.Write(answer.body); err != nil {
		x.outcome = "caller left during the answer"
		a.end(fleet.OutcomeNeutral, false)
		return
	}
	if !answer.rest {
		return
	}
	if _, err := io.Copy(x.w, a.answer.Body); err != nil {
		a.broke(err)
		x.cut("the answer broke off")
	}
	a.end(fleet.OutcomeGood, true)
}

// cut ends the caller's connection, so that a part does not look whole.
func (x *exchange) cut(reason string) { x.abandon("cut: " + reason) }

// abandon ends the caller's connection without another byte. A handler that returns
// without an answer has the library send an empty one with status 200, or end a stream
// cleanly, and a caller that has closed only its sending half reads it.
func (x *exchange) abandon(outcome string) {
	x.outcome = outcome
	panic(http.ErrAbortHandler)
}

// giveUp answers a request that no endpoint has answered well.
func (x *exchange) giveUp(failure *wholeAnswer, err error) {
	switch {
	case x.gone():
		x.abandon("caller left")
	case failure != nil:
		x.relayWhole(failure)
	default:
		x.refuse(x.verdict(err))
	}
}

// comeBack is when the caller of a request that no endpoint has run, for a reason, should
// come back.
// Other hosts than one that stops take it at once; engines are full for as long as a load
// lasts; other endpoints have room again after a few requests' time.
func (x *exchange) comeBack(reason error) time.Duration {
	switch {
	case errors.Is(reason, errAway):
		return awayComeBack
	case errors.Is(reason, errQuarantined):
		return 0
	case errors.Is(reason, errLimited):
		return admission.ComeBackAfter(x.room, x.left(), rand.Float64())
	}
	full := errors.Is(reason, errRefused) || errors.Is(reason, errRejected)
	if full && x.affinity(x.model) != 0 && !x.g.draining.Load() {
		return admission.ComeBack(x.left(), rand.Float64())
	}
	return comeBack
}

// verdict is what a caller is told after the last error. Only where no endpoint
// can have run the request is it told that it did not run.
func (x *exchange) verdict(err error) refusal {
	late := clock.Expired(x.ctx)
	reason := "no answer"
	if err != nil {
		reason = err.Error()
	}
	switch {
	case !x.mayRun:
		return refusal{status: http.StatusServiceUnavailable, reason: reason, after: x.comeBack(err)}
	case late:
		return refusal{status: http.StatusGatewayTimeout, reason: "time is over: " + reason}
	case x.route.Kind == route.KindOnce:
		return refusal{status: http.StatusBadGateway, reason: "unknown whether it ran: " + reason}
	default:
		return refusal{status: http.StatusBadGateway, reason: reason}
	}
}
