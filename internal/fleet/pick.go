package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

// Ask is what an attempt needs.
type Ask struct {
	Service string
	Key     uint64            // requests with the same key share a prompt; 0 for none
	Allowed func(string) bool // versions it may run on; nil for any
	Avoid   []string          // ids of endpoints that it has been to
}

// Hold is a place at an endpoint.
type Hold struct {
	Endpoint Endpoint
	fleet    *Fleet
	member   *member
}

// Done ends the hold and notes what the attempt told.
func (h *Hold) Done(r Result) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	m := h.member
	m.flying--
	now := time.Now()
	m.health = m.health.with(r.Outcome, now)
	if r.Load.Slots > 0 {
		// The answered request itself may still be counted in what it says.
		m.others = max(0, r.Load.Running+r.Load.Waiting-m.flying-1)
		m.saidAt = now
	}
}

// Hear notes the load that an endpoint tells while an attempt is under way.
func (h *Hold) Hear(l Load) {
	if l.Slots <= 0 {
		return
	}
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.member.others = max(0, l.Running+l.Waiting-h.member.flying)
	h.member.saidAt = time.Now()
}

// load is the part of an endpoint's slots in use, as far as this host knows.
func (m *member) load(now time.Time) float64 {
	slots := m.Slots
	if slots <= 0 {
		slots = slotsUnsaid
	}
	others := 0.0
	if age := now.Sub(m.saidAt); age < echoLife {
		others = float64(m.others) * (1 - float64(age)/float64(echoLife))
	}
	return (float64(m.flying) + others) / float64(slots)
}

// usable reports whether an endpoint may get the attempt at all.
func (m *member) usable(ask Ask) bool {
	if m.Draining || (ask.Allowed != nil && !ask.Allowed(m.Version)) {
		return false
	}
	for _, id := range ask.Avoid {
		if id == m.ID {
			return false
		}
	}
	return true
}

// tier orders endpoints by how sure it is that they answer.
func (m *member) tier(now time.Time) int {
	if now.Before(m.health.until) {
		return 2
	}
	if !m.lapsed.IsZero() {
		return 1
	}
	return 0
}

// Pick chooses an endpoint and holds a place there; false if none may be used.
// Among well ones it takes that which keeps the prompt while it has room, then
// the least loaded of the own data hall, then of all.
func (f *Fleet) Pick(ask Ask) (*Hold, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	best, bestScore := (*member)(nil), math.Inf(1)
	for _, m := range f.byService[ask.Service] {
		if !m.usable(ask) {
			continue
		}
		if s := f.score(m, ask, now); s < bestScore {
			best, bestScore = m, s
		}
	}
	if best == nil {
		return nil, false
	}
	best.flying++
	return &Hold{Endpoint: best.Endpoint, fleet: f, member: best}, true
}

// Steps between ranks of endpoints; within a rank the score is below one step.
const (
	rankStep = 4.0
	tierStep = 10 * rankStep
	maxLoad  = 3.9 // loads above it are all the same
	tieBreak = 1e-3
)

// score ranks an endpoint for an attempt; the lowest is chosen.
func (f *Fleet) score(m *member, ask Ask, now time.Time) float64 {
	load := m.load(now)
	local := m.Hall == f.options.Hall
	score := float64(m.tier(now)) * tierStep
	switch {
	case ask.Key != 0 && local && load < stickyBound:
		return score + weight(ask.Key, m.seed)
	case ask.Key != 0 && load < stickyBound:
		return score + rankStep + weight(ask.Key, m.seed)
	case ask.Key == 0 && local && load < hallBound:
		return score + load + tieBreak*rand.Float64()
	default:
		return score + 2*rankStep + min(load, maxLoad) + tieBreak*rand.Float64()
	}
}

// weight is the rendezvous weight of an endpoint for a key, 0 to 1.
func weight(key, seed uint64) float64 {
	x := key ^ seed
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

// Busy reports whether every endpoint of a service that the attempt may use is
// loaded to a part of its slots or more.
func (f *Fleet) Busy(ask Ask, part float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, m := range f.byService[ask.Service] {
		if m.usable(ask) && m.load(now) < part {
			return false
		}
	}
	return true
}
