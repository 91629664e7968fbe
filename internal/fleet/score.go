package fleet

import (
	"quaybarrow/internal/clock"
)

// Weights of the choice. Scores are seconds until the response is expected to begin, with other
// costs of an endpoint converted into seconds.
const (
	tierSeconds = 1000 // an endpoint that may not respond comes after all others
	// busySeconds puts an endpoint that already gets the limit of one that might be cold after all
	// others of its tier.
	busySeconds = 100
	// fullLoadSeconds is the cost of full slots: every request at an endpoint slows all others
	// there.
	fullLoadSeconds = 0.15
	// hallCostShare is the cost of bytes between data halls, as a share of the objective.
	hallCostShare = 0.1
	// rereadCostShare is the cost of prefilling a whole prompt again beyond its time, as a share of
	// the objective.
	rereadCostShare = 0.05
	// homeMissShare is the share of a shared prompt that its home is expected to prefill if this
	// host has not seen the prompt sent there and other hosts choose endpoints too: they have most
	// likely sent it there. Where one host advises all others, it knows which prompts were sent
	// where and uses that knowledge alone.
	homeMissShare = 0.25
	// plainHallCost is the load that a request without a prompt accepts to stay in its data hall.
	plainHallCost = 0.5
	// fullLoad is the load at which an endpoint starts to queue requests.
	fullLoad = 0.9
	tieBreak = 1e-4
)

// scoreTerms are the terms that the scores of all endpoints for an attempt have in common.
type scoreTerms struct {
	req          Request
	localHall    string // the data hall of the host that asks
	home         *member
	prefixes     *prefixIndex
	prefill      *prefillModel
	sendingHosts int        // hosts that send to an endpoint
	hallCost     float64    // of bytes between data halls
	workCost     float64    // of a second of prefill, its own time included
	rereadCost   float64    // of prefilling a token of the shared part again
	coldLimits   coldLimits // limits of cold endpoints
	now          clock.Instant
	random       func() float64 // breaks ties
	observe      scoreObserver  // nil if nobody asks for the scores
}

func (f *Fleet) terms(req Request, now clock.Instant) scoreTerms {
	t := scoreTerms{req: req, prefixes: &f.prefixes, sendingHosts: f.sendingHosts(req.Service), hallCost: plainHallCost, coldLimits: f.coldLimits(req.Service), now: now, random: f.options.Random}
	if req.Unadvised || !f.singleAdvisor() {
		t.home = f.home(req, now)
	}
	t.localHall = req.Hall
	if t.localHall == "" {
		t.localHall = f.options.Hall
	}
	if req.Key == 0 {
		return t
	}
	f.prefixes.lookUp(req.parts())
	t.prefill = f.prefillModelOf(req.Service, req.Model)
	t.workCost = 1 + f.prices[req.Service].perSecond()
	t.hallCost = hallCostShare * req.Objective.Seconds()
	t.rereadCost = rereadCostShare * req.Objective.Seconds() / float64(max(req.Tokens, 1))
	return t
}

// prefillTokens returns how many of the prompt's tokens an endpoint is expected to prefill.
func (t scoreTerms) prefillTokens(m *member) int {
	if t.req.Key == 0 {
		return 0
	}
	known := t.prefixes.cachedTokens(m)
	if m == t.home && !m.warmUp.cold(t.now) { // an endpoint that has just started has an empty cache
		known = max(known, int((1-homeMissShare)*float64(t.req.SharedTokens)))
	}
	return max(t.req.Tokens-known, 0)
}

// Score is the score of an endpoint for an attempt by its terms; the lowest sum is chosen. Of requests
// with a prompt it is in seconds, of others in loads: 1 is the cost of full slots. It is immutable.
type Score struct {
	Tier     float64 // the endpoint may not respond
	Busy     float64 // it already gets what one that might be cold may get
	Hall     float64 // bytes between data halls
	Queue    float64 // expected wait for other requests
	Prefill  float64 // prefill of the prompt, with what it takes from other requests
	Load     float64 // slots in use
	Reread   float64 // prefill of parts of the prompt that other endpoints have kept
	Pace     float64 // slowness of the endpoint's machine, of requests without a prompt
	TieBreak float64 // random
}

// Sum returns the score.
func (s Score) Sum() float64 {
	return s.Tier + s.TieBreak + s.Busy + s.Hall + s.Load + (s.Queue + s.Prefill) + s.Reread + s.Pace
}

// score ranks an endpoint with a load for an attempt.
func (f *Fleet) score(m *member, t scoreTerms, load float64, prefillTokens int, now clock.Instant) Score {
	s := Score{Tier: float64(m.tierFor(t.req, now)) * tierSeconds, TieBreak: tieBreak * t.random()}
	if m.warmUp.busy(t.coldLimits, t.req, now) {
		s.Busy = busySeconds
	}
	if m.Hall != t.localHall {
		s.Hall = t.hallCost
	}
	if t.req.Key != 0 {
		s.Queue = f.queueWait(m, t.req.Urgency, load, now).Seconds() * m.pace()
		s.Prefill = t.workCost * t.prefill.prefillTime(prefillTokens).Seconds() * m.pace()
		s.Load = fullLoadSeconds * load
		s.Reread = t.rereadCost * float64(max(prefillTokens-(t.req.Tokens-t.req.SharedTokens), 0))
		return s
	}
	if load >= fullLoad {
		load *= 2
	}
	s.Load, s.Pace = load, plainPaceCost*(m.pace()-1)
	return s
}

// RendezvousWeight returns the rendezvous weight of an endpoint, or a host, for a key, from 0 to 1;
// the lowest weight is chosen.
func RendezvousWeight(key, seed uint64) float64 {
	x := key ^ seed
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
