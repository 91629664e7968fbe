package fleet

import (
	"slices"
	"time"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
)

// Advice is an endpoint for an attempt, with the estimate of the attempt there.
type Advice struct {
	Endpoint string // its ID
	Ticket   int64  // by which the advisor identifies the attempt
	Expected Expectation
	// Decision is what happens to the request. A request that waits or is refused has no endpoint.
	Decision admission.Decision
	// LimitCounted means that the advisor knows of the endpoint's limit and has counted the request
	// against it.
	LimitCounted bool
}

// advised is a request of another host at an endpoint.
type advised struct {
	ticket int64
	sentAt clock.Instant
	headAt clock.Instant // when its response head was reported; zero before
}

// PickAt holds a slot at an advised endpoint; false if the endpoint may not be used. The advisor
// has seen what other hosts sent there, so its estimate is used, and its advice that there is room
// overrides a refusal that this host got a moment ago.
func (f *Fleet) PickAt(a Advice, req Request) (*Hold, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	m, ok := f.members[a.Endpoint]
	if !ok || m.Service != req.Service || !f.allowed(m, req) || now.Before(m.noPlaceUntil) || m.ejected(now) || m.inSlowStart(req, now) || !m.lapsesAt.IsZero() {
		return nil, false
	}
	if f.enforcesLimit(m) && m.limit.active() && !a.LimitCounted {
		return nil, false // the advisor does not know of the limit
	}
	if _, behind := a.Decision.(admission.Behind); behind {
		req.Urgency = UrgencyLeast
	}
	h := f.hold(m, a.Expected, req, now)
	h.advice = a
	return h, true
}

// Advise chooses an endpoint for another host and counts the request and the prefill of its prompt
// there; false if none may be used.
func (f *Fleet) Advise(req Request) (Advice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	req.ForOther = true
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

// EndAdvised removes a request of another host from the count of its endpoint.
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

// maxAdvisedAge is how long a request of another host counts if its end is not reported; nearly all
// have ended by then.
const maxAdvisedAge = 8 * time.Second

// remote returns the number of requests that other hosts were advised to send to the endpoint.
func (m *member) remote(now clock.Instant) int {
	for len(m.advised) > 0 && now.Sub(m.advised[0].sentAt) > maxAdvisedAge {
		m.advised = m.advised[1:]
	}
	return len(m.advised)
}

// Tally counts the outcomes of attempts at an endpoint. It is immutable.
type Tally struct{ Good, Failed, Lost int32 }

// With returns the tally after an attempt. Refusals, and failures that the endpoint did not cause,
// are not counted.
func (t Tally) With(o Outcome) Tally {
	switch o {
	case OutcomeGood:
		t.Good++
	case OutcomeFailed:
		t.Failed++
	case OutcomeLost:
		t.Lost++
	case OutcomeNeutral, OutcomeRefused, OutcomeUnreached, OutcomeWayLost, OutcomeNotSent:
	}
	return t
}

// Bounds of what hosts tell each other about endpoints.
const (
	// maxTallied bounds the results of a tally that are applied at a time; more add no information.
	maxTallied = 5
	// peerEjection is how long an endpoint that fails other hosts is ejected; a host that keeps
	// asking for advice is told of it again several times a second.
	peerEjection = time.Second
	// minToldEjection is the shortest remaining ejection that is reported to other hosts; shorter
	// ones are pauses of full endpoints.
	minToldEjection = 200 * time.Millisecond
	maxToldEjected  = 32 // endpoints in a reply
)

// AddTally records the outcomes of another host's attempts at an endpoint.
func (f *Fleet) AddTally(id string, t Tally) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return
	}
	now := f.options.Now()
	for range min(t.Good, maxTallied) {
		f.recordHealth(m, OutcomeGood, EjectedByTally, now)
	}
	for range min(t.Failed, maxTallied) {
		f.recordHealth(m, OutcomeFailed, EjectedByTally, now)
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
		f.recordHealth(m, OutcomeLost, EjectedByTally, now)
	}
}

// Ejected lists endpoints that other hosts should not use.
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

// recordHealth records the outcome of an attempt in the health of an endpoint.
func (f *Fleet) recordHealth(m *member, o Outcome, s EjectionSource, now clock.Instant) {
	before := m.ejected(now)
	m.health = m.health.with(o, now, f.options.MaxEjection)
	f.noteEjected(m, before, s, o, m.health.ejectedUntil, now)
	if now.Before(m.health.ejectedUntil) {
		f.ejected[m.ID] = m
	}
}

// ApplyEjections ejects endpoints that fail other hosts for a short time. They are still used if no
// other endpoint is available.
func (f *Fleet) ApplyEjections(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	until := now.Add(peerEjection)
	for _, id := range ids {
		if m, ok := f.members[id]; ok {
			before := m.ejected(now)
			m.peerEjectedUntil = until
			f.noteEjected(m, before, EjectedByAdvisor, OutcomeNeutral, until, now)
		}
	}
}

// OnOutcome sets a function that is called with the outcome of each attempt. It must be set before
// any attempt is made.
func (f *Fleet) OnOutcome(observe func(id string, o Outcome)) { f.onOutcome = observe }
