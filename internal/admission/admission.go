// Package admission decides which requests a host takes on now, which wait and
// which are refused before anything runs.
//
// # Usage
//
//	place, err := controller.Admit(ctx, admission.Ask{Workspace: "clerks", Share: 50})
//	if err != nil { ... not_run ... }
//	defer place.Release()
//
// A host runs a limited count of requests, and the limit follows the latency
// that it sees. Waiting requests go by priority, and within one by the share of
// the host that their workspace has: the workspace that uses the least of its
// share goes first, so a large one can't starve a small one.
package admission

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/declare"
)

// Errors of Admit; nothing has run when one is returned.
var (
	// ErrShare means that the workspace has its full count in flight and waiting.
	ErrShare = errors.New("workspace is at its limit")
	// ErrQueue means that the host's queue is full.
	ErrQueue = errors.New("host is at its limit")
	// ErrDeadline means that the request could not start in time.
	ErrDeadline = errors.New("request could not start before its deadline")
	// ErrDraining means that the host is stopping.
	ErrDraining = errors.New("host is draining")
)

// Ask is a request for a place.
type Ask struct {
	Workspace string
	Share     int // the workspace's limit of requests in flight
	Priority  declare.Priority
	Deadline  time.Time // zero means none
}

// Options set up a Controller.
type Options struct {
	Limit int // most requests in flight
	Queue int // most requests waiting
}

// Controller hands out places.
type Controller struct {
	options Options

	mu       sync.Mutex // guards all below
	limit    limiter
	flying   int
	shares   map[string]int // in flight, by workspace
	waiting  []*waiter
	draining bool
	idle     chan struct{} // closed when draining and nothing is in flight
	mean     float64       // smoothed seconds that a request holds its place
}

// waiter is a request in the queue.
type waiter struct {
	ask   Ask
	since time.Time
	grant chan struct{}
	taken bool
}

// NewController returns a controller with nothing in flight.
func NewController(options Options) *Controller {
	return &Controller{
		options: options,
		limit:   newLimiter(options.Limit),
		shares:  map[string]int{},
		idle:    make(chan struct{}),
	}
}

// Place is a request's place; it must be released.
type Place struct {
	controller *Controller
	ask        Ask
	started    time.Time
	once       sync.Once
}

// Admit returns a place, waits for one, or refuses.
func (c *Controller) Admit(ctx context.Context, ask Ask) (*Place, error) {
	c.mu.Lock()
	if err := c.refusalLocked(ask); err != nil {
		c.mu.Unlock()
		return nil, err
	}
	if c.flying < c.limit.now() && c.shares[ask.Workspace] < ask.Share {
		place := c.startLocked(ask)
		c.mu.Unlock()
		return place, nil
	}
	w := &waiter{ask: ask, since: time.Now(), grant: make(chan struct{})}
	c.waiting = append(c.waiting, w)
	c.mu.Unlock()
	return c.wait(ctx, w)
}

// refusalLocked tells why a request can't even wait; the caller holds mu.
func (c *Controller) refusalLocked(ask Ask) error {
	if c.draining {
		return ErrDraining
	}
	mine := 0
	for _, w := range c.waiting {
		if w.ask.Workspace == ask.Workspace {
			mine++
		}
	}
	if len(c.waiting) >= c.options.Queue {
		return ErrQueue
	}
	if c.shares[ask.Workspace] >= ask.Share && mine >= ask.Share {
		return ErrShare
	}
	if !ask.Deadline.IsZero() && time.Now().Add(c.expectedWaitLocked()).After(ask.Deadline) {
		return ErrDeadline
	}
	return nil
}

// expectedWaitLocked estimates a newcomer's wait; the caller holds mu.
func (c *Controller) expectedWaitLocked() time.Duration {
	if c.flying < c.limit.now() {
		return 0
	}
	turns := float64(len(c.waiting)+1) / float64(max(c.limit.now(), 1))
	return time.Duration(turns * c.mean * float64(time.Second))
}

// startLocked takes a place; the caller holds mu.
func (c *Controller) startLocked(ask Ask) *Place {
	c.flying++
	c.shares[ask.Workspace]++
	return &Place{controller: c, ask: ask, started: time.Now()}
}

// wait blocks a waiter until its turn, its deadline or its caller's end.
func (c *Controller) wait(ctx context.Context, w *waiter) (*Place, error) {
	var late <-chan time.Time
	if !w.ask.Deadline.IsZero() {
		t := time.NewTimer(time.Until(w.ask.Deadline))
		defer t.Stop()
		late = t.C
	}
	var cause error
	select {
	case <-w.grant:
		return &Place{controller: c, ask: w.ask, started: time.Now()}, nil
	case <-late:
		cause = ErrDeadline
	case <-ctx.Done():
		cause = ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.taken {
		c.finishLocked(w.ask)
		return nil, cause
	}
	c.removeLocked(w)
	return nil, cause
}

func (c *Controller) removeLocked(w *waiter) {
	for i, other := range c.waiting {
		if other == w {
			c.waiting = append(c.waiting[:i:i], c.waiting[i+1:]...)
			return
		}
	}
}

// Release gives the place back.
func (p *Place) Release() {
	p.once.Do(func() {
		c := p.controller
		c.mu.Lock()
		defer c.mu.Unlock()
		held := time.Since(p.started).Seconds()
		if c.mean == 0 {
			c.mean = held
		}
		c.mean += (held - c.mean) * smoothing
		c.finishLocked(p.ask)
	})
}

// smoothing of the mean time that requests hold places.
const smoothing = 0.05

// finishLocked ends a request and starts those whose turn it is; the caller
// holds mu.
func (c *Controller) finishLocked(ask Ask) {
	c.flying--
	c.shares[ask.Workspace]--
	if c.shares[ask.Workspace] == 0 {
		delete(c.shares, ask.Workspace)
	}
	c.startWaitingLocked()
	if c.draining && c.flying == 0 {
		c.closeIdleLocked()
	}
}

func (c *Controller) startWaitingLocked() {
	for c.flying < c.limit.now() {
		i := Next(c.queueLocked())
		if i < 0 {
			return
		}
		w := c.waiting[i]
		c.waiting = append(c.waiting[:i:i], c.waiting[i+1:]...)
		w.taken = true
		c.flying++
		c.shares[w.ask.Workspace]++
		close(w.grant)
	}
}

// Queued is a waiting request as the decision sees it.
type Queued struct {
	Priority declare.Priority
	Used     int // its workspace's requests in flight
	Share    int
}

func (c *Controller) queueLocked() []Queued {
	queue := make([]Queued, len(c.waiting))
	for i, w := range c.waiting {
		queue[i] = Queued{Priority: w.ask.Priority, Used: c.shares[w.ask.Workspace], Share: w.ask.Share}
	}
	return queue
}

// Next picks the request to start from a queue in order of arrival, or -1 if
// none may: higher priority first, then the workspace that uses the smallest
// part of its share, then the first come.
func Next(queue []Queued) int {
	best, bestRank := -1, math.Inf(1)
	for i, q := range queue {
		if q.Used >= q.Share {
			continue
		}
		rank := float64(q.Used) / float64(q.Share)
		if q.Priority == declare.PriorityBatch {
			rank += batchPenalty
		}
		if rank < bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

// batchPenalty puts every batch request behind every interactive one; a part of
// a share is less than 1.
const batchPenalty = 2

// Observe tells how long the first token of an answer took, so that the limit
// can follow.
func (c *Controller) Observe(firstToken time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit.observe(firstToken, c.flying)
	c.startWaitingLocked()
}

// InFlight counts requests with a place and requests that wait.
func (c *Controller) InFlight() (flying, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flying, len(c.waiting)
}

// Drain refuses new requests from now on; the channel closes when the last one
// in flight is done. Those that wait are still served.
func (c *Controller) Drain() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.flying == 0 && len(c.waiting) == 0 {
		c.closeIdleLocked()
	}
	return c.idle
}

func (c *Controller) closeIdleLocked() {
	select {
	case <-c.idle:
	default:
		close(c.idle)
	}
}
