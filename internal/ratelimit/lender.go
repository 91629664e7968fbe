package ratelimit

import (
	"sync"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
)

// Parameters of lending.
const (
	// cautiousFor is how long a host lends only a part of a limit after it starts to lend: loans by
	// another host from the same limit may still be in use, and some hosts may still ask that host.
	cautiousFor = 3 * time.Second
	// cautiousShare is the part of a limit that is lent during that time. Together with another
	// lender that lends the whole limit, the sum stays within 1.5 times the limit.
	cautiousShare = 0.5
	// newLimitAge is the age below which a limit is too new for another host to have lent from it.
	newLimitAge = 2 * time.Second
	// minIdle, or the time in which the limit allows idleRequests requests if that is longer, is the
	// time without requests after which a lender starts over: other hosts may have been asked since.
	minIdle      = 2 * time.Second
	idleRequests = 2
	// burstTime is the time for which an unused limit accumulates; minBurst is the least capacity
	// that results, in requests.
	burstTime = 250 * time.Millisecond
	minBurst  = 2
	// minValidity and maxValidity bound how long a loan is valid. Between them, a loan is valid for
	// the time that one request takes at the limit's rate.
	minValidity = 500 * time.Millisecond
	maxValidity = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay before a borrower asks again.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// bucketTTL is how long a bucket without requests is kept.
	bucketTTL = time.Minute
)

// Request asks for a part of an endpoint's limit.
type Request struct {
	Requests int // 0 only reports the limit to the lender
	Limit    fleet.LimitUpdate
	From     string // name of the host that sends the request
	Relayed  bool   // forwarded by a host that was asked first
	Unsaved  bool   // an unused limit accumulates to one request only
}

// Reply is a loan, which may be empty.
type Reply struct {
	Requests   int
	Validity   time.Duration // validity of the loan, counted from when the borrower sent its request
	RetryAfter time.Duration // delay before the borrower may ask for more
	Limit      fleet.LimitUpdate
}

// Lender lends parts of endpoints' limits. It is safe for concurrent use.
type Lender struct {
	began clock.Instant

	mu      sync.Mutex         // guards all below
	buckets map[string]*bucket // by endpoint ID
}

// bucket is the token bucket of one endpoint's limit.
type bucket struct {
	limit         fleet.LimitUpdate
	tokens        float64       // requests that may be lent now
	updated       clock.Instant // when tokens was last computed
	cautiousUntil clock.Instant // the whole limit is lent from then on
	lastRequest   clock.Instant // when a loan was last requested
	waiting       float64       // hosts that got no loan and were told when to ask again
}

// NewLender returns a lender that has lent nothing.
func NewLender() *Lender {
	return &Lender{began: clock.Now(), buckets: map[string]*bucket{}}
}

// Lend handles a request received at now. First reports whether this host is the first in the
// endpoint's order, which all hosts ask first.
func (l *Lender) Lend(r Request, first bool, now clock.Instant) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[r.Limit.Endpoint]
	if !ok {
		l.dropIdle(now)
		b = &bucket{limit: r.Limit}
		l.buckets[r.Limit.Endpoint] = b
	}
	if r.Limit.ConfirmedAt.After(b.limit.ConfirmedAt) {
		b.limit = r.Limit
	}
	if b.limit.Rate <= 0 || r.Requests <= 0 {
		return Reply{Limit: b.limit, RetryAfter: minRetryDelay}
	}
	if idle := max(minIdle, clock.Seconds(idleRequests/b.limit.Rate)); now.Sub(b.lastRequest) > idle {
		b.reset(now, first && b.limit.Since.After(l.began) && now.Sub(b.limit.Since) < newLimitAge)
	}
	return b.lend(r, now)
}

// reset empties the bucket and starts the cautious time; a limit too new for another host to have lent
// from (fresh) starts with one request and is lent whole at once.
func (b *bucket) reset(now clock.Instant, fresh bool) {
	b.tokens, b.updated, b.waiting, b.cautiousUntil = 0, now, 0, now.Add(cautiousFor)
	if fresh {
		b.tokens, b.cautiousUntil = 1, now
	}
}

// lend lends as many of the requested requests as the bucket holds.
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
		Requests: n, Limit: b.limit, RetryAfter: min(max(delay, minRetryDelay), maxRetryDelay),
		Validity: min(max(clock.Seconds(1/b.limit.Rate), minValidity), maxValidity),
	}
}

// dropIdle deletes buckets whose limit was neither requested nor reported for bucketTTL.
func (l *Lender) dropIdle(now clock.Instant) {
	for id, b := range l.buckets {
		if now.Sub(b.lastRequest) > bucketTTL && now.Sub(b.limit.ConfirmedAt) > bucketTTL {
			delete(l.buckets, id)
		}
	}
}
