package fleet

import (
	"math"
	"slices"
	"time"
)

// Ask is what an attempt needs.
type Ask struct {
	Service   string
	Allowed   func(string) bool // versions it may run on; nil for any
	Avoid     []string          // ids of endpoints that it has been to
	Key       uint64            // requests with the same key share a prompt; 0 for none
	Model     string
	Tokens    int           // of the prompt
	Shared    int           // of them, those that other requests with the key have too
	Objective time.Duration // by when the answer should begin
}

// unread counts the prompt's tokens that are read where a part of the shared ones
// is not in memory.
func (a Ask) unread(part float64) int {
	return a.Tokens - int((1-part)*float64(a.Shared))
}

// Hold is a place at an endpoint.
type Hold struct {
	// Ended is called when the hold is done; nil if nobody minds.
	Ended    func()
	Endpoint Endpoint
	fleet    *Fleet
	member   *member
	ask      Ask
	sent     time.Time
	tokens   int           // of the prompt that have to be read
	expected time.Duration // until the head of the answer, if the endpoint were idle
	reading  time.Duration // counted as the endpoint's work until the head is there
}

// Expected is the time until the head of the answer if the endpoint were idle; 0
// for requests without a prompt.
func (h *Hold) Expected() time.Duration { return h.expected }

// Head notes that the head of the answer is there, and the load that it tells.
func (h *Hold) Head(l Load) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.read()
	now := h.fleet.options.Now()
	if l.Slots > 0 {
		h.member.others = max(0, l.Running+l.Waiting-h.member.flying-h.member.remote(now))
		h.member.saidAt = now
	}
	if h.ask.Key == 0 {
		return
	}
	took := now.Sub(h.sent)
	h.member.wait, h.member.waitAt = max(0, took-h.expected), now
	known := h.fleet.readingOf(h.ask.Service, h.ask.Model)
	h.fleet.readings[h.ask.Service+"/"+h.ask.Model] = known.with(h.tokens, took)
}

// read takes the request's prompt out of the endpoint's work.
func (h *Hold) read() {
	h.member.reading -= h.reading
	h.reading = 0
}

// Done ends the hold and notes what the attempt told.
func (h *Hold) Done(r Result) {
	if h.Ended != nil {
		defer h.Ended()
	}
	if h.fleet.observe != nil {
		defer h.fleet.observe(h.Endpoint.ID, r.Outcome)
	}
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	now := h.fleet.options.Now()
	m := h.member
	if h.reading > 0 {
		// No head came: the wait was at least so long.
		m.wait, m.waitAt = max(0, now.Sub(h.sent)-h.expected), now
	}
	h.read()
	m.flying--
	m.health = m.health.with(r.Outcome, now, h.fleet.options.EjectMost)
	if r.Load.Slots > 0 {
		// The answered request itself may still be counted in what it says.
		m.others = max(0, r.Load.Running+r.Load.Waiting-m.flying-1-m.remote(now))
		m.saidAt = now
	}
}

// load is the part of an endpoint's slots in use, as far as this host knows. What
// the endpoint said counts for less with age; in its place comes what this host's
// own count says of the hosts that it shares the endpoint with.
func (m *member) load(now time.Time, sharers int) float64 {
	slots := m.Slots
	if slots <= 0 {
		slots = slotsUnsaid
	}
	mine := m.flying + m.remote(now)
	trust := 0.0
	if age := now.Sub(m.saidAt); age < echoLife {
		trust = 1 - float64(age)/float64(echoLife)
	}
	alike := float64(m.flying * (sharers - 1))
	others := trust*float64(m.others) + (1-trust)*alike
	return (float64(mine) + others) / float64(slots)
}

// sharers counts the hosts that send to an endpoint of a service.
func (f *Fleet) sharers(service string) int {
	if f.options.Sharers == nil {
		return 1
	}
	return max(1, f.options.Sharers(service))
}

// usable reports whether an endpoint may get the attempt at all.
func (m *member) usable(ask Ask) bool {
	if m.Draining || m.leaving || (ask.Allowed != nil && !ask.Allowed(m.Version)) {
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

func (m *member) tier(now time.Time) int {
	switch {
	case now.Before(m.health.until), now.Before(m.shunned):
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
	homes  homes
	now    time.Time
}

// choose finds it; the caller holds mu.
func (f *Fleet) choose(ask Ask) choice {
	now := f.options.Now()
	homes := f.homes(ask, now)
	return choice{member: f.best(ask, homes, now), homes: homes, now: now}
}

// Pick chooses an endpoint and holds a place there; false if none may be used.
func (f *Fleet) Pick(ask Ask) (*Hold, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.choose(ask)
	if c.member == nil {
		return nil, false
	}
	return f.hold(c.member, c.homes.unread(c.member), ask, c.now), true
}

// Expect estimates how long an attempt that is sent now takes until the head of
// its answer; 0 if no endpoint takes it.
func (f *Fleet) Expect(ask Ask) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.choose(ask)
	m := c.member
	if m == nil {
		return 0
	}
	tokens := ask.unread(c.homes.unread(m))
	wait := time.Duration(m.waiting(c.now) * float64(time.Second))
	return m.reading + m.bookedFor(c.now) + wait + f.readingOf(ask.Service, ask.Model).head(tokens)
}

// best returns the endpoint with the lowest score; nil if none may be used.
func (f *Fleet) best(ask Ask, homes homes, now time.Time) *member {
	best, bestScore := (*member)(nil), math.Inf(1)
	t := f.terms(ask, homes)
	for _, m := range f.byService[ask.Service] {
		if !m.usable(ask) {
			continue
		}
		if s := f.score(m, t, now); s < bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

// hold takes a place at an endpoint.
func (f *Fleet) hold(m *member, unread float64, ask Ask, now time.Time) *Hold {
	h := &Hold{Endpoint: m.Endpoint, fleet: f, member: m, ask: ask, sent: now}
	m.flying++
	if ask.Key == 0 {
		return h
	}
	r := f.readingOf(ask.Service, ask.Model)
	tokens := ask.unread(unread)
	h.tokens, h.expected, h.reading = tokens, r.head(tokens), r.tokens(tokens)
	m.reading += h.reading
	return h
}

// homes are the endpoints that most likely have the shared part of a prompt in
// memory: the first by rendezvous of all data halls, and that of the own one.
type homes struct{ all, hall *member }

// homes finds them; they are nil for requests without a prompt.
func (f *Fleet) homes(ask Ask, now time.Time) homes {
	var found homes
	if ask.Key == 0 {
		return found
	}
	least, leastHall := math.Inf(1), math.Inf(1)
	for _, m := range f.byService[ask.Service] {
		if !m.usable(ask) || m.tier(now) > tierWell {
			continue
		}
		w := weight(ask.Key, m.seed)
		if w < least {
			found.all, least = m, w
		}
		if m.Hall == f.options.Hall && w < leastHall {
			found.hall, leastHall = m, w
		}
	}
	return found
}

// unread is the part of a shared prompt that an endpoint is expected to read.
func (h homes) unread(m *member) float64 {
	switch m {
	case h.all:
		return 0
	case h.hall:
		return hallUnread
	default:
		return 1
	}
}
