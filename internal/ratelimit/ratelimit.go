// Package ratelimit makes all hosts together respect the rate limits that endpoints announce: how
// many requests a second an endpoint accepts from all hosts in total. Where rejections are costly, it also
// makes them send an endpoint no more requests at a time than it has places.
//
// # Usage
//
//	l := ratelimit.NewLimiter(ratelimit.Options{Host: name, Fleet: f, Members: members, MembersKnown: known, Peers: peers})
//	ratelimit.Register(server, l)
//	go l.Run(ctx)
//
// For each endpoint one host, the lender, hands out its limit; rendezvous hashing over the list of
// hosts selects it. The other hosts borrow parts of the limit as they have requests. A loan is valid
// for a short time and expires by itself: if the borrower crashes, its loan is lost from the limit, and
// nothing has to be revoked. While the lender does not answer, the next host in the endpoint's order
// lends, at first only a part of the limit. A host that is asked although another host precedes it in
// the order forwards the request to that host, so two hosts lend at once only while they cannot reach
// each other. There is no consensus and no persistent state: a limit is what the endpoint announced
// moments ago. A host that learns that a limit begins, ends or changes, or that an endpoint leaves,
// tells a few random hosts, which tell others in turn (gossip).
//
// Places are counted by the same host, the owner. A host takes a place right before it sends a request
// and returns it with the load that the response reports. An owner that does not know what was sent
// before it began goes by reports, and gives little at first.
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

// Timeouts and intervals of calls between hosts.
const (
	askTimeout   = 250 * time.Millisecond
	relayTimeout = 100 * time.Millisecond
	// skipTime is how long a host that did not answer is skipped. It is short, so that all hosts
	// return to a lender at nearly the same time.
	skipTime = time.Second
	// noLenderPause is the delay before a host that found no lender asks again.
	noLenderPause = 200 * time.Millisecond
	// hostsMaxAge is how long the hashed list of hosts is used before it is rebuilt.
	hostsMaxAge = time.Second
)

// Bounds on calls between hosts.
const (
	// maxTries is how many hosts are asked for one loan, and for the known limits at start.
	maxTries = 3
	// maxConcurrentBorrows is how many borrow requests are in flight at once.
	maxConcurrentBorrows = 16
	// gossipFanout is how many hosts a host tells when it first learns that a limit begins, ends or
	// changes, or that an endpoint leaves. This is rumor spreading (Demers et al., "Epidemic algorithms for replicated database
	// maintenance", 1987).
	gossipFanout = 4
	// maxLimitsPerMessage is how many limits one message carries.
	maxLimitsPerMessage = 256
	// maxLeavingPerMessage is how many endpoints that leave one message names.
	maxLeavingPerMessage = 512
)

// Member is another host.
type Member struct{ Name, Address string }

// PeerClient calls other hosts.
type PeerClient interface {
	Borrow(ctx context.Context, address string, r Request) (Reply, error)
	SendNews(ctx context.Context, address string, n News) error
	// FetchNews returns what a host knows.
	FetchNews(ctx context.Context, address string) (News, error)
}

// News is what hosts tell each other of endpoints. It is immutable.
type News struct {
	Limits  []fleet.LimitUpdate
	Leaving []string // IDs of endpoints that have said that they leave
	Costly  []fleet.CostlyService
}

func (n News) empty() bool { return len(n.Limits) == 0 && len(n.Leaving) == 0 && len(n.Costly) == 0 }

// Options configure a Limiter.
type Options struct {
	Host  string // this host's name
	Fleet *fleet.Fleet
	// Members lists all other hosts; MembersKnown reports whether that list has been read.
	Members      func() []Member
	MembersKnown func() bool
	Peers        PeerClient
	Places       PlaceClient               // nil if this host counts places alone
	Refuses      func(address string) bool // whether no process listens there; nil if that is never known
	Telemetry    *telemetry.Telemetry
	Logger       *log.Logger
}

// Limiter borrows for this host and lends to other hosts. It is safe for concurrent use.
type Limiter struct {
	options     Options
	lender      *Lender
	places      *placeCounts
	contactDue  wake.Signal
	fetched     chan struct{} // closed once this host has asked for news, or found nobody to ask
	wake        wake.Signal
	borrowSlots chan struct{} // semaphore; holds one element for each borrow request in flight

	mu           sync.Mutex // guards all below
	hosts        []host     // includes this host; replaced when it changes
	hostsReadAt  clock.Instant
	orders       map[string][]*host       // by endpoint ID: hosts in the endpoint's order
	skippedUntil map[string]clock.Instant // by name: hosts that did not answer, and until when they are skipped
	logged       map[string]bool          // hosts whose failure to answer has been logged
}

// host is a host in the rendezvous order, with the hash of its name.
type host struct {
	Member
	hash uint64
	self bool
}

// Rank returns the position of a host in an endpoint's order, from 0 to 1. The host with the lowest
// rank lends.
func Rank(endpoint, host string) float64 {
	return fleet.RendezvousWeight(xxhash.Sum64String(endpoint), xxhash.Sum64String(host))
}

// NewLimiter returns a Limiter that Fleet wakes when there is something to borrow or to tell.
func NewLimiter(o Options) *Limiter {
	l := &Limiter{
		options: o, lender: NewLender(), places: newPlaceCounts(o.Host), contactDue: wake.NewSignal(), fetched: make(chan struct{}), wake: wake.NewSignal(), borrowSlots: make(chan struct{}, maxConcurrentBorrows),
		orders: map[string][]*host{}, skippedUntil: map[string]clock.Instant{}, logged: map[string]bool{},
	}
	o.Fleet.OnLoanNeeded(l.wake.Notify)
	return l
}

// Run borrows for this host and spreads limits until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	var working sync.WaitGroup
	defer working.Wait()
	working.Go(func() { l.fetchNews(ctx) })
	working.Go(func() { l.keepContact(ctx) })
	// A timer that calls a function may safely be due when it is set; a timer with a channel may not, see
	// clock.Sleep.
	timer := time.AfterFunc(0, l.wake.Notify)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		l.gossip(ctx, &working)
		list, next := l.options.Fleet.LoanRequests()
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

// gossip tells random hosts of limits that began, ended or changed, and of endpoints that leave.
func (l *Limiter) gossip(ctx context.Context, working *sync.WaitGroup) {
	if !l.options.MembersKnown() {
		return // all is sent with the next change, or by other hosts
	}
	news := News{Limits: l.options.Fleet.TakeLimitUpdates(maxLimitsPerMessage), Leaving: l.options.Fleet.TakeLeaving(maxLeavingPerMessage), Costly: l.options.Fleet.TakeCostly()}
	if news.empty() {
		return
	}
	for _, h := range l.randomHosts(gossipFanout) {
		working.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			if err := l.options.Peers.SendNews(callCtx, h.Address, news); err != nil && ctx.Err() == nil {
				l.options.Logger.Debug("cannot send news of endpoints to host", "to", h.Name, "limits", len(news.Limits), "leaving", len(news.Leaving), "error", err)
			}
		})
	}
}

// randomHosts returns up to limit other hosts, chosen at random, that are not skipped.
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

// drawsPerHost is how many random draws randomHosts makes at most for each host wanted.
const drawsPerHost = 4

// fetchNews runs at startup: it asks a few hosts, one after the other, for what they know of endpoints,
// until one answers.
func (l *Limiter) fetchNews(ctx context.Context) {
	defer close(l.fetched)
	for !l.options.MembersKnown() {
		if !clock.Sleep(ctx, membersPollInterval) {
			return
		}
	}
	for _, h := range l.randomHosts(maxTries) {
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
		news, err := l.options.Peers.FetchNews(callCtx, h.Address)
		cancel()
		if err == nil {
			l.ApplyNews(news)
			return
		}
		l.options.Logger.Debug("cannot fetch news of endpoints from host", "from", h.Name, "error", err)
	}
}

// Fetched returns a channel that is closed once this host has learned what others know of endpoints, or
// has found nobody who tells it.
func (l *Limiter) Fetched() <-chan struct{} { return l.fetched }

// membersPollInterval is how often a starting host checks whether the list of hosts has been read.
const membersPollInterval = 20 * time.Millisecond

// KnownNews returns what this host knows of endpoints, for a host that has just started.
func (l *Limiter) KnownNews() News {
	return News{Limits: l.options.Fleet.LimitUpdates(maxLimitsPerMessage), Leaving: l.options.Fleet.Leaving(maxLeavingPerMessage), Costly: l.options.Fleet.CostlyServices()}
}

// ApplyNews records what another host tells.
func (l *Limiter) ApplyNews(n News) {
	for _, limit := range n.Limits {
		l.options.Fleet.MergeLimit(limit)
	}
	for _, id := range n.Leaving {
		l.options.Fleet.NoteLeaving(id, fleet.NoticeSource{By: fleet.NoticeFromPeer})
	}
	for _, s := range n.Costly {
		l.options.Fleet.MergeCostly(s)
	}
}

// borrowWanted borrows a part of one endpoint's limit and passes the loan to the fleet.
func (l *Limiter) borrowWanted(ctx context.Context, w fleet.LoanRequest) {
	r := Request{Requests: w.Requests, Limit: w.Update, From: l.options.Host}
	sent := clock.Now()
	reply, ok := l.borrow(ctx, r)
	if !ok {
		l.options.Fleet.FinishLoan(w.Update.Endpoint, fleet.Loan{RetryAt: clock.Now().Add(noLenderPause)})
		return
	}
	l.options.Telemetry.Count("limit_requests_borrowed", int64(reply.Requests))
	l.options.Fleet.MergeLimit(reply.Limit)
	l.options.Fleet.FinishLoan(w.Update.Endpoint, fleet.Loan{Requests: reply.Requests, Until: sent.Add(reply.Validity), RetryAt: clock.Now().Add(reply.RetryAfter)})
}

// borrow requests a loan from the lender, which may be this host. It returns false if it finds
// no lender.
func (l *Limiter) borrow(ctx context.Context, r Request) (Reply, bool) {
	if !l.options.MembersKnown() {
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

// TryAcquire requests one permit for key, of which all hosts together get rate a second. It reports
// whether the permit was granted and, if not, how long to wait before asking again.
func (l *Limiter) TryAcquire(ctx context.Context, key string, rate float64) (wait time.Duration, granted bool) {
	now := clock.Now()
	reply, ok := l.borrow(ctx, Request{Requests: 1, From: l.options.Host, Unsaved: true, Limit: fleet.LimitUpdate{Endpoint: key, Rate: rate, Since: now, ConfirmedAt: now}})
	if !ok {
		return noLenderPause, false
	}
	return reply.RetryAfter, reply.Requests > 0
}

// borrowFrom requests a loan from a host, and records whether the host answers.
func (l *Limiter) borrowFrom(ctx context.Context, h host, r Request, timeout time.Duration) (Reply, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := l.options.Peers.Borrow(callCtx, h.Address, r)
	if ctx.Err() == nil {
		l.noteAnswer(h, r.Limit.Endpoint, err)
	}
	return reply, err
}

// noteAnswer records whether a host answered a question about an endpoint.
func (l *Limiter) noteAnswer(h host, endpoint string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		delete(l.skippedUntil, h.Name)
		delete(l.logged, h.Name)
		return
	}
	l.skippedUntil[h.Name] = clock.Now().Add(skipTime)
	if !l.logged[h.Name] {
		l.logged[h.Name] = true
		l.options.Logger.Info("host does not lend of limits; the next one is asked", "from", h.Name, "endpoint", endpoint, "error", err)
	}
}

// Borrow handles a request from another host: it forwards the request to a host that precedes this one
// in the order, or lends by itself.
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

// lenderOf returns the current lender of an endpoint: the first host in the endpoint's order that is
// neither skipped nor the host named except. First reports whether no host of the order precedes it.
func (l *Limiter) lenderOf(endpoint, except string) (found host, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshHosts()
	now, key := clock.Now(), xxhash.Sum64String(endpoint)
	best, lowest := math.Inf(1), math.Inf(1)
	for _, h := range l.hosts {
		w := fleet.RendezvousWeight(key, h.hash)
		lowest = min(lowest, w)
		if w < best && h.Name != except && !now.Before(l.skippedUntil[h.Name]) {
			found, best = h, w
		}
	}
	return found, best == lowest
}

// refreshHosts rebuilds the list of hosts if it is too old; the caller holds mu.
func (l *Limiter) refreshHosts() {
	if len(l.hosts) > 0 && clock.Since(l.hostsReadAt) < hostsMaxAge {
		return
	}
	l.hostsReadAt = clock.Now()
	hosts := []host{{Member: Member{Name: l.options.Host}, hash: xxhash.Sum64String(l.options.Host), self: true}}
	for _, m := range l.options.Members() {
		hosts = append(hosts, host{Member: m, hash: xxhash.Sum64String(m.Name)})
	}
	if !slices.Equal(hosts, l.hosts) {
		l.hosts = hosts
		clear(l.orders)
	}
}
