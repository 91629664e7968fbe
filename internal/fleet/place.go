package fleet

import (
	"time"

	"quaybarrow/internal/admission"
)

// Place decides on a request, chooses an endpoint for it and holds a slot there. The hold is nil if
// the request waits or is refused, or if no endpoint may be used.
func (f *Fleet) Place(req Request) (*Hold, admission.Decision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.place(req)
	if !p.sent() {
		return nil, p.decision
	}
	loanUntil := f.recordSend(p.member, p.req, p.now)
	h := f.hold(p.member, p.expected, p.req, p.now)
	h.loanUntil = loanUntil
	return h, p.decision
}

// placement is a request with its endpoint and the decision on it.
type placement struct {
	choice
	req      Request // with the urgency with which it is sent
	urgency  int     // of the request itself
	expected Expectation
	decision admission.Decision
	granted  bool // it has been recorded as sent in the order of the waiting list
}

// sent reports whether the request is sent.
func (p placement) sent() bool {
	switch p.decision.(type) {
	case admission.Wait, admission.Refuse, admission.Paused:
		return false
	default:
		return p.member != nil
	}
}

// orPaused refuses a request for which there is no endpoint only because some want a pause.
func (f *Fleet) orPaused(p placement) placement {
	pause := p.paused()
	if _, undecided := p.decision.(admission.Send); !undecided || pause == 0 {
		return p
	}
	if p.req.Turn != 0 {
		f.waitingListOf(p.req.Service).Remove(p.req.Turn)
	}
	p.decision = admission.Paused{For: pause}
	return p
}

// PausedFor returns the time until an endpoint may get the request; 0 if one may get it now, or if none
// wants a pause.
func (f *Fleet) PausedFor(req Request) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.notices) == 0 {
		return 0
	}
	c := f.choose(req)
	return c.paused()
}

// place decides on a request and finds the best endpoint for it; the caller holds mu. A request
// that is not likely to be in time is placed behind all others.
func (f *Fleet) place(req Request) placement {
	if !req.unadvised() {
		f.advisorTenure = f.advisorTenure.at(f.options.Now())
	}
	p := f.decideLimited(placement{choice: f.choose(req), req: req, urgency: req.Urgency, decision: admission.Send{}})
	f.borrowForSkipped(p.choice)
	return f.decide(p, f.choose)
}

// decide decides on a request for which the best endpoint is known; choose finds the best one to place it
// behind all others. The caller holds mu.
func (f *Fleet) decide(p placement, choose func(Request) choice) placement {
	req := p.req
	if f.heldBack(p) {
		return f.holdBack(p, choose)
	}
	if p.member == nil {
		return f.orPaused(p)
	}
	p.expected = f.expect(p.choice, req)
	if req.Remaining == 0 {
		if req.Turn != 0 {
			f.waitingListOf(req.Service).Remove(req.Turn)
		}
		return p
	}
	o := admission.Forecast{InTime: p.expected.InTime(req.Slack), Head: p.expected.Head, Waiting: req.Turn != 0, Left: req.Remaining}
	if _, ok := admission.Decide(o).(admission.Send); ok {
		switch {
		case req.Budget.Bounded() && !p.granted:
			f.waitingListOf(req.Service).Granted(req.Turn, p.now)
		case req.Turn != 0:
			f.waitingListOf(req.Service).Remove(req.Turn)
		}
		return p
	}
	p.decision = admission.Behind{}
	p.req.Urgency = UrgencyLeast
	p.choice = choose(p.req)
	if p.member == nil {
		// An upgrade allows versions by chance, and time has gone on, so the second look may find none.
		return f.orPaused(placement{choice: p.choice, req: req, urgency: p.urgency, decision: admission.Send{}})
	}
	p.expected = f.expect(p.choice, p.req)
	if !req.MayHaveStarted {
		p.decision = f.decideLate(p, o)
	}
	return p
}

// decideLate decides on a request that is not likely to be in time.
func (f *Fleet) decideLate(p placement, o admission.Forecast) admission.Decision {
	waiting := f.waitingListOf(p.req.Service)
	sentAt, order := p.now.Add(-p.req.Waited), p.order()
	o.ServedBehind, o.QueueWait, o.FreeSlots = p.expected.InTime(o.Left), p.expected.Queue, p.freeSlots
	o.Ahead, o.TurnWait = waiting.Ahead(p.req.Turn, order, sentAt, p.now)
	switch d := admission.Decide(o).(type) {
	case admission.Wait:
		enter := waiting.Wait
		if o.Held {
			enter = waiting.WaitHeld
		}
		d.Turn = enter(p.req.Turn, order, sentAt, p.now, d.For)
		if d.Turn == 0 {
			return admission.Refuse{}
		}
		return d
	case admission.Behind:
		waiting.Granted(p.req.Turn, p.now)
		return d
	default:
		waiting.Remove(p.req.Turn)
		return d
	}
}

// order returns the order of the request among those that wait. Its urgency may have been lowered since.
func (p placement) order() int { return p.req.orderFor(p.urgency) }

// waitingListOf returns the list of the requests that wait for a service.
func (f *Fleet) waitingListOf(service string) *admission.WaitingList {
	list, ok := f.waitingLists[service]
	if !ok {
		list = &admission.WaitingList{}
		f.waitingLists[service] = list
	}
	return list
}
