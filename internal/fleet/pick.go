package fleet

import (
	"math"
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

// Request is what an attempt needs.
type Request struct {
	Service      string
	Hall         string            // of the host that asks; empty stands for this host's
	Allowed      func(string) bool // versions it may run on; nil for any
	Avoid        []string          // ids of endpoints that it has been to
	Key          uint64            // requests with the same key share a prompt; 0 for none
	Model        string
	Tokens       int           // of the prompt
	SharedTokens int           // of them, those that other requests with the key have too
	Parts        []Part        // of the prompt, in order; nil where only the key is known
	CacheTokens  int           // tokens that an engine of the service keeps; 0 if not known
	Objective    time.Duration // by when the answer should begin
	Urgency      int           // at endpoints, the lowest first; -1 if not said
	// Slack is what is left until the answer should begin, and Remaining until the caller has
	// no use for it any more; 0 of both has the request sent in any case.
	Slack, Remaining time.Duration
	MayHaveStarted   bool          // it may run already: it may go behind, but does not wait and is not refused
	Waited           time.Duration // since its caller asked
	Turn             int64         // of those that wait; 0 for none
	Regions          []string      // whose endpoints may be used; nil for all
	// MaxLimitWait is how long it may wait for endpoints whose limits are used up; 0 for not at all.
	MaxLimitWait time.Duration
	// Unadvised tells that other hosts choose at the same time without knowing of it.
	Unadvised bool
}

// parts are the prompt's, or one that stands for all that is shared.
func (a Request) parts() []Part {
	if a.Parts != nil || a.Key == 0 {
		return a.Parts
	}
	return []Part{{ID: a.Key, Tokens: a.SharedTokens}}
}

// Hold is a place at an endpoint.
type Hold struct {
	// OnDone is called when the hold is done; nil if nobody minds.
	OnDone   func()
	Endpoint Endpoint
	fleet    *Fleet
	member   *member
	ask      Request
	Expected Expectation // as the hold was taken
	sent     clock.Instant
	idle     time.Duration // until the head of the answer, if the endpoint were idle
	took     time.Duration // until the head was there
	ticket   int64         // of the awaited head
	advice   Advice        // that was followed, if any
	begun    bool          // the head is there
}

// Head notes that the head of the answer is there, and the load that it tells.
func (h *Hold) Head(l Load) {
	if heard := h.fleet.heard; heard != nil && h.ask.Key != 0 {
		defer func() { heard(h.heard(l)) }()
	}
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.begun = true
	h.took = h.fleet.options.Now().Sub(h.sent)
	if h.ask.Key == 0 {
		h.fleet.echo(h.member, l, h.member.flying)
		return
	}
	h.member.begun(h.ticket)
	h.fleet.hear(h.member, h.heard(l))
}

// Urgency is that with which the request is sent.
func (h *Hold) Urgency() int { return h.ask.Urgency }

// heard is what the head of the answer told.
func (h *Hold) heard(l Load) HeadReport {
	return HeadReport{
		Endpoint: h.Endpoint.ID, Ticket: h.advice.Ticket, Service: h.ask.Service, Model: h.ask.Model, Load: l,
		Took: h.took, Expected: h.Expected.Head, Queue: h.Expected.Queue, Urgency: h.ask.Urgency, PrefillTokens: h.Expected.PrefillTokens, Exact: h.Expected.Exact,
	}
}

// Done ends the hold and notes what the attempt told.
func (h *Hold) Done(r Result) {
	if h.OnDone != nil {
		defer h.OnDone()
	}
	if h.fleet.observe != nil {
		defer h.fleet.observe(h.Endpoint.ID, r.Outcome)
	}
	if h.fleet.heard != nil && h.ask.Key != 0 && r.Outcome == OutcomeRefused {
		refused := h.heard(r.Load)
		refused.Refused = true
		defer h.fleet.heard(refused)
	}
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	now := h.fleet.options.Now()
	m := h.member
	m.forgo(h.ticket)
	switch {
	case h.ask.Key == 0:
	case h.begun:
		h.fleet.stayed(m.Service, now.Sub(h.sent)-h.took)
	default: // no head came: the wait was at least so long
		m.deals().waits[rank(h.ask.Urgency)] = observedWait{wait: max(0, now.Sub(h.sent)-h.idle), at: now}
	}
	m.flying--
	if r.Outcome == OutcomeRefused || r.Outcome == OutcomeLost {
		h.fleet.memory.forget(m, h.ask.parts())
	}
	h.fleet.judge(m, r.Outcome, now)
	h.fleet.met(m, r.Outcome, now)
	if r.Load.Slots > 0 {
		// The answered request itself may still be counted in what it says.
		h.fleet.echo(m, r.Load, m.flying+1)
	}
}

// load is the part of an endpoint's slots in use, as far as this host knows. What
// the endpoint said counts for less with age; in its place comes what this host's
// own count says of the hosts that it shares the endpoint with, and what other endpoints
// of the service said: the one of which nothing was heard would look like the emptiest.
func (m *member) load(now clock.Instant, sharers int) float64 {
	mine := m.flying + m.remote(now)
	trust := 0.0
	if age := now.Sub(m.saidAt); age < echoLife {
		trust = 1 - float64(age)/float64(echoLife)
	}
	usual := float64(m.flying * (sharers - 1))
	if m.crowd != nil {
		usual = max(usual, m.crowd.mean)
	}
	others := trust*float64(m.others) + (1-trust)*usual
	return (float64(mine) + others) / float64(m.slots())
}

// slots are how many requests an endpoint runs at once.
func (m *member) slots() int {
	if m.Slots <= 0 {
		return slotsUnsaid
	}
	return m.Slots
}

// free counts an endpoint's free slots at a load.
func (m *member) free(load float64) int { return max(0, int((1-load)*float64(m.slots()))) }

// sharers counts the hosts that send to an endpoint of a service.
func (f *Fleet) sharers(service string) int {
	if f.options.SendingHosts == nil {
		return 1
	}
	return max(1, f.options.SendingHosts(service))
}

// usable reports whether an endpoint may get the attempt at all.
func (f *Fleet) usable(m *member, ask Request) bool {
	if m.Draining || m.leaving || f.away(m) || (ask.Allowed != nil && !ask.Allowed(m.Version)) {
		return false
	}
	if ask.Regions != nil && !slices.Contains(ask.Regions, m.region) {
		return false
	}
	if m.models != nil && ask.Model != "" && !slices.Contains(m.models, ask.Model) {
		return false
	}
	for _, id := range ask.Avoid {
		if id == m.ID {
			return false
		}
	}
	return true
}

// Tiers of endpoints, by how sure it is that they answer.
const (
	tierWell = iota
	tierLapsed
	tierEjected
)

// ejected reports whether an endpoint has lately failed this host, or others.
func (m *member) ejected(now clock.Instant) bool {
	return now.Before(m.health.until) || now.Before(m.shunned)
}

func (m *member) tier(now clock.Instant) int {
	switch {
	case m.ejected(now), now.Before(m.health.full):
		return tierEjected
	case !m.lapsed.IsZero():
		return tierLapsed
	default:
		return tierWell
	}
}

// choice is the endpoint that is best for an attempt now.
type choice struct {
	member *member // nil if none may be used
	room   int     // slots of endpoints that are free
	unread int     // tokens of the prompt that it is expected to read
	score  float64 // its own
	limits limits  // of the endpoints that were weighed
	now    clock.Instant
}

// choose finds it; the caller holds mu.
func (f *Fleet) choose(ask Request) choice {
	c := choice{now: f.options.Now()}
	p, ok := f.byService[ask.Service]
	if !ok {
		return c
	}
	t := f.terms(ask, c.now)
	if len(p.all) <= weighAll {
		f.weigh(&c, p.all, t)
		return c
	}
	n := f.nominate(p, ask, t.near, c.now)
	f.weigh(&c, n.list[:n.n], t)
	if (c.member == nil && !c.limits.some) || (c.member != nil && c.member.tier(c.now) > tierWell) {
		// What may be used is rare, as one of a few endpoints of a version.
		c = choice{now: c.now}
		f.weigh(&c, p.all, t)
		return c
	}
	c.room = int(float64(c.room) * float64(len(p.all)) / float64(n.n))
	return c
}

// weigh finds the best of some endpoints.
func (f *Fleet) weigh(c *choice, list []*member, t terms) {
	best := math.Inf(1)
	for _, m := range list {
		if !f.usable(m, t.ask) || !m.warmth.takes(t.warming, t.ask, c.now) {
			continue
		}
		load, unread := m.load(c.now, t.sharers), t.unread(m)
		s := f.score(m, t, load, unread, c.now)
		if !f.limited(m) {
			c.limits.open = c.limits.open || !m.ejected(c.now)
		} else if !c.limits.takes(m, s, c.now) {
			continue
		}
		c.room += m.free(load)
		if s < best {
			c.member, c.unread, best = m, unread, s
		}
	}
	c.score = best
}

// Pick chooses an endpoint and holds a place there; false if none may be used.
func (f *Fleet) Pick(ask Request) (*Hold, bool) {
	ask.Remaining = 0
	h, _ := f.Place(ask)
	return h, h != nil
}

// Expect estimates what an attempt takes that is sent now; false if no endpoint takes
// it.
func (f *Fleet) Expect(ask Request) (Expectation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.choose(ask)
	if c.member == nil {
		return Expectation{}, false
	}
	return f.expect(c, ask), true
}

func (f *Fleet) expect(c choice, ask Request) Expectation {
	m, r := c.member, f.readingOf(ask.Service, ask.Model)
	queue := f.queue(m, ask.Urgency, m.load(c.now, f.sharers(ask.Service)), c.now)
	return Expectation{
		Head: queue + time.Duration(m.pace()*float64(r.head(c.unread))), Queue: queue, PrefillTime: r.tokens(c.unread), PrefillTokens: c.unread,
		Exact: c.unread <= ask.Tokens-ask.SharedTokens && f.memory.known(m) >= ask.SharedTokens, Price: f.prices[ask.Service].perSecond(), Overrun: f.overruns[ask.Service],
	}
}

// hold takes a place at an endpoint.
func (f *Fleet) hold(m *member, expected Expectation, ask Request, now clock.Instant) *Hold {
	h := &Hold{Endpoint: m.Endpoint, Expected: expected, fleet: f, member: m, ask: ask, sent: now}
	m.flying++
	if ask.Key == 0 {
		return h
	}
	h.idle = f.readingOf(ask.Service, ask.Model).head(expected.PrefillTokens)
	h.ticket = f.await(m, expected, ask.Urgency, now)
	f.note(m, ask)
	return h
}

// note takes in that a prompt is read at an endpoint.
func (f *Fleet) note(m *member, ask Request) {
	size := ask.CacheTokens
	if size == 0 {
		size = memoryUnsaid
	}
	f.memory.note(m, ask.parts(), int(memoryPart*float64(size)))
}

// home finds the endpoint that most likely has the shared part of a prompt in memory
// if other data halls have asked for it: the first by rendezvous; nil for requests
// without a prompt.
func (f *Fleet) home(ask Request, now clock.Instant) *member {
	if ask.Key == 0 {
		return nil
	}
	p := f.byService[ask.Service]
	if len(p.all) > weighAll {
		var n nominees
		f.nominateHomes(&n, p, ask, now)
		return n.list[0]
	}
	var home *member
	least := math.Inf(1)
	for _, m := range p.all {
		if !f.usable(m, ask) || m.tier(now) > tierWell {
			continue
		}
		if w := RendezvousWeight(ask.Key, m.seed); w < least {
			home, least = m, w
		}
	}
	return home
}
