package fleet

import (
	"time"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/prefill"
)

// unbounded is the budget of requests that don't wait for others' prompts.
var unbounded prefill.Budget

// admits reports whether the request's budget admits an endpoint.
func (c *choice) admits(m *member, t scoreTerms, load float64, prefillTokens int) bool {
	if m.hasRoom(t, load, prefillTokens, c.now) {
		return true
	}
	c.overBudget = true
	return false
}

// hasRoom reports whether a request's budget admits an endpoint with a load.
func (m *member) hasRoom(t scoreTerms, load float64, prefillTokens int, now clock.Instant) bool {
	if !t.req.Budget.Bounded() {
		return true
	}
	slots := m.slots()
	engine := prefill.Engine{
		Unread:   scale(m.prefillWait(UrgencyLeast, now), m.pace()),
		Requests: load * float64(slots), Slots: slots,
	}
	return t.req.Budget.Admits(engine, scale(t.prefill.prefillTime(prefillTokens), m.pace()))
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }

// heldBack reports whether a request waits because no endpoint has room within its budget, or because
// others have waited longer for the room that there is.
func (f *Fleet) heldBack(p placement) bool {
	if !p.req.Budget.Bounded() || !p.overBudget || p.req.Remaining == 0 || p.req.MayHaveStarted {
		return false
	}
	ahead, _ := f.waitingListOf(p.req.Service).Ahead(p.req.Turn, p.order(), p.now.Add(-p.req.Waited), p.now)
	return p.member == nil || ahead >= p.withRoom
}

// roomTaken reports whether requests wait for all the room that a request's budget leaves.
func (f *Fleet) roomTaken(c choice, req Request) bool {
	if !req.Budget.Bounded() {
		return false
	}
	ahead, _ := f.waitingListOf(req.Service).Ahead(0, req.orderFor(req.Urgency), c.now, c.now)
	return ahead > 0 && ahead >= c.withRoom
}

// holdBack decides on a request for which no endpoint has room within its budget: it waits, is refused, or
// is sent in any case before its time is over.
func (f *Fleet) holdBack(p placement, choose func(Request) choice) placement {
	req := p.req
	req.Budget = unbounded
	p.choice = choose(req)
	if p.member == nil {
		return f.orPaused(p)
	}
	p.expected = f.expect(p.choice, req)
	p.decision = f.decideLate(p, admission.Forecast{Head: p.expected.Head, Waiting: req.Turn != 0, Slack: req.Slack, Left: req.Remaining, Held: true})
	return p
}
