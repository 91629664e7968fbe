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
	askTimeout   = 250 * time.Millisecond
	relayTimeout = 100 * time.Millisecond
	// skipTime is how long a host is passed over that has not answered. It is short, so that all
	// come back to a lender at nearly the same time.
	skipTime = time.Second
	// noLenderPause is after how long a host asks again that has found no lender.
	noLenderPause = 200 * time.Millisecond
	// hostsMaxAge is how long the list of hosts is kept in the order's form.
	hostsMaxAge = time.Second
)

// Bounds of questions.
const (
	// maxTries hosts are asked for one question.
	maxTries = 3
	// maxConcurrentBorrows questions are under way at once.
	maxConcurrentBorrows = 16
	// gossipFanout hosts are told of a limit that begins, ends or changes, by each that hears of it for
	// the first time, as rumours spread (Demers et al., "Epidemic algorithms for replicated database
	// maintenance", 1987).
	gossipFanout = 4
	// maxLimitsPerMessage limits are told of in a message.
	maxLimitsPerMessage = 256
)

// Member is another host.
type Member struct{ Name, Address string }

// PeerClient asks other hosts.
type PeerClient interface {
	Borrow(ctx context.Context, address string, r Request) (Reply, error)
	SendLimits(ctx context.Context, address string, news []fleet.LimitNews) error
	// FetchLimits asks for the limits that a host knows of.
	FetchLimits(ctx context.Context, address string) ([]fleet.LimitNews, error)
}

// Options set up a Desk.
type Options struct {
	Host  string // this host's name
	Fleet *fleet.Fleet
	// Members lists all other hosts, and Known tells whether the list was read.
	Members   func() []Member
	Known     func() bool
	Caller    PeerClient
	Telemetry *telemetry.Telemetry
	Logger    *log.Logger
}

// Limiter borrows for this host, and lends to others; safe for use at once.
type Limiter struct {
	options     Options
	lender      *Lender
	wake        wake.Signal
	borrowSlots chan struct{} // holds one for each question under way

	mu           sync.Mutex // guards all below
	hosts        []host     // this one too
	hostsReadAt  clock.Instant
	skippedUntil map[string]clock.Instant // hosts that have not answered, by name, and until when they are passed over
	logged       map[string]bool          // hosts of which a line says that they don't answer
}

// host is a host in the endpoints' orders.
type host struct {
	Member
	hash uint64
	self bool
}

// Rank is a host's place in an endpoint's order, 0 to 1; the one with the least lends.
func Rank(endpoint, host string) float64 {
	return fleet.Weight(xxhash.Sum64String(endpoint), xxhash.Sum64String(host))
}

// NewLimiter returns a desk.
func NewLimiter(o Options) *Limiter {
	l := &Limiter{
		options: o, lender: NewLender(), wake: wake.NewSignal(), borrowSlots: make(chan struct{}, maxConcurrentBorrows),
		skippedUntil: map[string]clock.Instant{}, logged: map[string]bool{},
	}
	o.Fleet.OnWanted(l.wake.Poke)
	return l
}

// Run borrows until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	var working sync.WaitGroup
	defer working.Wait()
	working.Go(func() { l.fetchLimits(ctx) })
	// As a function's, the timer may be due at its setting; see clock.Sleep.
	timer := time.AfterFunc(0, l.wake.Poke)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		l.gossip(ctx, &working)
		list, next := l.options.Fleet.Wanted()
		for _, w := range list {
			select {
			case l.borrowSlots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			working.Go(func() {
				defer func() { <-l.borrowSlots }()
				l.borrowWanted(ctx, w)
			})
		}
		if !next.IsZero() {
			timer.Reset(max(clock.Until(next), 0))
		}
	}
}

// gossip spreads what has changed.
func (l *Limiter) gossip(ctx context.Context, working *sync.WaitGroup) {
	if !l.options.Known() {
		return // it is told with the next news, or by others
	}
	news := l.options.Fleet.FreshNews(maxLimitsPerMessage)
	if len(news) == 0 {
		return
	}
	for _, h := range l.randomHosts(gossipFanout) {
		working.Go(func() {
			limited, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			if err := l.options.Caller.SendLimits(limited, h.Address, news); err != nil && ctx.Err() == nil {
				l.options.Logger.Debug("host not told of limits", "to", h.Name, "count", len(news), "error", err)
			}
		})
	}
}

// randomHosts returns other hosts by chance.
func (l *Limiter) randomHosts(limit int) []host {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshHosts()
	now := clock.Now()
	var found []host
	for range drawsPerHost * limit {
		h := l.hosts[rand.IntN(len(l.hosts))]
		if len(found) < limit && !h.self && !now.Before(l.skippedUntil[h.Name]) && !slices.Contains(found, h) {
			found = append(found, h)
		}
	}
	return found
}

// drawsPerHost is how many draws a host that is told takes at most.
const drawsPerHost = 4

// fetchLimits asks some hosts, one after the other, what limits there are, as this one starts.
func (l *Limiter) fetchLimits(ctx context.Context) {
	for !l.options.Known() {
		if !clock.Sleep(ctx, membersPollInterval) {
			return
		}
	}
	for _, h := range l.randomHosts(maxTries) {
		limited, cancel := context.WithTimeout(ctx, askTimeout)
		news, err := l.options.Caller.FetchLimits(limited, h.Address)
		cancel()
		if err == nil {
			l.ApplyLimits(news)
			return
		}
		l.options.Logger.Debug("host does not tell of limits", "from", h.Name, "error", err)
	}
}

// membersPollInterval is after how long a host that starts looks again whether it knows the list of hosts.
const membersPollInterval = 20 * time.Millisecond

// KnownLimits lists the limits that this host knows of, for one that starts.
func (l *Limiter) KnownLimits() []fleet.LimitNews {
	return l.options.Fleet.LimitNews(maxLimitsPerMessage)
}

// ApplyLimits takes in what another host tells.
func (l *Limiter) ApplyLimits(news []fleet.LimitNews) {
	for _, n := range news {
		l.options.Fleet.LearnLimit(n)
	}
}

// borrowWanted borrows of an endpoint's limit.
func (l *Limiter) borrowWanted(ctx context.Context, w fleet.Want) {
	r := Request{Requests: w.Requests, Limit: w.News, From: l.options.Host}
	sent := clock.Now()
	reply, ok := l.borrow(ctx, r)
	if !ok {
		l.options.Fleet.Lent(w.News.Endpoint, fleet.Loan{Again: clock.Now().Add(noLenderPause)})
		return
	}
	l.options.Telemetry.Count("limit_requests_borrowed", int64(reply.Requests))
	l.options.Fleet.LearnLimit(reply.Limit)
	l.options.Fleet.Lent(w.News.Endpoint, fleet.Loan{Requests: reply.Requests, Until: sent.Add(reply.Lasts), Again: clock.Now().Add(reply.Again)})
}

// borrow asks the host that lends; false if none is found.
func (l *Limiter) borrow(ctx context.Context, r Request) (Reply, bool) {
	if !l.options.Known() {
		return Reply{}, false
	}
	for range maxTries {
		h, first := l.lenderOf(r.Limit.Endpoint, "")
		if h.self {
			return l.lender.Lend(r, first, clock.Now()), true
		}
		reply, err := l.borrowFrom(ctx, h, r, askTimeout)
		if err == nil {
			return reply, true
		}
		if ctx.Err() != nil {
			return Reply{}, false
		}
	}
	return Reply{}, false
}

// TryAcquire asks for one of the turns that all hosts together may have of something by its key, so many a
// second; granted tells whether this host has it, and wait when to ask again if not.
func (l *Limiter) TryAcquire(ctx context.Context, key string, rate float64) (wait time.Duration, granted bool) {
	now := clock.Now()
	reply, ok := l.borrow(ctx, Request{Requests: 1, From: l.options.Host, Unsaved: true, Limit: fleet.LimitNews{Endpoint: key, Rate: rate, Since: now, Heard: now}})
	if !ok {
		return noLenderPause, false
	}
	return reply.Again, reply.Requests > 0
}

// borrowFrom asks a host, and notes whether it answers.
func (l *Limiter) borrowFrom(ctx context.Context, h host, r Request, timeout time.Duration) (Reply, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := l.options.Caller.Borrow(limited, h.Address, r)
	if ctx.Err() != nil {
		return reply, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		delete(l.skippedUntil, h.Name)
		delete(l.logged, h.Name)
		return reply, nil
	}
	l.skippedUntil[h.Name] = clock.Now().Add(skipTime)
	if !l.logged[h.Name] {
		l.logged[h.Name] = true
		l.options.Logger.Info("host does not lend of limits; the next one is asked", "from", h.Name, "endpoint", r.Limit.Endpoint, "error", err)
	}
	return reply, err
}

// Borrow answers another host: it lends, or asks the host that comes before it.
func (l *Limiter) Borrow(ctx context.Context, r Request) Reply {
	l.mu.Lock()
	delete(l.skippedUntil, r.From)
	l.mu.Unlock()
	h, first := l.lenderOf(r.Limit.Endpoint, r.From)
	if !h.self && !r.Relayed {
		relayed := r
		relayed.From, relayed.Relayed = l.options.Host, true
		if reply, err := l.borrowFrom(ctx, h, relayed, relayTimeout); err == nil {
			return reply
		}
		first = false
	}
	reply := l.lender.Lend(r, first && h.self, clock.Now())
	l.options.Telemetry.Count("limit_requests_lent", int64(reply.Requests))
	return reply
}

// lenderOf returns the host that lends of an endpoint's limit: the first in its order that answers,
// but one. First tells whether it is the first of all.
func (l *Limiter) lenderOf(endpoint, except string) (found host, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshHosts()
	now, key := clock.Now(), xxhash.Sum64String(endpoint)
	best, lowest := math.Inf(1), math.Inf(1)
	for _, h := range l.hosts {
		w := fleet.Weight(key, h.hash)
		lowest = min(lowest, w)
		if w < best && h.Name != except && !now.Before(l.skippedUntil[h.Name]) {
			found, best = h, w
		}
	}
	return found, best == lowest
}

// refreshHosts brings the list of hosts up to date; the caller holds mu.
func (l *Limiter) refreshHosts() {
	if len(l.hosts) > 0 && clock.Since(l.hostsReadAt) < hostsMaxAge {
		return
	}
	l.hosts, l.hostsReadAt = l.hosts[:0], clock.Now()
	l.hosts = append(l.hosts, host{Member: Member{Name: l.options.Host}, hash: xxhash.Sum64String(l.options.Host), self: true})
	for _, m := range l.options.Members() {
		l.hosts = append(l.hosts, host{Member: m, hash: xxhash.Sum64String(m.Name)})
	}
}
