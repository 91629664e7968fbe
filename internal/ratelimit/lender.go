package ratelimit

import (
	"sync"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
)

// Parameters of lending.
const (
	// settle is for how long a host lends carefully after it has begun: what another one has
	// lent of the same limit may still be in use, and some hosts may still ask that one.
	settle = 3 * time.Second
	// carefully is the part of a limit that is lent until then. With another lender who lends
	// all of it the sum stays within one and a half times the limit.
	carefully = 0.5
	// freshFor is how young a limit is of which nobody else can have lent.
	freshFor = 2 * time.Second
	// quietLeast, and quietRequests of the limit's requests, is after how long without a
	// question a host begins anew: others may have been asked meanwhile.
	quietLeast    = 2 * time.Second
	quietRequests = 2
	// saved is for how long a limit is saved up while nobody asks, savedLeast requests at least.
	saved      = 250 * time.Millisecond
	savedLeast = 2
	// lastsLeast and lastsMost bound for how long a loan lasts; between them as long as one
	// request takes at the limit's rate.
	lastsLeast = 500 * time.Millisecond
	lastsMost  = 2 * time.Second
	// againLeast and againMost bound the time until a borrower asks again.
	againLeast = 20 * time.Millisecond
	againMost  = 5 * time.Second
	// keptFor is for how long an account is kept without a question.
	keptFor = time.Minute
)

// Request asks for a part of an endpoint's limit.
type Request struct {
	Requests int // 0 only tells of the limit
	Limit    fleet.LimitUpdate
	From     string // name of the host that asks
	Relayed  bool   // by a host that was asked
	Unsaved  bool   // nothing is saved up while nobody asks, but one request
}

// Reply is what is lent.
type Reply struct {
	Requests int
	Lasts    time.Duration // from the sending of the request on
	Again    time.Duration // after which more may be asked for
	Limit    fleet.LimitUpdate
}

// Lender lends parts of endpoints' limits; safe for use at once.
type Lender struct {
	began clock.Instant

	mu       sync.Mutex          // guards all below
	accounts map[string]*account // by the endpoint's id
}

// account is what has been lent of an endpoint's limit.
type account struct {
	limit  fleet.LimitUpdate
	level  float64       // requests that may be lent
	at     clock.Instant // of the level
	steady clock.Instant // from then on all of the limit is lent
	last   clock.Instant // when it was last asked for
	queue  float64       // hosts that found nothing, and have been told when to ask again
}

// NewLender returns a lender that has lent nothing.
func NewLender() *Lender {
	return &Lender{began: clock.Now(), accounts: map[string]*account{}}
}

// Lend answers a request at a moment. First tells whether this host is the one that all ask first.
func (l *Lender) Lend(r Request, first bool, now clock.Instant) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[r.Limit.Endpoint]
	if !ok {
		l.sweep(now)
		a = &account{limit: r.Limit}
		l.accounts[r.Limit.Endpoint] = a
	}
	if r.Limit.ConfirmedAt.After(a.limit.ConfirmedAt) {
		a.limit = r.Limit
	}
	if a.limit.Rate <= 0 || r.Requests <= 0 {
		return Reply{Limit: a.limit, Again: againLeast}
	}
	if quiet := max(quietLeast, clock.Seconds(quietRequests/a.limit.Rate)); now.Sub(a.last) > quiet {
		a.begin(now, first && a.limit.Since.After(l.began) && now.Sub(a.limit.Since) < freshFor)
	}
	return a.lend(r, now)
}

// begin starts to lend.
func (a *account) begin(now clock.Instant, fresh bool) {
	a.level, a.at, a.queue, a.steady = 0, now, 0, now.Add(settle)
	if fresh {
		a.level, a.steady = 1, now
	}
}

// lend lends as much as there is of what is asked for.
func (a *account) lend(r Request, now clock.Instant) Reply {
	rate := a.limit.Rate
	if now.Before(a.steady) {
		rate *= carefully
	}
	come := rate * now.Sub(a.at).Seconds()
	most := max(savedLeast, rate*saved.Seconds())
	if r.Unsaved {
		most = 1
	}
	a.level = min(most, a.level+come)
	a.queue = max(0, a.queue-come)
	a.at, a.last = now, now
	n := min(r.Requests, int(a.level))
	a.level -= float64(n)
	if n == 0 {
		a.queue++
	}
	next := clock.Seconds((max(a.queue, 1) - a.level) / rate)
	return Reply{
		Requests: n, Limit: a.limit, Again: min(max(next, againLeast), againMost),
		Lasts: min(max(clock.Seconds(1/a.limit.Rate), lastsLeast), lastsMost),
	}
}

// sweep drops accounts that nobody has asked for.
func (l *Lender) sweep(now clock.Instant) {
	for id, a := range l.accounts {
		if now.Sub(a.last) > keptFor && now.Sub(a.limit.ConfirmedAt) > keptFor {
			delete(l.accounts, id)
		}
	}
}
