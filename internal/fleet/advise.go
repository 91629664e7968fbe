package fleet

import (
	"slices"
	"time"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
)

// Advice is an endpoint for an attempt, and what that is expected to take there.
type Advice struct {
	Endpoint string // its id
	Ticket   int64  // by which the adviser knows the attempt
	Expected Expectation
	// Decision is what becomes of the request. One that waits or is refused has no endpoint.
	Decision admission.Decision
	// LimitCounted tells that the adviser knows of the endpoint's limit, and has counted the request.
	LimitCounted bool
}

// advised is a request of another host at an endpoint.
type advised struct {
	ticket int64
	sentAt clock.Instant
	headAt clock.Instant // when the head was heard of; zero before
}

// PickAt holds a place at an endpoint that was advised; false if it may not be used.
// The adviser has seen what other hosts sent there, so its expectation is taken, and its
// word that there is room goes before a refusal that this host got a moment ago.
func (f *Fleet) PickAt(a Advice, req Request) (*Hold, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	m, ok := f.members[a.Endpoint]
	if !ok || m.Service != req.Service || !f.usable(m, req) || m.ejected(now) || !m.lapsesAt.IsZero() {
		return nil, false
	}
	if f.enforcesLimit(m) && m.limit.active() && !a.LimitCounted {
		return nil, false // the adviser has not heard of it
	}
	if _, behind := a.Decision.(admission.Behind); behind {
		req.Urgency = UrgencyLeast
	}
	h := f.hold(m, a.Expected, req, now)
	h.advice = a
	return h, true
}

// Advise chooses an endpoint for another host and counts the request and the reading
// of its prompt there; false if none may be used.
func (f *Fleet) Advise(req Request) (Advice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.place(req)
	if !p.sent() {
		if _, none := p.decision.(admission.Send); none {
			return Advice{}, false
		}
		return Advice{Decision: p.decision}, true
	}
	m := p.member
	f.recordSend(m, req, p.now)
	a := Advice{Endpoint: m.ID, Expected: p.expected, Decision: p.decision, LimitCounted: f.enforcesLimit(m) && m.limit.active()}
	f.notePrompt(m, req)
	a.Ticket = f.await(m, a.Expected, p.req.Urgency, p.now)
	m.advised = append(m.advised, advised{ticket: a.Ticket, sentAt: p.now})
	return a, true
}

// EndAdvised takes a request of another host out of the count at its endpoint.
func (f *Fleet) EndAdvised(a Advice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[a.Endpoint]
	if !ok {
		return
	}
	now := f.options.Now()
	m.advised = slices.DeleteFunc(m.advised, func(r advised) bool {
		if r.ticket == a.Ticket && !r.headAt.IsZero() {
			f.recordSlotTime(m.Service, now.Sub(r.headAt))
		}
		return r.ticket == a.Ticket
	})
	m.stopAwaiting(a.Ticket)
}

// maxAdvisedAge is how long a request of another host counts if its end is not told;
// nearly all have ended by then.
const maxAdvisedAge = 8 * time.Second

// remote counts the requests that other hosts were advised to send here.
func (m *member) remote(now clock.Instant) int {
	for len(m.advised) > 0 && now.Sub(m.advised[0].sentAt) > maxAdvisedAge {
		m.advised = m.advised[1:]
	}
	return len(m.advised)
}

// Tally counts how attempts at an endpoint have gone; an immutable value.
type Tally struct{ Good, Failed, Lost int32 }

// With returns the tally after an attempt. Refusals and what was not the endpoint's
// doing do not count.
func (t Tally) With(o Outcome) Tally {
	switch o {
	case OutcomeGood:
		t.Good++
	case OutcomeFailed:
		t.Failed++
	case OutcomeLost:
		t.Lost++
	case OutcomeNeutral, OutcomeRefused:
	}
	return t
}

// Bounds of what hosts tell each other of endpoints.
const (
	// maxTallied of a host's good results count at a time; more say nothing new.
	maxTallied = 5
	// peerEjection is how long an endpoint is left alone that fails other hosts; who
	// goes on asking hears of it again several times a second.
	peerEjection = time.Second
	// minToldEjection is the rest of an ejection that is worth telling; shorter ones
	// are pauses of full endpoints.
	minToldEjection = 200 * time.Millisecond
	maxToldEjected  = 32 // endpoints in a reply
)

// AddTally takes in how another host's attempts at an endpoint have gone.
func (f *Fleet) AddTally(id string, t Tally) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return
	}
	now := f.options.Now()
	for range min(t.Good, maxTallied) {
		f.recordHealth(m, OutcomeGood, now)
	}
	for range min(t.Failed, maxTallied) {
		f.recordHealth(m, OutcomeFailed, now)
	}
	if t.Good > 0 {
		f.trackWarmUp(m, OutcomeGood, now)
	}
	for range min(t.Failed, maxTallied) {
		f.trackWarmUp(m, OutcomeFailed, now)
	}
	if t.Lost > 0 {
		f.trackWarmUp(m, OutcomeLost, now)
	}
	if t.Lost > 0 && !now.Before(m.health.ejectedUntil) {
		f.recordHealth(m, OutcomeLost, now)
	}
}

// Ejected lists endpoints that other hosts should leave alone.
func (f *Fleet) Ejected() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	var ids []string
	for id, m := range f.ejected {
		switch {
		case !now.Before(m.health.ejectedUntil):
			delete(f.ejected, id)
		case m.health.ejectedUntil.Sub(now) > minToldEjection && len(ids) < maxToldEjected:
			ids = append(ids, id)
		}
	}
	return ids
}

// recordHealth takes in how an attempt at an endpoint went, for its health.
func (f *Fleet) recordHealth(m *member, o Outcome, now clock.Instant) {
	m.health = m.health.with(o, now, f.options.MaxEjection)
	if now.Before(m.health.ejectedUntil) {
		f.ejected[m.ID] = m
	}
}

// ApplyEjections leaves endpoints alone that fail other hosts, for a moment and while others
// are there.
func (f *Fleet) ApplyEjections(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := f.options.Now().Add(peerEjection)
	for _, id := range ids {
		if m, ok := f.members[id]; ok {
			m.peerEjectedUntil = until
		}
	}
}

// OnOutcome has a function told of the outcome of each attempt; it is called before
// any attempt is made.
func (f *Fleet) OnOutcome(observe func(id string, o Outcome)) { f.onOutcome = observe }
