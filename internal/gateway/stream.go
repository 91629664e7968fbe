package gateway

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/upgrade"
)

// serveStream serves a request whose answer is a stream of events. A stream that
// breaks goes on at another endpoint inside the same answer, if it may.
func (x *exchange) serveStream() {
	s := &stream{x: x, last: x.ask.LastEvent}
	for {
		err := s.attempt()
		if err == nil {
			x.outcome = "streamed"
			x.g.spans.add(x.route.Name, (clock.Since(x.start) - x.first).Seconds())
			return
		}
		if errors.Is(err, errEscalate) || (s.mayResume() && x.again(err)) {
			continue
		}
		s.giveUp(err)
		return
	}
}

// errEscalate means that the answer was dropped for a larger model's.
var errEscalate = errors.New("a larger model is asked")

// stream is the answer that the caller has got so far.
type stream struct {
	x       *exchange
	begun   bool   // the caller has the head
	last    string // id of the last event that the caller has
	failure *wholeAnswer
}

// mayResume reports whether another attempt can go on where the answer is.
func (s *stream) mayResume() bool { return !s.begun || s.x.route.Resumable }

// attempt sends the request once and relays its events.
func (s *stream) attempt() error {
	x := s.x
	a, err := x.send(x.ctx, x.model, s.last)
	if err != nil {
		return err
	}
	if a.answer.StatusCode != http.StatusOK {
		return s.notStream(a)
	}
	if !a.sound() {
		a.fail()
		return errUnsound
	}
	a.report(upgrade.Answered{})
	if s.escalates(a) {
		a.end(fleet.OutcomeGood, false)
		return errEscalate
	}
	s.begin(a)
	return s.relay(a)
}

// notStream handles an answer that is no stream.
func (s *stream) notStream(a *attempt) error {
	body, err := readShort(a.answer)
	if err != nil {
		a.broke(err)
		return err
	}
	if !a.sound() {
		a.fail()
		return errUnsound
	}
	failed := a.answer.StatusCode >= http.StatusInternalServerError
	a.report(upgrade.Answered{Failed: failed})
	answer := &wholeAnswer{attempt: a, body: body}
	if failed {
		a.end(fleet.OutcomeFailed, true)
		s.failure = answer
		return errors.Errorf("the endpoint answered %d", a.answer.StatusCode)
	}
	a.end(fleet.OutcomeGood, true)
	if s.begun {
		return errors.Errorf("the endpoint answered %d", a.answer.StatusCode)
	}
	s.x.relayWhole(answer)
	return nil
}

// begin sends the caller the head of the first answer.
func (s *stream) begin(a *attempt) {
	if s.begun {
		return
	}
	s.begun = true
	s.x.first = clock.Since(s.x.start)
	h := s.x.w.Header()
	for name, values := range s.x.g.Codec.Back(a.answer.Header) {
		h[name] = values
	}
	s.x.w.WriteHeader(http.StatusOK)
}

// relay passes events on as they come, whole ones only.
func (s *stream) relay(a *attempt) error {
	x := s.x
	out := http.NewResponseController(x.w)
	events := newEventReader(a.answer.Body, s.last)
	times := &pauses{}
	defer func() {
		x.pause, x.shortest = max(x.pause, times.longest), times.shortest
		a.tellPace(times, true)
	}()
	for {
		a.limitSilence()
		chunk, err := events.next()
		if len(chunk.data) > 0 {
			now := clock.Now()
			times.add(now, chunk.events)
			a.going.DataArrived(now)
			a.tellPace(times, false)
			if _, writeErr := x.w.Write(chunk.data); writeErr != nil {
				a.end(fleet.OutcomeNeutral, false)
				return errors.WithMessage(writeErr, "caller left")
			}
			if flushErr := out.Flush(); flushErr != nil {
				a.end(fleet.OutcomeNeutral, false)
				return errors.WithMessage(flushErr, "caller left")
			}
			x.events += chunk.events
			s.last = chunk.last
		}
		switch {
		case errors.Is(err, errStreamEnd):
			a.end(fleet.OutcomeGood, true)
			return nil
		case err != nil:
			a.broke(err)
			return err
		}
	}
}

// silentPart of the time after which callers leave a silent stream is how long one is
// waited for that may go on elsewhere: engines lose answers and leave the connection open.
// Those that read long prompts beside it pause for seconds.
const silentPart = 0.375

// limitSilence bounds the wait for a stream's next event if it may go on elsewhere.
func (a *attempt) limitSilence() {
	x := a.x
	if !x.route.Resumable || x.sends >= x.route.Attempts {
		return
	}
	a.conn.SetReadDeadline(clock.Now().Add(time.Duration(silentPart * float64(x.leaves()))).Time())
	if x.ctx.Err() != nil {
		a.conn.Interrupt()
	}
}

// giveUp ends a stream that can't go on.
func (s *stream) giveUp(err error) {
	x := s.x
	if !s.begun {
		x.giveUp(s.failure, err)
		return
	}
	if x.gone() {
		x.abandon("caller left")
	}
	x.cut(err.Error())
}
