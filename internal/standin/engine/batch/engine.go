// Package batch simulates engines with continuous batching and chunked prefill in virtual time, and
// callers that reach them through a fleet. It uses no network, no goroutines and no timers: Clock runs
// all events, so hundreds of engines run much faster than real time and each run of a seed is the same.
//
// # Usage
//
//	l := batch.NewLoad(batch.LoadOptions{Engines: 60, Engine: options, Kinds: kinds, Seed: 1})
//	l.Run(5 * time.Second)
//	l.Count()
//	l.SetRate("long", 8)
//	l.Run(10 * time.Second)
//	counts := l.Finish()
package batch

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"quaybarrow/internal/fleet"
)

// Errors of Submit and Request.OnEnd.
var (
	ErrFull    = errors.New("slots and queue are full; the request did not run")
	ErrDown    = errors.New("engine is down")
	ErrCrashed = errors.New("engine crashed")
)

// PrefillOrder is the order in which an engine reads the prompts of admitted requests.
type PrefillOrder int

// Orders of prefill.
const (
	FirstAdmitted PrefillOrder = iota
	MostUrgent
)

// Options are the parameters of an engine.
type Options struct {
	Slots, Queue      int                // requests that run, and that wait
	Chunk             int                // prompt tokens that a step reads at most
	Step, StepPerSlot time.Duration      // of a step, and of each running request in it
	TokensPerMs       float64            // prompt tokens read in a millisecond
	Memory            int                // tokens of running requests and kept parts
	Paces             map[string]float64 // by model, relative to a model of pace 1
	Order             PrefillOrder
}

// Request is a request to an engine. The functions may be nil.
type Request struct {
	Model                   string
	Urgency                 int    // the lowest first
	Shared                  uint64 // ID of the shared beginning of the prompt, for the model
	SharedTokens, OwnTokens int    // of the prompt; at least one own token is read
	Out, EventTokens        int    // tokens of the response, and of each of its events
	OnHead                  func() // the first token was made
	OnEvent                 func(at time.Duration)
	OnEnd                   func(error) // nil, or ErrCrashed
}

// Run is a request that an engine has accepted.
type Run struct {
	Request
	engine  *Engine
	pace    float64 // of its model
	unread  int     // prompt tokens
	started bool    // prefill has started
	reading int     // prompt tokens that the current step reads
	made    int     // tokens of the response
}

// Made returns the number of tokens made so far.
func (r *Run) Made() int { return r.made }

// Engine is a simulated engine. Its steps are run in spans of equal steps: while it only makes tokens,
// a span extends to the next change of its batch.
type Engine struct {
	options   Options
	clock     *Clock
	pace      float64 // of the machine
	down      bool
	running   []*Run // in order of admission
	waiting   []*Run // the most urgent first
	kept      *simplelru.LRU[uint64, int]
	keptTotal int
	span      span
	idle      time.Duration
	idleSince time.Duration
}

// span is a number of equal steps of an engine; 0 steps if it is idle.
type span struct {
	serial, steps int
	began, step   time.Duration
}

// maxKeptParts bounds the number of kept parts; the memory is the effective bound.
const maxKeptParts = 1 << 16

// New returns an idle engine.
func New(c *Clock, options Options) *Engine {
	kept, err := simplelru.NewLRU[uint64, int](maxKeptParts, nil)
	if err != nil {
		panic(err) // only a size below one is refused
	}
	return &Engine{options: options, clock: c, pace: 1, kept: kept, idleSince: c.now}
}

// Submit hands a request to the engine. It returns ErrFull or ErrDown if the engine does not take it.
func (e *Engine) Submit(req Request) (*Run, error) {
	switch {
	case e.down:
		return nil, ErrDown
	case len(e.running)+len(e.waiting) >= e.options.Slots+e.options.Queue:
		return nil, ErrFull
	}
	r := &Run{Request: req, engine: e, pace: e.options.Paces[req.Model], unread: req.SharedTokens + max(req.OwnTokens, 1)}
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].Urgency > req.Urgency {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, r)
	if e.span.steps == 0 {
		e.begin()
	} else if len(e.running) < e.options.Slots {
		e.cut()
	}
	return r, nil
}

// Cancel removes the run from its engine. OnEnd is not called.
func (r *Run) Cancel() {
	e, same := r.engine, func(o *Run) bool { return o == r }
	e.running, e.waiting = slices.DeleteFunc(e.running, same), slices.DeleteFunc(e.waiting, same)
	e.cut()
}

// Load returns the engine's load report.
func (e *Engine) Load() fleet.Load {
	n := len(e.running) + len(e.waiting)
	running := min(n, e.options.Slots)
	return fleet.Load{Running: running, Waiting: n - running, Slots: e.options.Slots, Pace: e.pace}
}

// SetPace sets the machine's pace from the next step on; 4 takes four times as long as usual.
func (e *Engine) SetPace(pace float64) {
	e.pace = pace
	e.cut()
}

// Crash ends all requests with ErrCrashed and drops all kept parts. The engine is down until Restart.
func (e *Engine) Crash() {
	e.idle = e.Idle()
	if s := e.span; s.steps > 1 { // all running requests are making tokens
		e.span.steps = min(s.steps-1, int((e.clock.now-s.began)/s.step))
		for _, r := range e.running {
			e.make(r)
		}
	}
	lost := slices.Concat(e.running, e.waiting)
	e.down, e.running, e.waiting, e.keptTotal = true, nil, nil, 0
	e.span = span{serial: e.span.serial + 1}
	e.kept.Purge()
	for _, r := range lost {
		e.ended(r, ErrCrashed)
	}
}

// Restart starts the engine again after a crash.
func (e *Engine) Restart() { e.down, e.idleSince = false, e.clock.now }

// Idle returns for how long the engine has been up without any request.
func (e *Engine) Idle() time.Duration {
	if e.down || e.span.steps > 0 {
		return e.idle
	}
	return e.idle + e.clock.now - e.idleSince
}

// begin admits requests and begins the next span.
func (e *Engine) begin() {
	if e.span.steps == 0 {
		e.idle += e.clock.now - e.idleSince
	}
	n := min(e.options.Slots-len(e.running), len(e.waiting))
	e.running = append(e.running, e.waiting[:n]...)
	e.waiting = slices.Delete(e.waiting, 0, n)
	if len(e.running) == 0 {
		e.span, e.idleSince = span{serial: e.span.serial + 1}, e.clock.now
		return
	}
	e.assignChunk()
	e.schedule(span{serial: e.span.serial + 1, steps: e.equalSteps(), began: e.clock.now, step: e.stepTime()})
}

// schedule replaces the current span.
func (e *Engine) schedule(s span) {
	e.span = s
	e.clock.After(s.began+time.Duration(s.steps)*s.step-e.clock.now, func() {
		if e.span.serial == s.serial {
			e.finish()
		}
	})
}

// cut ends the current span with its current step, since the batch changes.
func (e *Engine) cut() {
	s := e.span
	if s.steps < 2 {
		return
	}
	s.serial++
	s.steps = min(s.steps, int((e.clock.now-s.began)/s.step)+1)
	e.schedule(s)
}

// assignChunk assigns the prompt tokens that the next step reads.
func (e *Engine) assignChunk() {
	order := e.running
	if e.options.Order == MostUrgent {
		order = slices.Clone(order)
		slices.SortStableFunc(order, func(a, b *Run) int { return a.Urgency - b.Urgency })
	}
	left := e.options.Chunk
	for _, r := range order {
		if r.unread == 0 || left == 0 {
			continue
		}
		if !r.started {
			r.started = true
			if _, ok := e.kept.Get(r.Shared); ok {
				r.unread -= r.SharedTokens
			}
		}
		r.reading = min(r.unread, left)
		left -= r.reading
	}
}

// equalSteps returns the number of steps until the batch changes.
func (e *Engine) equalSteps() int {
	steps := e.running[0].Out
	for _, r := range e.running {
		if r.unread > 0 || r.made == 0 {
			return 1
		}
		steps = min(steps, r.Out-r.made)
	}
	return max(steps, 1)
}

// stepTime returns the time of the next step. The part of a step that does not depend on the batch
// takes the mean pace of the models that take part in it.
func (e *Engine) stepTime() time.Duration {
	var taking, paces, perSlot, read float64
	for _, r := range e.running {
		perSlot += r.pace
		read += float64(r.reading) * r.pace
		if r.unread == 0 || r.reading > 0 {
			taking++
			paces += r.pace
		}
	}
	ms := float64(time.Millisecond)
	d := float64(e.options.Step)*paces/taking + float64(e.options.StepPerSlot)*perSlot + read/e.options.TokensPerMs*ms
	return max(time.Duration(e.pace*d), 1)
}

// finish applies the current span to the batch and begins the next one.
func (e *Engine) finish() {
	for _, r := range e.running {
		if r.unread > 0 {
			e.read(r)
		} else {
			e.make(r)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *Run) bool { return r.made >= r.Out })
	e.begin()
}

// read applies the chunk that was read of a prompt.
func (e *Engine) read(r *Run) {
	r.unread -= r.reading
	r.reading = 0
	if r.unread > 0 || r.SharedTokens == 0 {
		return
	}
	if !e.kept.Contains(r.Shared) {
		e.keptTotal += r.SharedTokens
	}
	e.kept.Add(r.Shared, r.SharedTokens)
	for e.keptTotal > e.options.Memory-e.held() {
		_, tokens, ok := e.kept.RemoveOldest()
		if !ok {
			return
		}
		e.keptTotal -= tokens
	}
}

// held returns the tokens that running requests hold in memory beside kept parts.
func (e *Engine) held() int {
	n := 0
	for _, r := range e.running {
		n += r.OwnTokens + r.made
	}
	return n
}

// make applies the tokens that the current span made for a request.
func (e *Engine) make(r *Run) {
	if r.made == 0 && r.OnHead != nil {
		e.clock.After(0, r.OnHead)
	}
	for i := range e.span.steps {
		r.made++
		if r.OnEvent != nil && (r.made%max(r.EventTokens, 1) == 0 || r.made == r.Out) {
			r.OnEvent(e.span.began + time.Duration(i+1)*e.span.step)
		}
	}
	if r.made >= r.Out {
		e.ended(r, nil)
	}
}

// ended reports the end of a request after the current event: its caller may submit another one.
func (e *Engine) ended(r *Run, err error) {
	if r.OnEnd != nil {
		e.clock.After(0, func() { r.OnEnd(err) })
	}
}
