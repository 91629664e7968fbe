package batch

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/prefill"
)

// maxAttempts is the number of attempts at engines for one arrival at the host.
const maxAttempts = 3

// call is a request of a caller.
type call struct {
	load           *Load
	kind           Kind
	caller         Caller
	counted        bool
	request        Request // to an engine
	key            uint64
	first, arrived time.Duration // the first arrival at the host, and the latest one
	retried        bool          // it was refused before
	attempts       int           // since the latest arrival
	avoid          []string
	turn           int64
	mayHaveRun     bool
	begun, ended   bool
	last           time.Duration // the latest event
	run            *Run          // nil while the request is at no engine
	hold           *fleet.Hold
}

// arrive starts a request of a kind.
func (l *Load) arrive(k Kind) {
	c := &call{load: l, kind: k, caller: Caller{k.Name, l.random.IntN(k.Workspaces)}, counted: l.counted, first: l.Clock.Now(), arrived: l.Clock.Now()}
	model := l.model(k)
	c.key = xxhash.Sum64String(fmt.Sprint(k.Name, "/", c.caller.Workspace, "/", model))
	c.request = Request{
		Model: model, Shared: c.key, SharedTokens: tokens(rand.New(rand.NewPCG(c.key, 0)), k.Shared),
		OwnTokens: tokens(l.random, k.Own), Out: tokens(l.random, k.Out), EventTokens: k.EventTokens,
	}
	c.count(func(n *Count) { n.Sent++ })
	l.Clock.After(k.Deadline, c.leave)
	c.place()
}

// count changes the count of the request's callers.
func (c *call) count(change func(n *Count)) {
	if !c.counted {
		return
	}
	n := c.load.counts[c.caller]
	change(&n)
	c.load.counts[c.caller] = n
}

// place asks the fleet for an endpoint and sends the request there.
func (c *call) place() {
	if c.ended {
		return
	}
	hold, decision := c.load.fleet.Place(c.fleetRequest())
	if w, ok := decision.(admission.Wait); ok {
		c.turn = w.Turn
		c.load.Clock.After(w.For, c.place)
		return
	}
	if hold == nil {
		c.refuse()
		return
	}
	c.send(hold)
}

// fleetRequest describes the request as a gateway does.
func (c *call) fleetRequest() fleet.Request {
	now, k := c.load.Clock.Now(), c.kind
	r := fleet.Request{
		Service: loadService, Avoid: c.avoid, Key: c.key, Model: c.request.Model,
		Tokens: c.request.SharedTokens + c.request.OwnTokens, SharedTokens: c.request.SharedTokens, CacheTokens: c.load.options.Engine.Memory,
		Objective: k.Objective, Urgency: k.Urgency, Waited: now - c.arrived, Turn: c.turn,
	}
	if !c.begun { // a response that has begun is resumed in any case
		r.Slack, r.Remaining = k.Objective-(now-c.arrived), max(k.Deadline-(now-c.first), 1)
		r.MayHaveStarted = c.mayHaveRun
		if !c.mayHaveRun {
			r.Budget = prefill.NewBudget(c.load.shortestObjective(), k.Objective)
		}
	}
	return r
}

// send makes an attempt at an engine.
func (c *call) send(hold *fleet.Hold) {
	index, err := strconv.Atoi(hold.Endpoint.Instance)
	if err != nil {
		panic(err) // NewLoad has made the names
	}
	e := c.load.Engines[index]
	req := c.request
	req.Urgency = hold.Urgency()
	var run *Run
	// A caller that has left, or a later attempt, gets nothing of this one.
	current := func() bool { return !c.ended && c.run == run }
	req.OnHead = func() {
		if current() {
			c.head(e)
		}
	}
	req.OnEvent = func(at time.Duration) {
		if current() {
			c.event(at)
		}
	}
	req.OnEnd = func(err error) {
		if current() {
			c.end(e, err)
		}
	}
	c.count(func(n *Count) { n.Attempts++ })
	c.attempts++
	c.hold = hold
	if run, err = e.Submit(req); err == nil {
		c.run = run
		return
	}
	outcome := fleet.OutcomeLost
	if errors.Is(err, ErrFull) {
		outcome = fleet.OutcomeRefused
		c.count(func(n *Count) { n.Rejected++ })
	}
	c.again(e, outcome)
}

// again ends a failed attempt and makes another one if any is left.
func (c *call) again(e *Engine, o fleet.Outcome) {
	result := fleet.Result{Outcome: o}
	if o == fleet.OutcomeRefused {
		result.Load = e.Load()
	}
	c.hold.Done(result)
	c.avoid = append(c.avoid, c.hold.Endpoint.ID)
	c.run, c.hold, c.turn = nil, nil, 0
	if c.attempts < maxAttempts {
		c.place()
		return
	}
	c.refuse()
}

// head records the head of the response.
func (c *call) head(e *Engine) {
	c.hold.Head(e.Load())
	now := c.load.Clock.Now()
	c.last = now
	if c.begun {
		return
	}
	c.begun = true
	c.count(func(n *Count) {
		switch {
		case now-c.first <= c.kind.Objective:
			n.InTime++
			n.Worth += c.kind.Worth
		default:
			n.Late++
			if c.retried && now-c.arrived <= c.kind.Objective {
				n.InTimeOnRetry++
			}
		}
	})
}

// event records an event of the response.
func (c *call) event(at time.Duration) {
	if c.begun {
		c.count(func(n *Count) { n.LongestPause = max(n.LongestPause, at-c.last) })
	}
	c.last = at
}

// end records the end of the response. A response that was cut off is resumed: the next engine reads
// the prompt and the tokens made so far.
func (c *call) end(e *Engine, err error) {
	if err == nil {
		c.ended = true
		c.hold.Done(fleet.Result{Outcome: fleet.OutcomeGood, Load: e.Load()})
		return
	}
	made := c.run.Made()
	c.request.OwnTokens += made
	c.request.Out = max(c.request.Out-made, 1)
	c.mayHaveRun = true
	c.again(e, fleet.OutcomeLost)
}

// refuse ends the request at the host. Its caller retries once, after the delay that it is told.
func (c *call) refuse() {
	now := c.load.Clock.Now()
	delay := admission.RetryDelay(c.kind.Deadline-(now-c.first), c.load.random.Float64())
	if !c.retried && !c.begun {
		c.retried = true
		c.load.Clock.After(delay, func() {
			c.arrived, c.attempts, c.avoid, c.turn, c.mayHaveRun = c.load.Clock.Now(), 0, nil, 0, false
			c.place()
		})
		return
	}
	c.ended = true
	c.count(func(n *Count) {
		if c.begun {
			n.Broken++
		} else {
			n.Refused++
		}
	})
}

// leave ends a request whose response has not begun by its deadline.
func (c *call) leave() {
	if c.begun || c.ended {
		return
	}
	c.ended = true
	c.count(func(n *Count) { n.Unanswered++ })
	if c.run != nil {
		c.run.Cancel()
		c.hold.Done(fleet.Result{})
	}
}
