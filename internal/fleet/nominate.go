package fleet

import (
	"slices"

	"quaybarrow/internal/clock"
)

// Where a service has many endpoints a choice weighs a few of them instead of all: those that
// keep the most of the prompt, those that are its homes for all hosts, and some by chance, most of
// them in the data hall of the host that asks. The best of a few drawn by chance is nearly as well
// as the best of all (Mitzenmacher, "The power of two choices in randomized load balancing", 2001),
// and what makes one endpoint better than the rest, a prompt that it keeps, is looked up. Prompts
// whose shared beginning many keep go to some of those, so that the endpoints in use are as many as
// the load asks for, whatever their number.
const (
	// scoreAllUpTo is up to how many endpoints all are weighed.
	scoreAllUpTo = 256
	// maxHolders endpoints that keep the most of a prompt are weighed, and beginnersMost that
	// keep only its beginning.
	maxHolders          = 6
	maxBeginningHolders = 8
	// maxHomes endpoints are weighed at which other hosts most likely have had it read.
	maxHomes = 2
	// maxLocal and anyMost are drawn by chance from the data hall of the host that asks and
	// from all.
	maxLocal    = 8
	maxAnywhere = 4
	// drawsPerCandidate is how many draws one that may be used takes at most.
	drawsPerCandidate = 3
	// maxWithLoans endpoints are weighed of whose limits this host has something in hand.
	maxWithLoans = 8
)

// candidates are the endpoints that are weighed for an attempt.
type candidates struct {
	list [maxHolders + maxBeginningHolders + maxHomes + maxLocal + maxAnywhere + maxWithLoans]*member
	n    int
}

// add nominates an endpoint once.
func (n *candidates) add(m *member) {
	if n.n < len(n.list) && !slices.Contains(n.list[:n.n], m) {
		n.list[n.n] = m
		n.n++
	}
}

// candidates returns the endpoints of a large service that are weighed; the caller holds mu, and has
// looked up which ones keep the prompt.
func (f *Fleet) candidates(p *pool, req Request, near string, now clock.Instant) candidates {
	var n candidates
	f.addWithLoans(&n, req, now)
	if req.Key != 0 {
		f.addHolders(&n, req, now)
		f.addHomes(&n, p, req, now)
	}
	f.sample(&n, p.byHall[near], maxLocal, req, now)
	f.sample(&n, p.all, maxAnywhere, req, now)
	return n
}

// addWithLoans nominates endpoints that name limits, and of which something is in hand.
func (f *Fleet) addWithLoans(n *candidates, req Request, now clock.Instant) {
	for _, m := range f.withLoans {
		if n.n < maxWithLoans && m.Service == req.Service && m.limit.active() && m.limit.available(now) > 0 && f.usable(m, req) {
			n.add(m)
		}
	}
}

// addHolders nominates endpoints that keep a prompt: some of those that keep the most of it,
// and some that keep its beginning.
func (f *Fleet) addHolders(n *candidates, req Request, now clock.Instant) {
	parts := req.Parts
	if parts == nil {
		f.sampleHolders(n, f.prefixes.holders[req.Key], maxHolders, req, now)
		return
	}
	for i := len(parts) - 1; i > 0; i-- {
		before := n.n
		f.sampleHolders(n, f.prefixes.holders[parts[i].ID], maxHolders, req, now)
		if n.n > before {
			break
		}
	}
	if len(parts) > 0 {
		f.sampleHolders(n, f.prefixes.holders[parts[0].ID], maxBeginningHolders, req, now)
	}
}

// sampleHolders nominates all of a few endpoints that may be used, or as many by chance.
func (f *Fleet) sampleHolders(n *candidates, from []*member, most int, req Request, now clock.Instant) {
	if len(from) > most {
		f.sample(n, from, most, req, now)
		return
	}
	for _, m := range from {
		if m.Service == req.Service && f.usable(m, req) {
			n.add(m)
		}
	}
}

// sample nominates endpoints by chance that are well and may be used.
func (f *Fleet) sample(n *candidates, from []*member, most int, req Request, now clock.Instant) {
	if len(from) == 0 {
		return
	}
	drawn := 0
	for range drawsPerCandidate * most {
		m := from[int(f.options.Random()*float64(len(from)))%len(from)]
		if m.Service != req.Service || !f.usable(m, req) || m.tier(now) > tierHealthy {
			continue
		}
		n.add(m)
		if drawn++; drawn == most {
			return
		}
	}
}

// addHomes nominates the endpoints that come next to a prompt on the ring, which are the same
// for all hosts.
func (f *Fleet) addHomes(n *candidates, p *pool, req Request, now clock.Instant) {
	at, _ := p.find(req.Key)
	homes := 0
	for i := range min(drawsPerCandidate*maxHomes, len(p.ring)) {
		m := p.ring[(at+i)%len(p.ring)]
		if !f.usable(m, req) || m.tier(now) > tierHealthy {
			continue
		}
		n.add(m)
		if homes++; homes == maxHomes {
			return
		}
	}
}
