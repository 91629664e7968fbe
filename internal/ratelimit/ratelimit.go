// Package ratelimit keeps hosts together to the limits that endpoints name: how many requests a
// second an endpoint takes from all of them.
//
// # Usage
//
//	d := ratelimit.NewDesk(ratelimit.Options{Host: name, Fleet: f, Members: members, Known: known, Caller: caller})
//	ratelimit.Register(server, d)
//	go d.Run(ctx)
//
// Each endpoint has one host that lends of its limit, found by rendezvous hashing over the list of
// hosts, and the others borrow of it as they have requests. What is lent lasts for a moment, and ends
// by itself: a host that dies with it costs that much of the limit, and nothing has to be taken back.
// While the lender does not answer the next host in the endpoint's order lends, at first a part of the
// limit only. A host that is asked although another comes before it asks that one, so two lend at once
// only while they don't reach each other. Nothing is agreed or kept: a limit is the endpoint's word of
// a moment ago. Who hears that one begins, ends or changes tells some others, who tell it on.
package ratelimit

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/telemetry"
	"quaybarrow/internal/wake"
)

// Times of questions between hosts.
const (
	askPatience   = 250 * time.Millisecond
	relayPatience = 100 * time.Millisecond
	// awayFor is how long a host is passed over that has not answered. It is short, so that all
	// come back to a lender at nearly the same time.
	awayFor = time.Second
	// nobodyPause is after how long a host asks again that has found no lender.
	nobodyPause = 200 * time.Millisecond
	// membersFor is how long the list of hosts is kept in the order's form.
	membersFor = time.Second
)

// Bounds of questions.
const (
	// triesMost hosts are asked for one question.
	triesMost = 3
	// asksMost questions are under way at once.
	asksMost = 16
	// tellMost hosts are told of a limit that begins, ends or changes, by each that hears of it for
	// the first time, as rumours spread (Demers et al., "Epidemic algorithms for replicated database
	// maintenance", 1987).
	tellMost = 4
	// newsMost limits are told of in a message.
	newsMost = 256
)

// Member is another host.
type Member struct{ Name, Address string }

// Caller asks other hosts.
type Caller interface {
	Borrow(ctx context.Context, address string, r Request) (Reply, error)
	Tell(ctx context.Context, address string, news []fleet.LimitNews) error
	// Known asks for the limits that a host knows of.
	Known(ctx context.Context, address string) ([]fleet.LimitNews, error)
}

// Options set up a Desk.
type Options struct {
	Host  string // this host's name
	Fleet *fleet.Fleet
	// Members lists all other hosts, and Known tells whether the list was read.
	Members   func() []Member
	Known     func() bool
	Caller    Caller
	Telemetry *telemetry.Telemetry
	Logger    *log.Logger
}

// Desk borrows for this host, and lends to others; safe for use at once.
type Desk struct {
	options Options
	lender  *Lender
	wake    wake.Signal
	asks    chan struct{} // holds one for each question under way

	mu      sync.Mutex // guards all below
	hosts   []host     // this one too
	readAt  clock.Instant
	away    map[string]clock.Instant // hosts that have not answered, by name, and until when they are passed over
	failing map[string]bool          // hosts of which a line says that they don't answer
}

// host is a host in the endpoints' orders.
type host struct {
	Member
	seed uint64
	self bool
}

// OrderOf is a host's place in an endpoint's order, 0 to 1; the one with the least lends.
func OrderOf(endpoint, host string) float64 {
	return fleet.Weight(xxhash.Sum64String(endpoint), xxhash.Sum64String(host))
}

// NewDesk returns a desk.
func NewDesk(o Options) *Desk {
	d := &Desk{
		options: o, lender: NewLender(), wake: wake.NewSignal(), asks: make(chan struct{}, asksMost),
		away: map[string]clock.Instant{}, failing: map[string]bool{},
	}
	o.Fleet.OnWanted(d.wake.Notify)
	return d
}

// Run borrows until the context ends.
func (d *Desk) Run(ctx context.Context) {
	var working sync.WaitGroup
	defer working.Wait()
	working.Go(func() { d.learn(ctx) })
	// As a function's, the timer may be due at its setting; see clock.Sleep.
	later := time.AfterFunc(0, d.wake.Notify)
	defer later.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		d.tell(ctx, &working)
		list, next := d.options.Fleet.Wanted()
		for _, w := range list {
			select {
			case d.asks <- struct{}{}:
			case <-ctx.Done():
				return
			}
			working.Go(func() {
				defer func() { <-d.asks }()
				d.ask(ctx, w)
			})
		}
		if !next.IsZero() {
			later.Reset(max(clock.Until(next), 0))
		}
	}
}

// tell spreads what has changed.
func (d *Desk) tell(ctx context.Context, working *sync.WaitGroup) {
	if !d.options.Known() {
		return // it is told with the next news, or by others
	}
	news := d.options.Fleet.FreshNews(newsMost)
	if len(news) == 0 {
		return
	}
	for _, h := range d.some(tellMost) {
		working.Go(func() {
			limited, cancel := context.WithTimeout(ctx, askPatience)
			defer cancel()
			if err := d.options.Caller.Tell(limited, h.Address, news); err != nil && ctx.Err() == nil {
				d.options.Logger.Debug("host not told of limits", "to", h.Name, "count", len(news), "error", err)
			}
		})
	}
}

// some returns other hosts by chance.
func (d *Desk) some(most int) []host {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.read()
	now := clock.Now()
	var found []host
	for range drawsPer * most {
		h := d.hosts[rand.IntN(len(d.hosts))]
		if len(found) < most && !h.self && !now.Before(d.away[h.Name]) && !slices.Contains(found, h) {
			found = append(found, h)
		}
	}
	return found
}

// drawsPer is how many draws a host that is told takes at most.
const drawsPer = 4

// learn asks some hosts, one after the other, what limits there are, as this one starts.
func (d *Desk) learn(ctx context.Context) {
	for !d.options.Known() {
		if !clock.Sleep(ctx, learnPause) {
			return
		}
	}
	for _, h := range d.some(triesMost) {
		limited, cancel := context.WithTimeout(ctx, askPatience)
		news, err := d.options.Caller.Known(limited, h.Address)
		cancel()
		if err == nil {
			d.Hear(news)
			return
		}
		d.options.Logger.Debug("host does not tell of limits", "from", h.Name, "error", err)
	}
}

// learnPause is after how long a host that starts looks again whether it knows the list of hosts.
const learnPause = 20 * time.Millisecond

// Limits lists the limits that this host knows of, for one that starts.
func (d *Desk) Limits() []fleet.LimitNews { return d.options.Fleet.LimitNews(newsMost) }

// Hear takes in what another host tells.
func (d *Desk) Hear(news []fleet.LimitNews) {
	for _, n := range news {
		d.options.Fleet.LearnLimit(n)
	}
}

// ask borrows of an endpoint's limit.
func (d *Desk) ask(ctx context.Context, w fleet.Want) {
	r := Request{Requests: w.Requests, Limit: w.News, From: d.options.Host}
	asked := clock.Now()
	reply, ok := d.borrow(ctx, r)
	if !ok {
		d.options.Fleet.Lent(w.News.Endpoint, fleet.Loan{Again: clock.Now().Add(nobodyPause)})
		return
	}
	d.options.Telemetry.Count("limit_requests_borrowed", int64(reply.Requests))
	d.options.Fleet.LearnLimit(reply.Limit)
	d.options.Fleet.Lent(w.News.Endpoint, fleet.Loan{Requests: reply.Requests, Until: asked.Add(reply.Lasts), Again: clock.Now().Add(reply.Again)})
}

// borrow asks the host that lends; false if none is found.
func (d *Desk) borrow(ctx context.Context, r Request) (Reply, bool) {
	if !d.options.Known() {
		return Reply{}, false
	}
	for range triesMost {
		h, first := d.lenderOf(r.Limit.Endpoint, "")
		if h.self {
			return d.lender.Lend(r, first, clock.Now()), true
		}
		reply, err := d.call(ctx, h, r, askPatience)
		if err == nil {
			return reply, true
		}
		if ctx.Err() != nil {
			return Reply{}, false
		}
	}
	return Reply{}, false
}

// Turn asks for one of the turns that all hosts together may have of something by its key, so many a
// second; granted tells whether this host has it, and wait when to ask again if not.
func (d *Desk) Turn(ctx context.Context, key string, rate float64) (wait time.Duration, granted bool) {
	now := clock.Now()
	reply, ok := d.borrow(ctx, Request{Requests: 1, From: d.options.Host, Unsaved: true, Limit: fleet.LimitNews{Endpoint: key, Rate: rate, Since: now, Heard: now}})
	if !ok {
		return nobodyPause, false
	}
	return reply.Again, reply.Requests > 0
}

// call asks a host, and notes whether it answers.
func (d *Desk) call(ctx context.Context, h host, r Request, patience time.Duration) (Reply, error) {
	limited, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	reply, err := d.options.Caller.Borrow(limited, h.Address, r)
	if ctx.Err() != nil {
		return reply, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		delete(d.away, h.Name)
		delete(d.failing, h.Name)
		return reply, nil
	}
	d.away[h.Name] = clock.Now().Add(awayFor)
	if !d.failing[h.Name] {
		d.failing[h.Name] = true
		d.options.Logger.Info("host does not lend of limits; the next one is asked", "from", h.Name, "endpoint", r.Limit.Endpoint, "error", err)
	}
	return reply, err
}

// Borrow answers another host: it lends, or asks the host that comes before it.
func (d *Desk) Borrow(ctx context.Context, r Request) Reply {
	d.mu.Lock()
	delete(d.away, r.From)
	d.mu.Unlock()
	h, first := d.lenderOf(r.Limit.Endpoint, r.From)
	if !h.self && !r.Relayed {
		relayed := r
		relayed.From, relayed.Relayed = d.options.Host, true
		if reply, err := d.call(ctx, h, relayed, relayPatience); err == nil {
			return reply
		}
		first = false
	}
	reply := d.lender.Lend(r, first && h.self, clock.Now())
	d.options.Telemetry.Count("limit_requests_lent", int64(reply.Requests))
	return reply
}

// lenderOf returns the host that lends of an endpoint's limit: the first in its order that answers,
// but one. First tells whether it is the first of all.
func (d *Desk) lenderOf(endpoint, but string) (found host, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.read()
	now, key := clock.Now(), xxhash.Sum64String(endpoint)
	best, least := math.Inf(1), math.Inf(1)
	for _, h := range d.hosts {
		w := fleet.Weight(key, h.seed)
		least = min(least, w)
		if w < best && h.Name != but && !now.Before(d.away[h.Name]) {
			found, best = h, w
		}
	}
	return found, best == least
}

// read brings the list of hosts up to date; the caller holds mu.
func (d *Desk) read() {
	if len(d.hosts) > 0 && clock.Since(d.readAt) < membersFor {
		return
	}
	d.hosts, d.readAt = d.hosts[:0], clock.Now()
	d.hosts = append(d.hosts, host{Member: Member{Name: d.options.Host}, seed: xxhash.Sum64String(d.options.Host), self: true})
	for _, m := range d.options.Members() {
		d.hosts = append(d.hosts, host{Member: m, seed: xxhash.Sum64String(m.Name)})
	}
}
