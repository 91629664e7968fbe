package fleet

import (
	"slices"

	"quaybarrow/internal/clock"
)

// For a service with many endpoints a choice scores only some of them: those that have the most of
// the prompt cached, the prompt's homes, which are the same for all hosts, and a random sample,
// most of it from the data hall of the host that asks. The best of a few random endpoints is nearly
// as good as the best of all (Mitzenmacher, "The power of two choices in randomized load
// balancing", 2001), and the endpoints that are better than the rest, those with the prompt cached,
// are looked up. Prompts whose shared beginning is cached by many endpoints go to some of these, so
// that the number of endpoints in use depends on the load, whatever the total.
const (
	// scoreAllUpTo is the largest number of endpoints that are all scored.
	scoreAllUpTo = 256
	// maxHolders bounds the scored endpoints that have the most of a prompt cached, and
	// maxBeginningHolders those that have only its beginning cached.
	maxHolders          = 6
	maxBeginningHolders = 8
	// maxHomes bounds the scored endpoints at which other hosts most likely have had the prompt
	// prefilled.
	maxHomes = 2
	// maxLocal and maxAnywhere bound the random samples from the data hall of the host that asks
	// and from all endpoints.
	maxLocal    = 8
	maxAnywhere = 4
	// drawsPerCandidate bounds the random draws for each usable endpoint.
	drawsPerCandidate = 3
	// maxWithLoans bounds the scored endpoints with limits of which this host has loans available.
	maxWithLoans = 8
)

// candidates are the endpoints that are scored for an attempt.
type candidates struct {
	list  [maxHolders + maxBeginningHolders + maxHomes + maxLocal + maxAnywhere + maxWithLoans]*member
	count int
}

// add adds an endpoint unless it is already among the candidates.
func (n *candidates) add(m *member) {
	if n.count < len(n.list) && !slices.Contains(n.list[:n.count], m) {
		n.list[n.count] = m
		n.count++
	}
}

// candidates returns the endpoints of a large service that are scored; the caller holds mu and has
// looked up which endpoints have the prompt cached.
func (f *Fleet) candidates(p *pool, req Request, localHall string, now clock.Instant) candidates {
	var n candidates
	f.addWithLoans(&n, req, now)
	if req.Key != 0 {
		f.addHolders(&n, req, now)
		f.addHomes(&n, p, req, now)
	}
	f.sample(&n, p.byHall[localHall], maxLocal, req, now)
	f.sample(&n, p.all, maxAnywhere, req, now)
	return n
}

// addWithLoans adds endpoints that announce limits and of which loans are available.
func (f *Fleet) addWithLoans(n *candidates, req Request, now clock.Instant) {
	for _, m := range f.withLoans {
		if n.count < maxWithLoans && m.Service == req.Service && m.limit.active() && m.limit.available(now) > 0 && f.usable(m, req) {
			n.add(m)
		}
	}
}

// addHolders adds endpoints that have a prompt cached: some of those with the most of it, and some
// with its beginning.
func (f *Fleet) addHolders(n *candidates, req Request, now clock.Instant) {
	parts := req.Parts
	if parts == nil {
		f.sampleHolders(n, f.prefixes.holders[req.Key], maxHolders, req, now)
		return
	}
	for i := len(parts) - 1; i > 0; i-- {
		before := n.count
		f.sampleHolders(n, f.prefixes.holders[parts[i].ID], maxHolders, req, now)
		if n.count > before {
			break
		}
	}
	if len(parts) > 0 {
		f.sampleHolders(n, f.prefixes.holders[parts[0].ID], maxBeginningHolders, req, now)
	}
}

// sampleHolders adds all usable endpoints of a short list, or a random sample of a longer one.
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

// sample adds random endpoints that are healthy and may be used.
func (f *Fleet) sample(n *candidates, from []*member, most int, req Request, now clock.Instant) {
	if len(from) == 0 {
		return
	}
	drawn := 0
	for range drawsPerCandidate * most {
		m := from[int(f.options.Random()*float64(len(from)))%len(from)]
		if m.Service != req.Service || !f.usable(m, req) || m.tierFor(req, now) > tierHealthy {
			continue
		}
		n.add(m)
		if drawn++; drawn == most {
			return
		}
	}
}

// addHomes adds the endpoints that follow a prompt's key on the ring, which are the same for all
// hosts.
func (f *Fleet) addHomes(n *candidates, p *pool, req Request, now clock.Instant) {
	at, _ := p.find(req.Key)
	homes := 0
	for i := range min(drawsPerCandidate*maxHomes, len(p.ring)) {
		m := p.ring[(at+i)%len(p.ring)]
		if !f.usable(m, req) || m.tierFor(req, now) > tierHealthy {
			continue
		}
		n.add(m)
		if homes++; homes == maxHomes {
			return
		}
	}
}
