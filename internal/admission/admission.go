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
	"sync"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/declare"
)

// Errors of Admit; nothing has run when one is returned.
var (
	// ErrWorkspaceLimit means that the workspace has its full count in flight and waiting.
	ErrWorkspaceLimit = errors.New("workspace is at its limit")
	// ErrQueueFull means that the host's queue is full.
	ErrQueueFull = errors.New("host is at its limit")
	// ErrDeadline means that the request could not start in time.
	ErrDeadline = errors.New("request could not start before its deadline")
	// ErrDraining means that the host is stopping.
	ErrDraining = errors.New("host is draining")
)

// Request is a request for a place.
type Request struct {
	Workspace      string
	WorkspaceLimit int // the workspace's limit of requests in flight
	Priority       declare.Priority
	Deadline       clock.Instant // zero means none
}

// Options set up a Controller.
type Options struct {
	Limit int // most requests in flight
	Queue int // most requests waiting
}

// Controller hands out places to requests at once.
type Controller struct {
	mu        sync.Mutex // guards all below
	scheduler *Scheduler
	turns     map[int64]chan struct{} // closed when their turn comes
	draining  bool
	idle      chan struct{} // closed when draining and nobody is left
}

// NewController returns a controller with nothing in flight.
func NewController(options Options) *Controller {
	return &Controller{scheduler: NewScheduler(options), turns: map[int64]chan struct{}{}, idle: make(chan struct{})}
}

// Permit is a request's place; it must be released.
type Permit struct {
	controller *Controller
	request    Request
	started    clock.Instant
	once       sync.Once
}

// Admit returns a place, waits for one, or refuses.
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

// submit puts a request into the line; a nil channel means that it may start.
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

// maxWait is how long a request may wait and still have a first token in time.
func (c *Controller) maxWait(deadline clock.Instant) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := clock.Until(deadline)
	return left - c.scheduler.StartMargin(left)
}

// wait blocks a request until its turn, its deadline or its caller's end.
func (c *Controller) wait(ctx context.Context, request Request, id int64, turn chan struct{}) (*Permit, error) {
	var expired <-chan time.Time
	if !request.Deadline.IsZero() {
		left := max(c.maxWait(request.Deadline), time.Microsecond) // no timer is due at its making: see clock.Sleep
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
		c.start(c.scheduler.Finish(request, 0)) // its turn came at the same time
	}
	c.closeWhenIdle()
	return nil, err
}

// start tells requests that their turn has come; the caller holds mu.
func (c *Controller) start(ids []int64) {
	for _, id := range ids {
		close(c.turns[id])
		delete(c.turns, id)
	}
}

// Release gives the place back.
func (p *Permit) Release() {
	p.once.Do(func() {
		c := p.controller
		c.mu.Lock()
		defer c.mu.Unlock()
		c.start(c.scheduler.Finish(p.request, clock.Since(p.started)))
		c.closeWhenIdle()
	})
}

// RecordFirstToken tells that the request's answer has begun, so that the limit can
// follow how long that takes. It counts from when the request got its place: its
// own wait in line must not make the line longer.
func (p *Permit) RecordFirstToken(kind Kind) { p.controller.Observe(kind, clock.Since(p.started)) }

// Observe tells how long a first token took from when its request got a place.
func (c *Controller) Observe(kind Kind, firstToken time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start(c.scheduler.Observe(kind, firstToken))
}

// InFlight counts requests with a place and requests that wait.
func (c *Controller) InFlight() (inFlight, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.InFlight()
}

// Limit is how many requests may be in flight just now.
func (c *Controller) Limit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.limit.current()
}

// Drain refuses new requests from now on; the channel closes when the last one
// in flight is done. Those that wait are still served.
func (c *Controller) Drain() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.closeWhenIdle()
	return c.idle
}

// closeWhenIdle tells Drain that nobody is left; the caller holds mu.
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
