package fleet

import (
	"quaybarrow/internal/clock"
)

// Weights of the choice. Scores are seconds until the answer is expected to
// begin, with what else an endpoint costs put into seconds.
const (
	tierSeconds = 1000 // an endpoint that may not answer comes after all others
	// busySeconds put an endpoint that gets as much as one does that may be cold after
	// all others of its tier.
	busySeconds = 100
	// loadSeconds is what full slots cost: every request there slows all others.
	loadSeconds = 0.15
	// hallPart of the objective is what bytes between data halls are worth.
	hallPart = 0.1
	// sharedPart of the objective is what reading a whole prompt again costs beyond
	// its time.
	sharedPart = 0.05
	// homeUnread is the part of a shared prompt that its home is expected to read
	// where others choose endpoints too and this host has not seen it sent there: they most
	// likely have. Where one host advises all it knows what was sent, and goes by that alone.
	homeUnread = 0.25
	// plainHall is the load that a request without a prompt passes by to stay in
	// its data hall.
	plainHall = 0.5
	// fullLoad is the load from which an endpoint lets requests wait.
	fullLoad = 0.9
	tieBreak = 1e-4
)

// terms are what the scores of all endpoints for an attempt have in common.
type terms struct {
	ask     Request
	near    string // the data hall of the host that asks
	home    *member
	memory  *memory
	reading *reading
	sharers int     // hosts that send to an endpoint
	hall    float64 // what bytes between data halls cost
	work    float64 // what a second of reading costs, its own time included
	again   float64 // what reading a token of the shared part again costs
	warming warming // what cold endpoints get
	now     clock.Instant
}

func (f *Fleet) terms(ask Request, now clock.Instant) terms {
	t := terms{ask: ask, memory: &f.memory, sharers: f.sharers(ask.Service), hall: plainHall, warming: f.warming(ask.Service), now: now}
	if ask.Unadvised || !f.alone() {
		t.home = f.home(ask, now)
	}
	t.near = ask.Hall
	if t.near == "" {
		t.near = f.options.Hall
	}
	if ask.Key == 0 {
		return t
	}
	f.memory.find(ask.parts())
	t.reading = f.readingOf(ask.Service, ask.Model)
	t.work = 1 + f.prices[ask.Service].perSecond()
	t.hall = hallPart * ask.Objective.Seconds()
	t.again = sharedPart * ask.Objective.Seconds() / float64(max(ask.Tokens, 1))
	return t
}

// unread is how many of the prompt's tokens an endpoint is expected to read.
func (t terms) unread(m *member) int {
	if t.ask.Key == 0 {
		return 0
	}
	known := t.memory.known(m)
	if m == t.home && !m.warmth.cold(t.now) { // one that has just started keeps nothing
		known = max(known, int((1-homeUnread)*float64(t.ask.SharedTokens)))
	}
	return max(t.ask.Tokens-known, 0)
}

// score ranks an endpoint of a load for an attempt; the lowest is chosen.
func (f *Fleet) score(m *member, t terms, load float64, unread int, now clock.Instant) float64 {
	score := float64(m.tier(now))*tierSeconds + tieBreak*f.options.Random()
	if m.warmth.busy(t.warming, t.ask, now) {
		score += busySeconds
	}
	if m.Hall != t.near {
		score += t.hall
	}
	if t.ask.Key != 0 {
		again := t.again * float64(max(unread-(t.ask.Tokens-t.ask.SharedTokens), 0))
		own := f.queue(m, t.ask.Urgency, load, now).Seconds() + t.work*t.reading.tokens(unread).Seconds()
		return score + loadSeconds*load + own*m.pace() + again
	}
	if load >= fullLoad {
		load *= 2
	}
	return score + load + plainPace*(m.pace()-1)
}

// RendezvousWeight is the rendezvous weight of an endpoint, or a host, for a key, 0 to 1; the least one is
// chosen.
func RendezvousWeight(key, seed uint64) float64 {
	x := key ^ seed
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
