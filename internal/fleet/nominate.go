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
	// weighAll is up to how many endpoints all are weighed.
	weighAll = 256
	// keepersMost endpoints that keep the most of a prompt are weighed, and beginnersMost that
	// keep only its beginning.
	keepersMost   = 6
	beginnersMost = 8
	// homesMost endpoints are weighed at which other hosts most likely have had it read.
	homesMost = 2
	// nearMost and anyMost are drawn by chance from the data hall of the host that asks and
	// from all.
	nearMost = 8
	anyMost  = 4
	// drawsPer is how many draws one that may be used takes at most.
	drawsPer = 3
	// lentMost endpoints are weighed of whose limits this host has something in hand.
	lentMost = 8
)

// nominees are the endpoints that are weighed for an attempt.
type nominees struct {
	list [keepersMost + beginnersMost + homesMost + nearMost + anyMost + lentMost]*member
	n    int
}

// add nominates an endpoint once.
func (n *nominees) add(m *member) {
	if n.n < len(n.list) && !slices.Contains(n.list[:n.n], m) {
		n.list[n.n] = m
		n.n++
	}
}

// nominate returns the endpoints of a large service that are weighed; the caller holds mu, and has
// looked up which ones keep the prompt.
func (f *Fleet) nominate(p *pool, ask Request, near string, now clock.Instant) nominees {
	var n nominees
	f.nominateLent(&n, ask, now)
	if ask.Key != 0 {
		f.nominateKeepers(&n, ask, now)
		f.nominateHomes(&n, p, ask, now)
	}
	f.draw(&n, p.halls[near], nearMost, ask, now)
	f.draw(&n, p.all, anyMost, ask, now)
	return n
}

// nominateLent nominates endpoints that name limits, and of which something is in hand.
func (f *Fleet) nominateLent(n *nominees, ask Request, now clock.Instant) {
	for _, m := range f.lent {
		if n.n < lentMost && m.Service == ask.Service && m.limited.holds() && m.limited.inHand(now) > 0 && f.usable(m, ask) {
			n.add(m)
		}
	}
}

// nominateKeepers nominates endpoints that keep a prompt: some of those that keep the most of it,
// and some that keep its beginning.
func (f *Fleet) nominateKeepers(n *nominees, ask Request, now clock.Instant) {
	parts := ask.Parts
	if parts == nil {
		f.drawOf(n, f.memory.holders[ask.Key], keepersMost, ask, now)
		return
	}
	for i := len(parts) - 1; i > 0; i-- {
		before := n.n
		f.drawOf(n, f.memory.holders[parts[i].ID], keepersMost, ask, now)
		if n.n > before {
			break
		}
	}
	if len(parts) > 0 {
		f.drawOf(n, f.memory.holders[parts[0].ID], beginnersMost, ask, now)
	}
}

// drawOf nominates all of a few endpoints that may be used, or as many by chance.
func (f *Fleet) drawOf(n *nominees, from []*member, most int, ask Request, now clock.Instant) {
	if len(from) > most {
		f.draw(n, from, most, ask, now)
		return
	}
	for _, m := range from {
		if m.Service == ask.Service && f.usable(m, ask) {
			n.add(m)
		}
	}
}

// draw nominates endpoints by chance that are well and may be used.
func (f *Fleet) draw(n *nominees, from []*member, most int, ask Request, now clock.Instant) {
	if len(from) == 0 {
		return
	}
	drawn := 0
	for range drawsPer * most {
		m := from[int(f.options.Random()*float64(len(from)))%len(from)]
		if m.Service != ask.Service || !f.usable(m, ask) || m.tier(now) > tierWell {
			continue
		}
		n.add(m)
		if drawn++; drawn == most {
			return
		}
	}
}

// nominateHomes nominates the endpoints that come next to a prompt on the ring, which are the same
// for all hosts.
func (f *Fleet) nominateHomes(n *nominees, p *pool, ask Request, now clock.Instant) {
	at, _ := p.find(ask.Key)
	homes := 0
	for i := range min(drawsPer*homesMost, len(p.ring)) {
		m := p.ring[(at+i)%len(p.ring)]
		if !f.usable(m, ask) || m.tier(now) > tierWell {
			continue
		}
		n.add(m)
		if homes++; homes == homesMost {
			return
		}
	}
}
