package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/bound"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/upgrade"
)

// serveStream serves a request whose response is a stream of events. A stream that breaks off
// continues at another endpoint within the same response, if the route allows it.
func (x *exchange) serveStream() {
	s := &stream{x: x, lastEventID: x.header.LastEventID}
	for {
		err := s.tryOnce()
		if err == nil {
			x.outcome = "streamed"
			x.g.streamSpans.add(x.route.Name, (clock.Since(x.start) - x.headerDelay).Seconds())
			return
		}
		if errors.Is(err, errEscalate) || (s.mayResume() && x.mayRetry(err)) {
			continue
		}
		s.giveUp(err)
		return
	}
}

// errEscalate means that the response was dropped in favor of a larger model's.
var errEscalate = errors.New("a larger model is asked")

// stream is the response that the caller has got so far.
type stream struct {
	x           *exchange
	headerSent  bool   // the caller has the response header
	lastEventID string // ID of the last event that the caller has
	failure     *bufferedResponse
}

// mayResume reports whether another attempt can continue the response.
func (s *stream) mayResume() bool { return !s.headerSent || s.x.route.Resumable }

// tryOnce sends the request once and relays its events.
func (s *stream) tryOnce() error {
	x := s.x
	a, err := x.send(x.ctx, x.model, s.lastEventID)
	if err != nil {
		return err
	}
	if a.response.StatusCode != http.StatusOK {
		return s.handleNonStream(a)
	}
	if !a.fromEndpoint() {
		a.endFailed(errNotFromEndpoint)
		return errNotFromEndpoint
	}
	a.reportFinding(upgrade.Answered{})
	if s.tryEscalate(a) {
		a.end(fleet.OutcomeGood, false)
		return errEscalate
	}
	s.sendHeader(a)
	return s.relay(a)
}

// handleNonStream handles a response that is not a stream.
func (s *stream) handleNonStream(a *attempt) error {
	resp, err := a.readHeldBack()
	if err == nil {
		err = a.checkEnd()
	}
	if err != nil {
		a.endBroken(err)
		return err
	}
	if !a.fromEndpoint() {
		a.endFailed(errNotFromEndpoint)
		return errNotFromEndpoint
	}
	outcome := a.outcome()
	a.reportAnswer(outcome)
	if !resp.truncated {
		a.end(outcome, true)
	}
	if a.response.StatusCode < http.StatusInternalServerError && !s.headerSent {
		s.x.relayBuffered(resp)
		return nil
	}
	resp.drop()
	if a.response.StatusCode >= http.StatusInternalServerError && !resp.truncated {
		s.failure = resp
	}
	return fmt.Errorf("%w: status %d", errFailedAnswer, a.response.StatusCode)
}

// sendHeader sends the caller the header of the first response.
func (s *stream) sendHeader(a *attempt) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.x.headerDelay = clock.Since(s.x.start)
	h := s.x.w.Header()
	for name, values := range s.x.g.Codec.CallerHeader(a.response.Header) {
		h[name] = values
	}
	s.x.w.WriteHeader(http.StatusOK)
}

// relay forwards events as they arrive, complete ones only.
func (s *stream) relay(a *attempt) error {
	x := s.x
	out := http.NewResponseController(x.w)
	memory := x.g.ResponseMemory.NewHolder(bound.PlaceEvent, a.conn.Interrupt)
	events := newEventReader(a.response.Body, s.lastEventID, memory)
	defer events.release()
	a.conn.SetOnSilence(func() bool { return !memory.Ended() && a.awaitLonger() })
	removeBound := x.boundWrites()
	pauses := &eventPauses{}
	a.pauses = pauses
	defer func() {
		x.longestPause, x.shortestPause = max(x.longestPause, pauses.longest), pauses.shortest
		a.reportPaceOnce(pauses, true)
	}()
	for {
		a.boundSilence()
		if memory.Ended() {
			a.conn.Interrupt() // boundSilence may have set another deadline
		}
		chunk, err := events.next()
		if len(chunk.data) > 0 {
			now := clock.Now()
			pauses.add(now, chunk.events)
			a.ongoingRun.DataArrived(now)
			a.reportPaceOnce(pauses, false)
			if _, writeErr := x.w.Write(chunk.data); writeErr != nil {
				a.end(fleet.OutcomeNeutral, false)
				return errors.WithMessage(writeErr, "caller left")
			}
			if flushErr := out.Flush(); flushErr != nil {
				a.end(fleet.OutcomeNeutral, false)
				return errors.WithMessage(flushErr, "caller left")
			}
			x.events += chunk.events
			s.lastEventID = chunk.lastID
		}
		switch {
		case errors.Is(err, errStreamEnd):
			if err := s.checkEnd(a); err != nil {
				a.endBroken(err)
				return err
			}
			events.release()
			a.end(fleet.OutcomeGood, !memory.Ended())
			removeBound()
			return nil
		case err != nil:
			a.endBroken(err)
			return err
		}
	}
}

// checkEnd returns an error if a stream that ended between two events may have ended before its time. One
// that is resumed may have no more events.
func (s *stream) checkEnd(a *attempt) error {
	if !a.endsItself() && s.x.events == 0 && s.lastEventID == "" {
		return errNoEvent
	}
	return a.checkEnd()
}

// silenceFraction of the time after which callers disconnect from a silent stream is how long to
// wait for an event of a stream that may continue at another endpoint: engines lose responses and
// leave the connection open. Engines that process long prompts at the same time pause for seconds.
const silenceFraction = 0.375

// boundSilence bounds the wait for a stream's next event if the stream may continue at another
// endpoint.
func (a *attempt) boundSilence() {
	x := a.x
	if !x.route.Resumable || x.sends >= x.route.Attempts || x.g.draining.Load() {
		return
	}
	a.conn.SetReadDeadline(clock.Now().Add(time.Duration(silenceFraction * float64(x.callerSilenceLimit()))).Time())
	if x.ctx.Err() != nil {
		a.conn.Interrupt()
	}
}

// awaitLonger reports whether a silent stream is waited for after all, and removes the bound on the wait. A
// draining host gains nothing by giving it up: if no other endpoint takes it, it is cut, though its own may go
// on; and a stream that is cut at the end of the grace continues at another host.
func (a *attempt) awaitLonger() bool {
	if !a.x.g.draining.Load() || a.x.ctx.Err() != nil {
		return false
	}
	a.clearReadDeadline(a.x.ctx)
	return true
}

// giveUp ends a stream that can't continue.
func (s *stream) giveUp(err error) {
	x := s.x
	if !s.headerSent {
		x.giveUp(s.failure, err)
		return
	}
	if x.callerGone() {
		x.abort("caller left")
	}
	x.abortPartial(causeOf(x.ctx, err))
}
