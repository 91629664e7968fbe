package fleet

import "quaybarrow/internal/admission"

// Place decides on a request, chooses an endpoint for it and holds a place there; nil if
// it is refused or none may be used.
func (f *Fleet) Place(ask Request) (*Hold, admission.Decision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.place(ask)
	if !p.goes() {
		return nil, p.decision
	}
	f.sends(p.member, p.ask, p.now)
	return f.hold(p.member, p.expected, p.ask, p.now), p.decision
}

// placement is a request with its endpoint, and what becomes of it.
type placement struct {
	choice
	ask      Request // with the urgency that it is sent with
	urgency  int     // its own
	expected Expectation
	decision admission.Decision
}

// goes reports whether the request is sent.
func (p placement) goes() bool {
	switch p.decision.(type) {
	case admission.Wait, admission.Refuse:
		return false
	default:
		return p.member != nil
	}
}

// place decides on a request and finds the endpoint that is best for it; the caller holds
// mu. One that is not likely to be in time is placed as one behind all others.
func (f *Fleet) place(ask Request) placement {
	if !ask.unadvised() {
		f.advises = f.advises.at(f.options.Now())
	}
	p := f.ration(placement{choice: f.choose(ask), ask: ask, urgency: ask.Urgency, decision: admission.Send{}})
	f.borrow(p.choice)
	if p.member == nil {
		return p
	}
	p.expected = f.expect(p.choice, ask)
	if ask.Remaining == 0 {
		if ask.Turn != 0 {
			f.turnsOf(ask.Service).Leave(ask.Turn)
		}
		return p
	}
	o := admission.Outlook{InTime: p.expected.InTime(ask.Slack), Head: p.expected.Head, Waits: ask.Turn != 0, Left: ask.Remaining}
	if _, ok := admission.Order(o).(admission.Send); ok {
		if ask.Turn != 0 {
			f.turnsOf(ask.Service).Leave(ask.Turn)
		}
		return p
	}
	p.decision = admission.Behind{}
	p.ask.Urgency = UrgencyLeast
	p.choice = f.choose(p.ask)
	p.expected = f.expect(p.choice, p.ask)
	if !ask.MayHaveStarted {
		p.decision = f.order(p, o)
	}
	return p
}

// order decides on a request that is not likely in time.
func (f *Fleet) order(p placement, o admission.Outlook) admission.Decision {
	turns := f.turnsOf(p.ask.Service)
	asked, urgency := p.now.Add(-p.ask.Waited), rank(p.urgency)
	o.Served, o.Queue, o.Room = p.expected.InTime(o.Left), p.expected.Queue, p.room
	o.Ahead, o.Turn = turns.Ahead(p.ask.Turn, urgency, asked, p.now)
	switch d := admission.Order(o).(type) {
	case admission.Wait:
		d.Turn = turns.Wait(p.ask.Turn, urgency, asked, p.now, d.For)
		if d.Turn == 0 {
			return admission.Refuse{}
		}
		return d
	case admission.Behind:
		turns.Granted(p.ask.Turn, p.now)
		return d
	default:
		turns.Leave(p.ask.Turn)
		return d
	}
}

// turnsOf returns the requests that wait for a service.
func (f *Fleet) turnsOf(service string) *admission.Turns {
	t, ok := f.turns[service]
	if !ok {
		t = &admission.Turns{}
		f.turns[service] = t
	}
	return t
}
