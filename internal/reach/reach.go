// Package reach connects a host to endpoints: directly where the host's own link works, and through
// another host where it does not.
//
// # Usage
//
//	t := reach.NewTracker(reach.Options{Helpers: helpers, Connect: connect, Endpoint: f.At, ...})
//	reach.Register(server, t)
//	c, err := t.Dial(ctx, "10.0.0.7:8080")
//	switch {
//	case errors.Is(err, reach.ErrDown): // the endpoint is not well: other hosts don't reach it either
//	case errors.Is(err, reach.ErrNoWay): // nothing is known of the endpoint, only of this host
//	}
//
// A host that gets no connection cannot tell by itself whether the endpoint is down or its own link
// is. In a partial partition the two differ: other hosts reach both. So before a host takes an
// endpoint for down it asks another host, a helper, to connect there. If the helper succeeds, the
// host's own way is lost: the connection is relayed by the helper, and nothing is held against the
// endpoint. Relaying connections over a node that reaches both sides follows Alfatafta et al.,
// "Toward a Generic Fault Tolerance Technique for Partial Network Partitioning" (OSDI 2020).
//
// Only bytes are relayed. The host that has the caller's request keeps deciding on it, so deadlines,
// attempts, retry budgets, rate limits and quarantine are counted there and nowhere else. A helper
// connects directly only, so no connection is relayed twice.
//
// Hosts exchange nothing about their links in advance: a host asks a few helpers when it needs to,
// whatever the number of hosts and endpoints.
package reach

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/telemetry"
)

// Errors of connecting to endpoints.
var (
	// ErrDown means that neither this host nor another one gets a connection to the endpoint.
	ErrDown = errors.New("the endpoint is down")
	// ErrNoWay means that this host gets no connection to the endpoint, directly or through another
	// host, and that it does not know whether the endpoint is down.
	ErrNoWay = errors.New("this host has no way to the endpoint")
	// ErrWayLost means that a connection ended because the link between hosts, or between this host
	// and the endpoint, was lost. It tells nothing about the endpoint.
	ErrWayLost = errors.New("the way to the endpoint was lost")
)

// Way is how a host reaches an endpoint: directly, or through the host with this address.
type Way string

// Direct is the way that passes no other host.
const Direct Way = ""

// Times of finding out which way works.
const (
	// hedgeDelay is how long a direct dial may take before another host is asked to connect too. A
	// dial between data halls takes a few milliseconds.
	hedgeDelay = 100 * time.Millisecond
	// doubtfulHedgeDelay is used instead while other ways of this host have just been lost.
	doubtfulHedgeDelay = 30 * time.Millisecond
	// settleTime is how long a direct dial may still succeed after a helper has connected.
	settleTime = 50 * time.Millisecond
	// stallTime is how long an endpoint may pause in a response, and firstStallTime how long it may
	// take to begin one, with nothing arriving on any other connection of the same way, before the way
	// is checked. Engines process long prompts before they respond.
	stallTime      = 150 * time.Millisecond
	firstStallTime = 400 * time.Millisecond
	// doubtTime is how long connections that have been idle since before another way was lost are
	// not trusted.
	doubtTime = 15 * time.Second
	// retryInterval is the time between direct dials to an address whose direct way is lost.
	retryInterval = time.Second
	// lostTime is how long a direct way counts as lost after a dial has last shown it. Nothing is sent
	// any more to an endpoint that is gone, so nobody would find out that its way is back.
	lostTime = 5 * time.Second
	// downTime is how long an endpoint that was found down is not dialed again.
	downTime = 200 * time.Millisecond
	// stallCheckAge and brokenCheckAge are how long the result of a check is used for other
	// connections that stall, and for others that break: those of a way break together.
	stallCheckAge  = time.Second
	brokenCheckAge = 50 * time.Millisecond
)

// Options configure a Tracker.
type Options struct {
	// Dial connects directly; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	Hall string // the host's own data hall
	// Helpers lists the other hosts; the list may be changed. Nil for a host alone.
	Helpers func() []Helper
	// Endpoint returns the service and the data hall of the endpoint at an address; empty if there is
	// none.
	Endpoint func(address string) (service, hall string)
	// Connect returns the connection to another host.
	Connect func(address string) (grpc.ClientConnInterface, error)
	// Takes reports whether the endpoint at an address takes requests from this host now, also ones of
	// other hosts that it relays; nil for always.
	Takes func(address string) bool
	// OnNotice is called with what another host heard from an endpoint over this one; it may be nil.
	OnNotice func(Notice)
	// MaxRelayed is the number of connections that the host relays at most at the same time.
	MaxRelayed int
	Telemetry  *telemetry.Telemetry
	Logger     *log.Logger
}

// Tracker knows which ways to endpoints work. It is safe for concurrent use.
type Tracker struct {
	options Options
	clock   clock.Steady
	server  *server

	mu        sync.Mutex // guards all below
	links     map[string]*link
	helpers   map[string]*helper
	listed    []Helper // all other hosts, as they were at listedAt
	listedAt  time.Duration
	lostCount int           // addresses whose direct way is lost
	doubtedAt time.Duration // when a direct way was last lost; 0 for never
}

// link is what is known of the ways to one address. Its fields are guarded by the tracker's mutex
// unless they are atomic.
type link struct {
	address   string
	heardAt   atomic.Int64  // when data last arrived on a direct connection, in ns of the tracker's clock
	lost      bool          // the direct way is lost
	shownAt   time.Duration // when a dial last showed that it is lost
	retryAt   time.Duration
	downUntil time.Duration // downErr is in force until then
	downErr   error
	conns     map[*Conn]struct{} // open connections
	checks    map[Way]*check     // the last one of each way
}

// NewTracker returns a tracker that takes all direct ways to work.
func NewTracker(o Options) *Tracker {
	if o.Dial == nil {
		o.Dial = conn.Dial
	}
	if o.Helpers == nil {
		o.Helpers = func() []Helper { return nil }
	}
	t := &Tracker{options: o, clock: clock.NewSteady(), links: map[string]*link{}, helpers: map[string]*helper{}}
	t.server = newServer(t)
	return t
}

// now reads the tracker's clock. It is never 0, which stands for no time.
func (t *Tracker) now() time.Duration { return t.clock.Now() + 1 }

// maxIdleLinks is the number of links above which those without connections are dropped.
const maxIdleLinks = 1024

// link returns the link to an address; the caller holds mu.
func (t *Tracker) link(address string) *link {
	l, ok := t.links[address]
	if ok {
		return l
	}
	if len(t.links) >= maxIdleLinks {
		for other, idle := range t.links {
			if len(idle.conns) == 0 && !idle.lost {
				delete(t.links, other)
			}
		}
	}
	l = &link{address: address, conns: map[*Conn]struct{}{}, checks: map[Way]*check{}}
	t.links[address] = l
	return l
}

// LostCount returns the number of addresses whose direct way is lost.
func (t *Tracker) LostCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLost()
	return t.lostCount
}

// expireLost forgets lost ways that nothing has shown for lostTime; the caller holds mu.
func (t *Tracker) expireLost() {
	if t.lostCount == 0 {
		return
	}
	now := t.now()
	for _, l := range t.links {
		if l.lost && now-l.shownAt > lostTime {
			l.lost = false
			t.lostCount--
		}
	}
}

// RelayedCount returns the number of connections that this host relays for other hosts.
func (t *Tracker) RelayedCount() int { return t.server.count() }

// Drain makes the host refuse to relay further connections, and tells the hosts whose connections
// it relays not to reuse them.
func (t *Tracker) Drain() { t.server.drain() }

// lose records that a way to an address is lost. If it is silent, it abandons the connections on which
// nothing has arrived since the dial that showed it began; where dials are refused, open connections
// may live on.
func (t *Tracker) lose(l *link, w Way, since time.Duration, reason error) {
	silent := w != Direct || !errors.Is(reason, syscall.ECONNREFUSED)
	t.mu.Lock()
	newly := w == Direct && !l.lost
	if w == Direct {
		l.shownAt = t.now()
	}
	if newly {
		l.lost = true
		t.lostCount++
		t.doubtedAt = t.now()
		l.retryAt = t.now() + retryInterval
	}
	var stalled []*Conn
	for c := range l.conns {
		if silent && c.way == w && c.stalledSince(since) {
			stalled = append(stalled, c)
		}
	}
	t.mu.Unlock()
	for _, c := range stalled {
		c.abandon()
	}
	if newly {
		t.options.Logger.Warn("direct way to an endpoint is lost", "address", l.address, "reason", reason, "connections_abandoned", len(stalled))
	}
}

// heard records that an address answered directly.
func (t *Tracker) heard(l *link) {
	l.heardAt.Store(int64(t.now()))
	t.mu.Lock()
	back := l.lost
	if back {
		l.lost = false
		t.lostCount--
	}
	l.downUntil = 0
	t.mu.Unlock()
	if back {
		t.options.Logger.Info("direct way to an endpoint is back", "address", l.address)
	}
}

// state is what is known of an address before a dial.
type state struct {
	lost     bool  // the direct way is lost
	retry    bool  // it is to be tried again
	downErr  error // set if the endpoint was found down a moment ago
	doubtful bool  // other ways were lost since the address was last heard
}

// stateOf returns the state of a link. A caller that is told to retry has to try the direct way.
func (t *Tracker) stateOf(l *link) state {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLost()
	now := t.now()
	s := state{lost: l.lost, doubtful: t.doubts(l, now)}
	if now < l.downUntil {
		s.downErr = l.downErr
	}
	if l.lost && now >= l.retryAt {
		s.retry = true
		l.retryAt = now + retryInterval
	}
	return s
}

// doubts reports whether an address has not been heard since other ways were lost; the caller holds
// mu.
func (t *Tracker) doubts(l *link, now time.Duration) bool {
	return t.doubtedAt > 0 && now-t.doubtedAt < doubtTime && time.Duration(l.heardAt.Load()) < t.doubtedAt
}

// trusts reports whether an idle connection of a way may be used.
func (t *Tracker) trusts(l *link, w Way) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w != Direct {
		return l.lost
	}
	return !l.lost && !t.doubts(l, t.now())
}

// isCutOff reports whether this host has lost any of its direct ways.
func (t *Tracker) isCutOff() bool { return t.LostCount() > 0 }
