package ratelimit

import (
	"sync"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
)

// Parameters of lending.
const (
	// cautiousFor is for how long a host lends carefully after it has begun: what another one has
	// lent of the same limit may still be in use, and some hosts may still ask that one.
	cautiousFor = 3 * time.Second
	// cautiousShare is the part of a limit that is lent until then. With another lender who lends
	// all of it the sum stays within one and a half times the limit.
	cautiousShare = 0.5
	// newLimitAge is how young a limit is of which nobody else can have lent.
	newLimitAge = 2 * time.Second
	// minIdle, and quietRequests of the limit's requests, is after how long without a
	// question a host begins anew: others may have been asked meanwhile.
	minIdle      = 2 * time.Second
	idleRequests = 2
	// burstTime is for how long a limit is burstTime up while nobody asks, savedLeast requests at least.
	burstTime = 250 * time.Millisecond
	minBurst  = 2
	// minValidity and lastsMost bound for how long a loan lasts; between them as long as one
	// request takes at the limit's rate.
	minValidity = 500 * time.Millisecond
	maxValidity = 2 * time.Second
	// minRetryDelay and againMost bound the time until a borrower asks again.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// bucketTTL is for how long an account is kept without a question.
	bucketTTL = time.Minute
)

// Request asks for a part of an endpoint's limit.
type Request struct {
	Requests int // 0 only tells of the limit
	Limit    fleet.LimitNews
	From     string // name of the host that asks
	Relayed  bool   // by a host that was asked
	Unsaved  bool   // nothing is saved up while nobody asks, but one request
}

// Reply is what is lent.
type Reply struct {
	Requests int
	Lasts    time.Duration // from the sending of the request on
	Again    time.Duration // after which more may be asked for
	Limit    fleet.LimitNews
}

// Lender lends parts of endpoints' limits; safe for use at once.
type Lender struct {
	began clock.Instant

	mu      sync.Mutex         // guards all below
	buckets map[string]*bucket // by the endpoint's id
}

// bucket is what has been lent of an endpoint's limit.
type bucket struct {
	limit         fleet.LimitNews
	tokens        float64       // requests that may be lent
	updated       clock.Instant // of the level
	cautiousUntil clock.Instant // from then on all of the limit is lent
	lastRequest   clock.Instant // when it was last asked for
	waiting       float64       // hosts that found nothing, and have been told when to ask again
}

// NewLender returns a lender that has lent nothing.
func NewLender() *Lender {
	return &Lender{began: clock.Now(), buckets: map[string]*bucket{}}
}

// Lend answers a request at a moment. First tells whether this host is the one that all ask first.
func (l *Lender) Lend(r Request, first bool, now clock.Instant) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[r.Limit.Endpoint]
	if !ok {
		l.dropIdle(now)
		b = &bucket{limit: r.Limit}
		l.buckets[r.Limit.Endpoint] = b
	}
	if r.Limit.Heard.After(b.limit.Heard) {
		b.limit = r.Limit
	}
	if b.limit.Rate <= 0 || r.Requests <= 0 {
		return Reply{Limit: b.limit, Again: minRetryDelay}
	}
	if idle := max(minIdle, clock.Seconds(idleRequests/b.limit.Rate)); now.Sub(b.lastRequest) > idle {
		b.reset(now, first && b.limit.Since.After(l.began) && now.Sub(b.limit.Since) < newLimitAge)
	}
	return b.lend(r, now)
}

// reset starts to lend.
func (b *bucket) reset(now clock.Instant, fresh bool) {
	b.tokens, b.updated, b.waiting, b.cautiousUntil = 0, now, 0, now.Add(cautiousFor)
	if fresh {
		b.tokens, b.cautiousUntil = 1, now
	}
}

// lend lends as much as there is of what is asked for.
func (b *bucket) lend(r Request, now clock.Instant) Reply {
	rate := b.limit.Rate
	if now.Before(b.cautiousUntil) {
		rate *= cautiousShare
	}
	refill := rate * now.Sub(b.updated).Seconds()
	burst := max(minBurst, rate*burstTime.Seconds())
	if r.Unsaved {
		burst = 1
	}
	b.tokens = min(burst, b.tokens+refill)
	b.waiting = max(0, b.waiting-refill)
	b.updated, b.lastRequest = now, now
	n := min(r.Requests, int(b.tokens))
	b.tokens -= float64(n)
	if n == 0 {
		b.waiting++
	}
	delay := clock.Seconds((max(b.waiting, 1) - b.tokens) / rate)
	return Reply{
		Requests: n, Limit: b.limit, Again: min(max(delay, minRetryDelay), maxRetryDelay),
		Lasts: min(max(clock.Seconds(1/b.limit.Rate), minValidity), maxValidity),
	}
}

// dropIdle drops accounts that nobody has asked for.
func (l *Lender) dropIdle(now clock.Instant) {
	for id, b := range l.buckets {
		if now.Sub(b.lastRequest) > bucketTTL && now.Sub(b.limit.Heard) > bucketTTL {
			delete(l.buckets, id)
		}
	}
}
