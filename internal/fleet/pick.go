package fleet

import (
	"math"
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

// Hold is a slot held at an endpoint.
type Hold struct {
	// OnDone is called when the hold is done; it may be nil.
	OnDone      func()
	Endpoint    Endpoint
	fleet       *Fleet
	member      *member
	req         Request
	Expected    Expectation // estimate from when the hold was taken
	sent        clock.Instant
	idleHead    time.Duration // time until the response head at an idle endpoint
	untilHead   time.Duration // time until the response head
	ticket      int64         // of the awaited response head
	advice      Advice        // that was followed, if any
	headArrived bool          // the response head has arrived
	slowStart   bool          // it counts for the slow start after a pause
	loanUntil   clock.Instant // end of the loan from which it takes a request; zero if it takes none
}

// Head records that the response head has arrived, with the load it reports.
func (h *Hold) Head(l Load) {
	if observe := h.fleet.onHead; observe != nil && h.req.Key != 0 {
		defer func() { observe(h.headReport(l)) }()
	}
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.headArrived = true
	h.member.noteReport(l, h.fleet.options.Now())
	h.endSlowStart(true)
	h.untilHead = h.fleet.options.Now().Sub(h.sent)
	if h.req.Key == 0 {
		h.fleet.updateLoad(h.member, l, h.member.inFlight)
		return
	}
	h.member.answered(h.ticket)
	h.fleet.observeHead(h.member, h.headReport(l))
}

// Urgency returns the urgency with which the request is sent.
func (h *Hold) Urgency() int { return h.req.Urgency }

// headReport returns the report of the response head.
func (h *Hold) headReport(l Load) HeadReport {
	return HeadReport{
		Endpoint: h.Endpoint.ID, Ticket: h.advice.Ticket, Service: h.req.Service, Model: h.req.Model, Load: l,
		Took: h.untilHead, Expected: h.Expected.Head, Queue: h.Expected.Queue, Urgency: h.req.Urgency, PrefillTokens: h.Expected.PrefillTokens, Exact: h.Expected.Exact,
	}
}

// Done ends the hold and records the result of the attempt.
func (h *Hold) Done(r Result) {
	if h.OnDone != nil {
		defer h.OnDone()
	}
	if h.fleet.onOutcome != nil {
		defer h.fleet.onOutcome(h.Endpoint.ID, r.Outcome)
	}
	if h.fleet.onHead != nil && h.req.Key != 0 && r.Outcome == OutcomeRefused {
		refused := h.headReport(r.Load)
		refused.Refused = true
		defer h.fleet.onHead(refused)
	}
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	now := h.fleet.options.Now()
	m := h.member
	m.stopAwaiting(h.ticket)
	h.endSlowStart(false)
	switch {
	case h.req.Key == 0, r.Outcome == OutcomeUnreached, r.Outcome == OutcomeWayLost, r.Outcome == OutcomeNotSent:
	case h.headArrived:
		h.fleet.recordSlotTime(m.Service, now.Sub(h.sent)-h.untilHead)
	default: // no head arrived: the wait was at least this long
		m.ensureQueue().waits[rank(h.req.Urgency)] = observedWait{wait: max(0, now.Sub(h.sent)-h.idleHead), at: now}
	}
	m.inFlight--
	if r.Outcome == OutcomeUnreached {
		m.unreachedUntil = now.Add(unreachedPause)
	}
	if r.Outcome == OutcomeRefused || r.Outcome == OutcomeLost || r.Outcome == OutcomeNotSent {
		h.fleet.prefixes.forget(m, h.req.parts())
	}
	if !h.headArrived {
		m.noteReport(r.Load, now)
	}
	if r.Outcome == OutcomeNotSent {
		h.fleet.giveBackLoan(m, h.loanUntil, now)
	}
	h.fleet.recordHealth(m, r.Outcome, EjectedByAttempts, now)
	h.fleet.trackWarmUp(m, r.Outcome, now)
	if r.Load.Slots > 0 {
		// The load report may still count the answered request itself.
		h.fleet.updateLoad(m, r.Load, m.inFlight+1)
	}
}

// load returns the part of an endpoint's slots in use, as far as this host knows. A load report
// loses weight with age. It is replaced by an estimate from this host's own count for the hosts
// that share the endpoint, and from the load that other endpoints of the service report: without
// these an endpoint that has not reported lately would look like the emptiest one.
func (m *member) load(now clock.Instant, sendingHosts int) float64 {
	known := m.inFlight + m.remote(now)
	reportWeight := 0.0
	if age := now.Sub(m.loadAt); age < loadReportTTL {
		reportWeight = 1 - float64(age)/float64(loadReportTTL)
	}
	assumed := float64(m.inFlight * (sendingHosts - 1))
	if m.remoteLoad != nil {
		assumed = max(assumed, m.remoteLoad.mean)
	}
	others := reportWeight*float64(m.others) + (1-reportWeight)*assumed
	return (float64(known) + others) / float64(m.slots())
}

// slots returns how many requests an endpoint runs at the same time.
func (m *member) slots() int {
	if m.Slots <= 0 {
		return defaultSlots
	}
	return m.Slots
}

// free returns the number of free slots of an endpoint at a load.
func (m *member) free(load float64) int { return max(0, int((1-load)*float64(m.slots()))) }

// sendingHosts returns the number of hosts that send to an endpoint of a service.
func (f *Fleet) sendingHosts(service string) int {
	if f.options.SendingHosts == nil {
		return 1
	}
	return max(1, f.options.SendingHosts(service))
}

// usable reports whether an endpoint may get the attempt at all.
func (f *Fleet) usable(m *member, req Request) bool {
	return f.allowed(m, req) && !f.crowded(m, req, f.options.Now())
}

// allowed reports whether an endpoint may get the attempt if there is room.
func (f *Fleet) allowed(m *member, req Request) bool {
	return f.suits(m, req) && !slices.Contains(req.Avoid, m.ID) && !m.paused(req, f.options.Now())
}

// suits reports whether an endpoint may get the request, at this attempt or another.
func (f *Fleet) suits(m *member, req Request) bool {
	if m.draining() || f.inEvacuatedHall(m) || (req.Allowed != nil && !req.Allowed(m.Version)) {
		return false
	}
	if req.Regions != nil && !slices.Contains(req.Regions, m.region) {
		return false
	}
	return m.models == nil || req.Model == "" || slices.Contains(m.models, req.Model)
}

// Tiers of endpoints, by how likely they are to respond.
const (
	tierHealthy = iota
	tierLapsed
	tierSlowStart // after a pause, and it has enough requests for the moment
	tierEjected
)

// ejected reports whether this host avoids an endpoint.
func (m *member) ejected(now clock.Instant) bool {
	return m.failing(now) || now.Before(m.unreachedUntil)
}

// failing reports whether an endpoint has recently failed this host or other hosts.
func (m *member) failing(now clock.Instant) bool {
	return now.Before(m.health.ejectedUntil) || now.Before(m.peerEjectedUntil)
}

// tier returns the tier of an endpoint for this host.
func (m *member) tier(now clock.Instant) int { return m.tierFor(Request{}, now) }

// tierFor returns the tier of an endpoint for a request. That only this host can't reach the endpoint
// does not matter to a host that it advises.
func (m *member) tierFor(req Request, now clock.Instant) int {
	switch {
	case m.failing(now), now.Before(m.health.fullUntil), !req.ForOther && now.Before(m.unreachedUntil):
		return tierEjected
	case m.inSlowStart(req, now):
		return tierSlowStart
	case !m.lapsesAt.IsZero():
		return tierLapsed
	default:
		return tierHealthy
	}
}

// choice is the best endpoint for an attempt at a time.
type choice struct {
	member        *member       // nil if none may be used
	freeSlots     int           // of the endpoints that were scored
	prefillTokens int           // tokens of the prompt that the endpoint is expected to prefill
	score         float64       // of member
	limits        limitScan     // of the endpoints that were scored
	anyFull       bool          // some endpoint has no place for the request now, and is not ejected
	withRoom      int           // endpoints that may be chosen
	overBudget    bool          // the request's budget excluded some endpoint
	anyUnpaused   bool          // some endpoint that suits the request wants no pause
	pauseEnd      clock.Instant // earliest end of the pauses of those that do; zero if there are none
	now           clock.Instant
}

// choose returns the best endpoint for a request; the caller holds mu.
func (f *Fleet) choose(req Request) choice {
	c := choice{now: f.options.Now()}
	p, ok := f.byService[req.Service]
	if !ok {
		return c
	}
	t := f.terms(req, c.now)
	if len(p.all) <= scoreAllUpTo {
		f.scoreAll(&c, p.all, t)
		return c
	}
	n := f.candidates(p, req, t.localHall, c.now)
	f.scoreAll(&c, n.list[:n.count], t)
	if (c.member == nil && !c.limits.anyLimited) || (c.member != nil && c.member.tierFor(req, c.now) > tierHealthy) {
		// Few endpoints may be used, for instance since only a few run an allowed version.
		c = choice{now: c.now}
		f.scoreAll(&c, p.all, t)
		return c
	}
	scale := float64(len(p.all)) / float64(n.count)
	c.freeSlots, c.withRoom = int(float64(c.freeSlots)*scale), int(float64(c.withRoom)*scale)
	return c
}

// scoreAll scores a list of endpoints and records the best one.
func (f *Fleet) scoreAll(c *choice, list []*member, t scoreTerms) {
	best, focused := math.Inf(1), focusedChoice{seeds: f.inFocus(list, t.req, c.now)}
	for _, m := range list {
		if !f.suits(m, t.req) {
			continue
		}
		c.notePause(m, t.req)
		c.anyFull = c.anyFull || (c.now.Before(m.noPlaceUntil) && !m.ejected(c.now))
		if !f.usable(m, t.req) || !m.warmUp.admits(t.coldLimits, t.req, c.now) {
			continue
		}
		load, prefillTokens := m.load(c.now, t.sendingHosts), t.prefillTokens(m)
		if !c.admits(m, t, load, prefillTokens) {
			continue
		}
		terms := f.score(m, t, load, prefillTokens, c.now)
		s := terms.Sum()
		if !f.enforcesLimit(m) {
			c.limits.anyUnlimited = c.limits.anyUnlimited || !m.ejected(c.now)
		} else if !c.limits.consider(m, s, c.now) {
			continue
		}
		c.freeSlots += m.free(load)
		c.withRoom++
		if t.observe != nil {
			t.observe(m, terms, load, prefillTokens)
		}
		if s < best {
			c.member, c.prefillTokens, best = m, prefillTokens, s
		}
		focused.consider(m, s, load, prefillTokens)
	}
	c.score = best
	focused.replace(c)
	if c.anyFull && c.member != nil && c.member.ejected(c.now) {
		c.member = nil // others are there and will have a place sooner
	}
}

// notePause records whether an endpoint that suits a request wants a pause.
func (c *choice) notePause(m *member, req Request) {
	if !m.paused(req, c.now) {
		c.anyUnpaused = true
		return
	}
	if end := m.notices.pausedUntil; c.pauseEnd.IsZero() || end.Before(c.pauseEnd) {
		c.pauseEnd = end
	}
}

// paused returns the time until the first endpoint takes requests, if all that suit the request want a
// pause; else 0.
func (c *choice) paused() time.Duration {
	if c.anyUnpaused || c.pauseEnd.IsZero() {
		return 0
	}
	return c.pauseEnd.Sub(c.now)
}

// Pick chooses an endpoint and holds a slot there; false if none may be used.
func (f *Fleet) Pick(req Request) (*Hold, bool) {
	req.Remaining = 0
	h, _ := f.Place(req)
	return h, h != nil
}

// Expect estimates the attempt if it were sent now; false if no endpoint takes it. For a request with a budget
// it also returns false while others wait for the room that there is.
func (f *Fleet) Expect(req Request) (Expectation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.choose(req)
	if c.member == nil || f.roomTaken(c, req) {
		return Expectation{}, false
	}
	return f.expect(c, req), true
}

func (f *Fleet) expect(c choice, req Request) Expectation {
	m, r := c.member, f.prefillModelOf(req.Service, req.Model)
	queue := f.queueWait(m, req.Urgency, m.load(c.now, f.sendingHosts(req.Service)), c.now)
	return Expectation{
		Head: queue + time.Duration(m.pace()*float64(r.headTime(c.prefillTokens))), Queue: queue, PrefillTime: r.prefillTime(c.prefillTokens), PrefillTokens: c.prefillTokens,
		Exact: c.prefillTokens <= req.Tokens-req.SharedTokens && f.prefixes.cachedTokens(m) >= req.SharedTokens, Price: f.prices[req.Service].perSecond(), Overrun: f.overruns[req.Service],
	}
}

// hold takes a slot at an endpoint.
func (f *Fleet) hold(m *member, expected Expectation, req Request, now clock.Instant) *Hold {
	h := &Hold{Endpoint: m.Endpoint, Expected: expected, fleet: f, member: m, req: req, sent: now, slowStart: m.countSlowStart(now)}
	m.inFlight++
	if req.Key == 0 {
		return h
	}
	h.idleHead = f.prefillModelOf(req.Service, req.Model).headTime(expected.PrefillTokens)
	h.ticket = f.await(m, expected, req.Urgency, now)
	f.notePrompt(m, req)
	return h
}

// notePrompt records that a prompt is prefilled at an endpoint.
func (f *Fleet) notePrompt(m *member, req Request) {
	size := req.CacheTokens
	if size == 0 {
		size = defaultCacheTokens
	}
	f.prefixes.add(m, req.parts(), int(cacheShare*float64(size)))
}

// home returns the endpoint that most likely has the shared part of a prompt cached if hosts of
// other data halls have sent requests for it: the first by rendezvous hashing. It returns nil for
// requests without a prompt.
func (f *Fleet) home(req Request, now clock.Instant) *member {
	if req.Key == 0 {
		return nil
	}
	p := f.byService[req.Service]
	if len(p.all) > scoreAllUpTo {
		var n candidates
		f.addHomes(&n, p, req, now)
		return n.list[0]
	}
	var home *member
	least := math.Inf(1)
	for _, m := range p.all {
		if !f.usable(m, req) || m.tierFor(req, now) > tierHealthy {
			continue
		}
		if w := RendezvousWeight(req.Key, m.seed); w < least {
			home, least = m, w
		}
	}
	return home
}
