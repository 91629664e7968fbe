// Package admission decides which requests a host starts now, which ones it queues and
// which ones it refuses before anything runs.
//
// # Usage
//
//	permit, err := controller.Admit(ctx, admission.Request{Workspace: "clerks", WorkspaceLimit: 50})
//	if err != nil { ... not_run ... }
//	defer permit.Release()
//
// A host runs a limited number of requests at a time and adapts the limit to the latency that it
// measures. Queued requests start by priority and, within a priority, by workspace: the workspace
// that uses the smallest fraction of its own limit goes first, so a large workspace can't starve a
// small one.
//
// For requests to engines and to endpoints with rate limits, the package also decides whether a
// request is sent, waits or is refused; see Decide, DecideRateLimited and WaitingList.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/declare"
)

// Errors returned by Admit. The request has not run when Admit returns any of them.
var (
	// ErrWorkspaceLimit means that the workspace has as many requests in flight and as many
	// queued as its limit allows.
	ErrWorkspaceLimit = errors.New("workspace is at its limit")
	// ErrQueueFull means that the host's queue is full.
	ErrQueueFull = errors.New("host is at its limit")
	// ErrDeadline means that the request could not start early enough before its deadline.
	ErrDeadline = errors.New("request could not start before its deadline")
	// ErrDraining means that the host is stopping.
	ErrDraining = errors.New("host is draining")
)

// Request describes a request that asks for admission.
type Request struct {
	Workspace      string
	WorkspaceLimit int // most requests of the workspace in flight
	Priority       declare.Priority
	Deadline       clock.Instant // zero means none
}

// Options configure a Controller or a Scheduler.
type Options struct {
	Limit int // most requests in flight
	Queue int // most requests waiting
}

// Controller admits requests. It is safe for concurrent use.
type Controller struct {
	mu        sync.Mutex // guards all fields below
	scheduler *Scheduler
	turns     map[int64]chan struct{} // by id of the queued request; closed when it starts
	draining  bool
	idle      chan struct{} // closed when draining and no request is in flight or queued
}

// NewController returns a controller with nothing in flight.
func NewController(options Options) *Controller {
	return &Controller{scheduler: NewScheduler(options), turns: map[int64]chan struct{}{}, idle: make(chan struct{})}
}

// Permit allows one request to run. The holder must call Release when the request is done.
type Permit struct {
	controller *Controller
	request    Request
	started    clock.Instant
	once       sync.Once
}

// Admit returns a permit, if necessary after waiting in the queue, or an error if the request is
// refused.
func (c *Controller) Admit(ctx context.Context, request Request) (*Permit, error) {
	id, turn, err := c.submit(request)
	if err != nil {
		return nil, err
	}
	if turn == nil {
		return c.newPermit(request), nil
	}
	return c.wait(ctx, request, id, turn)
}

func (c *Controller) newPermit(request Request) *Permit {
	return &Permit{controller: c, request: request, started: clock.Now()}
}

// submit offers a request to the scheduler. It returns a nil channel if the request may start at
// once; otherwise the channel closes when the request may start.
func (c *Controller) submit(request Request) (int64, chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return 0, nil, ErrDraining
	}
	verdict, id, err := c.scheduler.Offer(request, clock.Now())
	if err != nil || verdict == VerdictStart {
		return 0, nil, err
	}
	turn := make(chan struct{})
	c.turns[id] = turn
	return id, turn, nil
}

// maxWait returns how long a request may wait and still produce its first token by the deadline.
func (c *Controller) maxWait(deadline clock.Instant) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := clock.Until(deadline)
	return left - c.scheduler.StartMargin(left)
}

// wait blocks until the request may start, its deadline is too close or its context ends.
func (c *Controller) wait(ctx context.Context, request Request, id int64, turn chan struct{}) (*Permit, error) {
	var expired <-chan time.Time
	if !request.Deadline.IsZero() {
		left := max(c.maxWait(request.Deadline), time.Microsecond) // a timer must not be due when it is created: see clock.Sleep
		t := time.NewTimer(left)
		defer t.Stop()
		expired = t.C
	}
	var err error
	select {
	case <-turn:
		return c.newPermit(request), nil
	case <-expired:
		err = ErrDeadline
	case <-ctx.Done():
		err = ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.scheduler.Cancel(id) {
		delete(c.turns, id)
	} else {
		c.start(c.scheduler.Finish(request, 0)) // it was started at the same moment
	}
	c.closeWhenIdle()
	return nil, err
}

// start signals queued requests that they may start. The caller holds mu.
func (c *Controller) start(ids []int64) {
	for _, id := range ids {
		close(c.turns[id])
		delete(c.turns, id)
	}
}

// Release ends the request and starts queued ones in its place. Only the first call has an effect.
func (p *Permit) Release() {
	p.once.Do(func() {
		c := p.controller
		c.mu.Lock()
		defer c.mu.Unlock()
		c.start(c.scheduler.Finish(p.request, clock.Since(p.started)))
		c.closeWhenIdle()
	})
}

// RecordFirstToken records that the request's response has begun, so that the limit adapts to the
// time to the first token. The time counts from when the permit was issued: counting time in the
// queue would lower the limit and so lengthen the queue further.
func (p *Permit) RecordFirstToken(kind Kind) { p.controller.Observe(kind, clock.Since(p.started)) }

// Observe records the time from a permit's issue to the request's first token.
func (c *Controller) Observe(kind Kind, firstToken time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start(c.scheduler.Observe(kind, firstToken))
}

// InFlight returns the numbers of requests in flight and in the queue.
func (c *Controller) InFlight() (inFlight, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.InFlight()
}

// Limit returns the current limit of requests in flight.
func (c *Controller) Limit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.limit.current()
}

// Drain refuses new requests from now on. Queued requests are still served. The returned channel
// closes when no request is in flight or queued.
func (c *Controller) Drain() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.closeWhenIdle()
	return c.idle
}

// closeWhenIdle closes the channel that Drain returned once no request is in flight or queued. The
// caller holds mu.
func (c *Controller) closeWhenIdle() {
	inFlight, waiting := c.scheduler.InFlight()
	if !c.draining || inFlight+waiting > 0 {
		return
	}
	select {
	case <-c.idle:
	default:
		close(c.idle)
	}
}
