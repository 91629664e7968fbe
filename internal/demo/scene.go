package demo

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quaybarrow/internal/check"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/config"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/endpoint"
	"quaybarrow/internal/operator"
	"quaybarrow/internal/rollout"
	"quaybarrow/internal/standin/caller"
	"quaybarrow/internal/standin/cluster"
	"quaybarrow/internal/standin/engine"
	"quaybarrow/internal/standin/table"
	"quaybarrow/internal/store"
)

// Versions of the demonstration.
var (
	supportOne = declare.Ref{Model: "support", Version: "1"}
	supportTwo = declare.Ref{Model: "support", Version: "2"}
	summaryOne = declare.Ref{Model: "summary", Version: "1"}
	summaryTwo = declare.Ref{Model: "summary", Version: "2"}
	listSmall  = declare.Ref{Model: "listing-small", Version: "1"}
	listLarge  = declare.Ref{Model: "listing-large", Version: "1"}
)

// Ratings of the demonstration come late, and not for every answer.
const (
	ratingDelay = 300 * time.Millisecond
	ratingShare = 0.8
)

// goodQuality and badQuality are the true chances of a good answer.
const (
	goodQuality = 0.95
	badQuality  = 0.3
)

// engines is how many engines there are.
const engines = 6

// Keys of the demonstration's workspaces.
func keyOf(workspace string) string { return "key-of-" + workspace }

// declarations of the demonstration.
func declarations() declare.Declarations {
	version := func(name string, state declare.State, cost int64, quality float64) declare.Version {
		return declare.Version{Name: name, State: state, InputCost: cost, OutputCost: 3 * cost, Quality: quality}
	}
	workspace := func(name string, allow ...string) declare.Workspace {
		return declare.Workspace{
			Name: name, Keys: []declare.Key{{Name: "demo", Hash: config.HashKey(keyOf(name))}},
			Allow: allow, Concurrency: 64, Services: []string{"payouts"},
		}
	}
	sellers := workspace("sellers", "listing-small", "listing-large")
	sellers.Classes = []declare.TaskClass{{
		Name: "listing", Models: []string{"listing-small", "listing-large"}, Target: 0.8, Cascade: true, Confidence: 0.5,
	}}
	examiners := workspace("examiners", "summary")
	examiners.Priority = declare.PriorityBatch
	return cluster.Declared(declare.Declarations{
		Models: []declare.Model{
			{Name: "support", Versions: []declare.Version{
				version("1", declare.StateServing, 10, 0.9), version("2", declare.StateStaged, 8, 0.9),
			}},
			{Name: "summary", Versions: []declare.Version{
				version("1", declare.StateServing, 12, 0.9), version("2", declare.StateServing, 12, 0.9),
			}},
			{Name: "listing-small", Versions: []declare.Version{version("1", declare.StateServing, 2, 0.6)}},
			{Name: "listing-large", Versions: []declare.Version{version("1", declare.StateServing, 20, 0.95)}},
		},
		Services: []declare.Service{{Name: "payouts", Calls: []declare.Call{{Name: "pay"}, {Name: "balance", Repeatable: true}}}},
		Plans:    []declare.Plan{{Name: "support-two", Version: supportTwo.String(), Window: 6, Floor: 0.7, Ratings: 20}},
		Workspaces: []declare.Workspace{
			workspace("clerks", "support", "summary"), workspace("buyers", "support"), sellers, examiners,
		},
	})
}

// scene is a demonstration under way.
type scene struct {
	options Options
	cluster *cluster.Cluster
	caller  *caller.Caller
	started time.Time

	mu          sync.Mutex // guards all below
	withdrawals []check.Withdrawal
	jobs        []string
	badSince    time.Time // when support@2 turned bad
	stopped     []int     // hosts that take no new requests just now
}

func newScene(ctx context.Context, options Options) (*scene, error) {
	s := &scene{options: options, started: time.Now()}
	s.say("starting 6 engines, a payout service and 3 hosts")
	c, err := cluster.New(ctx, cluster.Options{
		Hosts: 3, Engines: engines, Services: []string{"payouts"}, ServiceDelay: 3 * time.Millisecond,
		Engine: engine.Options{
			Slots: 16, Token: 4 * time.Millisecond, Prefill: 20 * time.Microsecond, Answer: 10,
			LoadLag: 200 * time.Millisecond, EventGap: 7, LoadTime: 300 * time.Millisecond,
		},
		Profiles: map[declare.Ref]engine.Profile{
			supportOne: {Quality: goodQuality}, supportTwo: {Quality: goodQuality},
			summaryOne: {Quality: goodQuality}, summaryTwo: {Quality: goodQuality},
			listSmall: {Quality: 0.6}, listLarge: {Quality: goodQuality},
		},
		Store: table.Options{Rate: 400, Burst: 100, ListLag: 300 * time.Millisecond}, Declarations: declarations(), Rate: rate,
	})
	if err != nil {
		return nil, err
	}
	s.cluster, s.caller = c, caller.New(c.Client())
	return s, nil
}

// rate has most finished answers rated after a delay.
func rate(c *cluster.Cluster, run engine.Run) {
	if rand.Float64() > ratingShare {
		return
	}
	workspace, class := caller.SplitPrompt(run.Prompt)
	score := 0.0
	if c.Engines[0].Good(run) {
		score = 1
	}
	time.AfterFunc(ratingDelay, func() {
		c.Store.Rate(store.Rating{
			RequestID: run.RequestID, Workspace: workspace, Class: class, Version: run.Version.String(),
			Score: score, At: time.Now().UTC(),
		})
	})
}

func (s *scene) steady(ctx context.Context) error { return pause(ctx, steady) }

// do runs a console command as the operator.
func (s *scene) do(ctx context.Context, text string) (operator.Outcome, error) {
	reply, err := s.cluster.Operator(s.host(0)).Do(ctx, operator.DoRequest{Base: operator.BaseNewest, Text: text})
	if err != nil || reply.Outcome == nil {
		return operator.Outcome{}, err
	}
	return *reply.Outcome, nil
}

// startRollout puts support@2 into its roll-out and waits until the ratings
// accept it.
func (s *scene) startRollout(ctx context.Context) error {
	if _, err := s.do(ctx, "canary "+supportTwo.String()); err != nil {
		return err
	}
	until(ctx, rolloutWait, func() bool { return s.state(supportTwo) == declare.StateServing })
	s.say("support@2 is " + string(s.state(supportTwo)))
	return pause(ctx, time.Second)
}

func (s *scene) state(ref declare.Ref) declare.State {
	return s.host(0).Daemon().Config.Current().State(ref)
}

// turnBad makes support@2 answer badly and waits for its withdrawal.
func (s *scene) turnBad(ctx context.Context) error {
	s.mu.Lock()
	s.badSince = time.Now()
	s.mu.Unlock()
	for _, e := range s.cluster.Engines {
		e.SetProfile(supportTwo, engine.Profile{Quality: badQuality})
	}
	if until(ctx, badWait, func() bool { return s.everywhere(supportTwo, declare.StateWithdrawn) }) {
		s.noteWithdrawal(supportTwo)
	}
	s.say("support@2 is " + string(s.state(supportTwo)))
	return nil
}

// everywhere reports whether all hosts have a version in a state.
func (s *scene) everywhere(ref declare.Ref, state declare.State) bool {
	for _, h := range s.cluster.Hosts {
		if h.Daemon() != nil && h.Daemon().Config.Current().State(ref) != state {
			return false
		}
	}
	return true
}

func (s *scene) noteWithdrawal(ref declare.Ref) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdrawals = append(s.withdrawals, check.Withdrawal{Version: ref, At: time.Now()})
}

func (s *scene) tablesAway(ctx context.Context) error {
	s.cluster.Store.Inject(table.Fault{Kind: table.FaultDown})
	err := pause(ctx, outage)
	s.cluster.Store.Heal()
	s.say("the tables are back")
	return err
}

// replaceHost drains a host and starts a new process in its place.
func (s *scene) replaceHost(ctx context.Context) error {
	const index = 1
	s.setStopped([]int{index}) // the balancer takes it out
	h := s.host(index)
	if err := s.cluster.Stop(ctx, h); err != nil {
		return err
	}
	s.say("entry-2 has drained and exited")
	if err := s.cluster.Start(ctx, h); err != nil {
		return err
	}
	until(ctx, steady, func() bool {
		return h.Daemon().Config.Current() != nil && h.Daemon().Fleet.HasModel(endpoint.EngineService, supportOne.String())
	})
	s.setStopped(nil)
	return pause(ctx, time.Second)
}

func (s *scene) setStopped(hosts []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = hosts
}

func (s *scene) withdraw(ctx context.Context) error {
	outcome, err := s.do(ctx, "withdraw "+summaryOne.String())
	if err != nil {
		return err
	}
	if outcome.Everywhere {
		s.noteWithdrawal(summaryOne)
	}
	return pause(ctx, steady)
}

// rolloutState is the plan's phase as the table has it.
func (s *scene) rolloutState() string {
	rows := s.cluster.Store.Rows(rollout.TablePlans)
	if len(rows) == 0 {
		return "not started"
	}
	state, err := codec.Decode[rollout.State](rows[0].Value)
	if err != nil {
		return "unreadable"
	}
	return string(state.Phase)
}
