package rollout

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/config"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/lease"
	"quaybarrow/internal/membership"
	"quaybarrow/internal/peer"
	"quaybarrow/internal/store"
)

// TablePlans is the table of plan states.
const TablePlans = "plan"

// Interval and limits of a controller's steps.
const (
	stepInterval      = time.Second
	maxRatingsPerStep = 500
	grantTimeout      = time.Second
)

// MoveFunc changes a version's state in the configuration and records the reason. It returns
// no error if the version is in that state already.
type MoveFunc func(ctx context.Context, ref declare.Ref, to declare.State, commandID, reason string) error

// Options configure a Controller.
type Options struct {
	Tables  store.Tables
	Ratings store.Ratings
	Config  *config.Holder
	Leases  *lease.Manager
	Link    peer.Link
	View    func() membership.View
	Move    MoveFunc
	// GrantSelf delivers the credits granted to this host.
	GrantSelf func(peer.Grant)
	// Ready reports whether at least one endpoint serves a version.
	Ready func(declare.Ref) bool
}

// Controller runs the plans whose leases this host holds.
type Controller struct{ options Options }

// NewController returns a controller.
func NewController(options Options) *Controller { return &Controller{options: options} }

// Run competes for the lease of every active plan until the context is done.
func (c *Controller) Run(ctx context.Context) {
	var wait sync.WaitGroup
	running := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		wanted := c.activePlans()
		for name := range wanted {
			if _, ok := running[name]; ok {
				continue
			}
			planCtx, cancel := context.WithCancel(ctx)
			running[name] = cancel
			wait.Go(func() {
				c.options.Leases.Run(planCtx, "rollout/"+name, func(ctx context.Context, l *lease.Lease) {
					c.runPlan(ctx, l, name)
				})
			})
		}
		for name, cancel := range running {
			if !wanted[name] {
				cancel()
				delete(running, name)
			}
		}
		clock.Sleep(ctx, stepInterval)
	}
	for _, cancel := range running {
		cancel()
	}
	wait.Wait()
}

// activePlans returns the names of the plans whose version is being rolled out or in service.
func (c *Controller) activePlans() map[string]bool {
	snapshot := c.options.Config.Current()
	names := map[string]bool{}
	if snapshot == nil {
		return names
	}
	for _, p := range snapshot.Revision().Declarations.Plans {
		state := snapshot.State(declare.ParseRef(p.Version))
		if state == declare.StateCanary || state == declare.StateServing {
			names[p.Name] = true
		}
	}
	return names
}

// runPlan runs the steps of a plan while the lease is held.
func (c *Controller) runPlan(ctx context.Context, l *lease.Lease, name string) {
	for l.Valid() && ctx.Err() == nil {
		if err := c.Step(ctx, l, name); errors.Is(err, store.ErrConflict) {
			return // the fencing token or the row shows that another host controls the plan
		}
		clock.Sleep(ctx, stepInterval)
	}
}

// Step runs one step of a plan: it reads ratings, applies the verdict and grants credits.
func (c *Controller) Step(ctx context.Context, l *lease.Lease, name string) error {
	snapshot := c.options.Config.Current()
	plan, ok := snapshot.Revision().Declarations.Plan(name)
	if !ok {
		return nil
	}
	state, row, err := c.load(ctx, plan)
	if err != nil {
		return err
	}
	ref := declare.ParseRef(plan.Version)
	state = applyOperatorChange(state, snapshot.State(ref))
	if state.Phase == PhaseWithdrawn {
		return nil
	}
	ratings, cursor, err := c.newRatings(ctx, state)
	if err != nil {
		return err
	}
	failingHosts, err := c.failingHostCount(ctx, plan.Version)
	if err != nil {
		return err
	}
	next, action := Step(state, plan, ratings, time.Now().UTC())
	if action == ActionNone {
		next, action = next.WithFailingHosts(failingHosts, len(c.options.View().Live()))
	}
	next.Cursor, next.Epoch = cursor, l.Epoch()
	if err := c.applyAction(ctx, ref, next, action); err != nil {
		return err
	}
	grantable := int64(0)
	if !plan.Held && c.options.Ready(ref) {
		grantable = next.GrantableCredits()
	}
	if grantable > 0 {
		next = next.WithGrant(grantable, time.Now().UTC())
	}
	if err := c.save(ctx, l, row, next); err != nil {
		return err
	}
	if grantable > 0 {
		c.sendGrants(ctx, l, next, int(grantable), plan.Timeout())
	}
	return nil
}

// applyOperatorChange adapts the state to a change that an operator made to the version since
// the last step.
func applyOperatorChange(s State, now declare.State) State {
	switch {
	case now == declare.StateServing && s.Phase == PhaseRunning:
		return s.WithPhase(PhaseAccepted, "an operator put the version into service")
	case now == declare.StateWithdrawn || now == declare.StateRetired:
		return s.WithPhase(PhaseWithdrawn, "an operator took the version out")
	default:
		return s
	}
}

// load reads a plan's state, or returns the initial state if there is none.
func (c *Controller) load(ctx context.Context, plan declare.Plan) (State, store.Row, error) {
	row, err := c.options.Tables.Get(ctx, TablePlans, plan.Name)
	if errors.Is(err, store.ErrNotFound) {
		return NewState(plan, time.Now().UTC()), store.Row{Key: plan.Name}, nil
	}
	if err != nil {
		return State{}, store.Row{}, fmt.Errorf("load plan %s: %w", plan.Name, err)
	}
	s, err := codec.Decode[State](row.Value)
	if err != nil {
		return State{}, store.Row{}, fmt.Errorf("load plan %s: %w", plan.Name, err)
	}
	if s.Version != plan.Version {
		s = NewState(plan, time.Now().UTC()) // the plan was redeclared for another version
	}
	return s, row, nil
}

// save writes a plan's state, fenced by the lease.
func (c *Controller) save(ctx context.Context, l *lease.Lease, row store.Row, s State) error {
	data, err := codec.Encode(s)
	if err != nil {
		return err
	}
	err = c.options.Tables.Commit(ctx, l.Fenced(store.Transaction{
		Conditions: []store.Condition{store.AtVersion(TablePlans, row)},
		Writes:     []store.Write{store.Put(TablePlans, s.Plan, data)},
	}))
	if err != nil {
		return fmt.Errorf("save plan %s: %w", s.Plan, err)
	}
	return nil
}

// newRatings reads the ratings of the plan's version after the cursor, and returns the new cursor.
func (c *Controller) newRatings(ctx context.Context, s State) ([]float64, int64, error) {
	page, err := c.options.Ratings.After(ctx, s.Cursor, maxRatingsPerStep)
	if err != nil {
		return nil, 0, fmt.Errorf("read ratings: %w", err)
	}
	cursor := s.Cursor
	var scores []float64
	for _, r := range page {
		cursor = r.Sequence
		if r.Version == s.Version {
			scores = append(scores, r.Score)
		}
	}
	return scores, cursor, nil
}

// failingHostCount returns the number of hosts on which a version fails, at most minFailingHosts.
func (c *Controller) failingHostCount(ctx context.Context, version string) (int, error) {
	rows, err := c.options.Tables.Scan(ctx, store.Range{Table: TableFailingHosts, Prefix: failingHostPrefix(version), Limit: minFailingHosts})
	if err != nil {
		return 0, fmt.Errorf("read failing hosts: %w", err)
	}
	return len(rows), nil
}

// applyAction applies an action before the state is saved. If this host crashes in between,
// the next controller reaches the same verdict and finds it applied already.
func (c *Controller) applyAction(ctx context.Context, ref declare.Ref, s State, a Action) error {
	id := fmt.Sprintf("plan/%s/%s/%s", s.Plan, s.Version, a)
	switch a {
	case ActionAccept:
		return c.options.Move(ctx, ref, declare.StateServing, id, s.Reason)
	case ActionWithdraw:
		return c.options.Move(ctx, ref, declare.StateWithdrawn, id, s.Reason)
	default:
		return nil
	}
}

// SplitCredits divides credits among hosts as evenly as possible. The grant's serial number
// selects the hosts that get the remainder, so that it rotates among them.
func SplitCredits(credits, hosts int, serial int64) []int {
	shares := make([]int, hosts)
	for i := range shares {
		shares[i] = credits / hosts
	}
	for i := range credits % hosts {
		shares[(int(serial)+i)%hosts]++
	}
	return shares
}

// sendGrants sends credits to the live hosts. Credits lost on the way are not granted again:
// they expire like the credit of an answer that is never rated.
func (c *Controller) sendGrants(ctx context.Context, l *lease.Lease, s State, credits int, timeout time.Duration) {
	hosts := c.options.View().Live()
	if len(hosts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for i, share := range SplitCredits(credits, len(hosts), s.Serial) {
		if share == 0 {
			continue
		}
		g := peer.Grant{Plan: grantName(s.Plan, s.Version), Epoch: l.Epoch(), Serial: s.Serial, Credits: share, Timeout: timeout}
		if hosts[i].Host == c.options.View().Self {
			c.options.GrantSelf(g)
			continue
		}
		wait.Go(func() { _ = c.options.Link.Grant(ctx, hosts[i].Address, g) })
	}
	wait.Wait()
}
