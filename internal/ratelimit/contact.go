package ratelimit

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
)

const (
	// contactPeriod is the time between two rounds in which hosts that have slots of endpoints are asked
	// whether they are there, and contactTimeout for how long an answer is waited for.
	contactPeriod  = 200 * time.Millisecond
	contactTimeout = 150 * time.Millisecond
)

// keepContact finds out, while this host counts places, which of the hosts that have slots or places of the
// same endpoints answer. It ends with the context.
func (l *Limiter) keepContact(ctx context.Context) {
	timer := time.AfterFunc(contactPeriod, l.contactDue.Notify)
	defer timer.Stop()
	for l.contactDue.Wait(ctx) {
		if l.checkContact(ctx) {
			timer.Reset(contactPeriod)
		}
	}
}

// checkContact asks the hosts that have slots or places of endpoints whose places this host counts. It returns
// false if there are no such endpoints.
func (l *Limiter) checkContact(ctx context.Context) bool {
	counted := l.places.counted(clock.Now())
	l.dropOrders(counted)
	orders := make(map[string][]*host, len(counted))
	ask := map[string]*host{}
	for endpoint, e := range counted {
		orders[endpoint] = l.order(endpoint)
		for rank, h := range orders[endpoint] {
			if !h.self && (rank < e.slots || e.holders[h.Name]) {
				ask[h.Name] = h
			}
		}
	}
	found := l.whoAnswers(ctx, ask)
	missed := missedOf(found)
	for endpoint, e := range counted {
		c := contactIn(orders[endpoint], e.slots, found, missed)
		if l.places.noteContact(endpoint, c, clock.Now()) {
			l.options.Logger.Info("hosts that have slots of an endpoint do not answer; places are given of the others' slots only",
				"endpoint", endpoint, "lost", len(c.lost), "slots", c.slots, "of", e.slots)
		}
	}
	return len(counted) > 0
}

// order returns all hosts in the order of an endpoint. An order is kept while the list of hosts stays the same
// and places of the endpoint are counted.
func (l *Limiter) order(endpoint string) []*host {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshHosts()
	if order, ok := l.orders[endpoint]; ok {
		return order
	}
	key := xxhash.Sum64String(endpoint)
	type weighted struct {
		*host
		weight float64
	}
	ranked := make([]weighted, 0, len(l.hosts))
	for i := range l.hosts {
		h := &l.hosts[i]
		ranked = append(ranked, weighted{host: h, weight: fleet.RendezvousWeight(key, h.hash)})
	}
	slices.SortFunc(ranked, func(a, b weighted) int { return cmp.Compare(a.weight, b.weight) })
	order := make([]*host, 0, len(ranked))
	for _, r := range ranked {
		order = append(order, r.host)
	}
	l.orders[endpoint] = order
	return order
}

// dropOrders forgets the orders of endpoints whose places this host does not count.
func (l *Limiter) dropOrders(counted map[string]countedEndpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.orders, func(endpoint string, _ []*host) bool {
		_, ok := counted[endpoint]
		return !ok
	})
}

// presence is what is known of a host that was asked whether it is there.
type presence int

const (
	notAsked presence = iota
	answers
	dead // no process listens there
	silent
)

func (l *Limiter) presenceOf(h host, err error) presence {
	switch {
	case err == nil:
		return answers
	case l.options.Refuses != nil && l.options.Refuses(h.Address):
		return dead
	default:
		return silent
	}
}

// whoAnswers asks other hosts, all at once, whether they are there, and returns by name what it found.
func (l *Limiter) whoAnswers(ctx context.Context, hosts map[string]*host) map[string]presence {
	callCtx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	var mu sync.Mutex
	found := map[string]presence{}
	var asking sync.WaitGroup
	for name, h := range hosts {
		asking.Go(func() {
			err := l.options.Peers.SendNews(callCtx, h.Address, News{})
			if ctx.Err() != nil {
				return
			}
			l.noteAnswer(*h, "", err)
			mu.Lock()
			defer mu.Unlock()
			found[name] = l.presenceOf(*h, err)
		})
	}
	asking.Wait()
	return found
}

// missedOf returns the names of the hosts that do not answer.
func missedOf(found map[string]presence) map[string]bool {
	missed := map[string]bool{}
	for name, p := range found {
		if p == dead || p == silent {
			missed[name] = true
		}
	}
	return missed
}

// contactIn returns the contact of this host, given all hosts in an endpoint's order, what was found of those
// that were asked and which of them are missed. Dead hosts leave their slots to the others. This host has none to
// give while a host that precedes it answers.
func contactIn(order []*host, slots int, found map[string]presence, missed map[string]bool) contact {
	c := contact{missed: missed, lost: map[string]bool{}, hosts: len(order)}
	passed := false
	for rank, h := range order {
		if passed && rank >= slots {
			break // none of the hosts that follow has slots
		}
		n := slotsOfRank(rank, slots, len(order))
		switch p := found[h.Name]; {
		case h.self:
			passed = true
			c.slots += n
			c.after = max(0, rank-slots)
		case p == answers:
			c.preceded = c.preceded || !passed
			c.slots += n
		case p == dead:
			c.slots += n
		case p == silent && n > 0:
			c.lost[h.Name] = true
		}
	}
	if c.preceded {
		c.slots = 0
	}
	return c
}

// isOnlyHost reports whether no other host is listed.
func (l *Limiter) isOnlyHost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshHosts()
	return len(l.hosts) == 1
}

// count takes a place by this host's own count, if there is one.
func (l *Limiter) count(r PlaceRequest, first bool) PlaceReply {
	if l.options.Places == nil || l.isOnlyHost() {
		l.places.noteContact(r.Endpoint, contact{}, clock.Now())
	}
	reply, asks := l.places.take(r, first, clock.Now())
	if asks {
		l.contactDue.Notify()
	}
	return reply
}
