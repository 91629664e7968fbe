// Package operator implements the HTTP API for operators: declarations, commands, queries, traces,
// probes, metrics and the status page.
//
// # Usage
//
//	api := operator.New(options)
//	http.Serve(listener, api.Handler())
//
// Every command names the revision that it is based on. Of two commands based on the same revision,
// the first is accepted and the other fails with a conflict that names the accepted revision.
package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/config"
	"quaybarrow/internal/console"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/quarantine"
)

// The errors of commands.
var (
	ErrForbidden      = errors.New("the operator's role does not allow this")
	ErrUnknown        = errors.New("no such version or plan")
	ErrBackward       = errors.New("the version can't go back to that state")
	ErrNotQuarantined = errors.New("no such request is in quarantine")
)

// Commands runs the commands of operators, most of which change the configuration.
type Commands struct {
	log         *config.Log
	holder      *config.Holder
	distributor *config.Distributor
	// Unload orders engines to unload a withdrawn version, as a second safeguard besides the hosts'
	// own refusal of the version; nil for none.
	Unload func(ctx context.Context, ref declare.Ref)

	quarantine *quarantine.Tracker
}

// NewCommands returns a Commands for a host.
func NewCommands(log *config.Log, holder *config.Holder, distributor *config.Distributor, q *quarantine.Tracker) *Commands {
	return &Commands{log: log, holder: holder, distributor: distributor, quarantine: q}
}

// Envelope holds the parameters that all commands have in common.
type Envelope struct {
	Operator  string
	CommandID string
	Base      int64 // the revision that the command is based on
	// Wait limits how long the command waits for its revision to be in force on all live hosts.
	Wait time.Duration
}

// Outcome is the result of a command.
type Outcome struct {
	Revision   int64                `json:"revision"`
	Changes    []declare.Difference `json:"changes,omitempty"`
	Notes      []string             `json:"notes,omitempty"`
	InForce    *config.InForce      `json:"in_force,omitempty"`
	Everywhere bool                 `json:"everywhere"`
	TookMS     float64              `json:"took_ms"`
}

// base returns the revision that a command is based on; 0 is the empty revision.
func (c *Commands) base(ctx context.Context, number int64) (config.Revision, error) {
	if number == 0 {
		return config.Revision{}, nil
	}
	if s := c.holder.Current(); s != nil && s.Number() == number {
		return s.Revision(), nil
	}
	r, err := c.log.Read(ctx, number)
	if err != nil {
		return config.Revision{}, fmt.Errorf("read the base revision: %w", err)
	}
	return r, nil
}

// Apply makes declarations the newest revision; a dry run only reports what would change.
func (c *Commands) Apply(ctx context.Context, e Envelope, next declare.Declarations, dryRun bool) (Outcome, error) {
	if problems := next.Validate(); len(problems) > 0 {
		return Outcome{}, &InvalidError{Problems: problems}
	}
	base, err := c.base(ctx, e.Base)
	if err != nil {
		return Outcome{}, err
	}
	merged, notes := declare.CarryOverStates(base.Declarations, next)
	changes, err := declare.Diff(base.Declarations, merged)
	if err != nil {
		return Outcome{}, err
	}
	outcome := Outcome{Revision: e.Base, Changes: changes, Notes: notes}
	if dryRun || len(changes) == 0 && e.Base > 0 {
		return outcome, nil
	}
	return c.accept(ctx, e, "apply", merged, outcome)
}

// InvalidError lists the problems of invalid declarations.
type InvalidError struct{ Problems []declare.Problem }

// Error lists the problems, one per line.
func (e *InvalidError) Error() string {
	text := "declarations refused:"
	for _, p := range e.Problems {
		text += "\n  " + p.Error()
	}
	return text
}

// Unwrap makes an InvalidError match declare.ErrInvalid.
func (e *InvalidError) Unwrap() error { return declare.ErrInvalid }

// accept appends a change to the configuration log and waits until it is in force on all live hosts
// or e.Wait has passed.
func (c *Commands) accept(ctx context.Context, e Envelope, command string, next declare.Declarations, o Outcome) (Outcome, error) {
	started := clock.Now()
	revision, err := c.log.Accept(ctx, e.Base, config.Change{
		CommandID: e.CommandID, Operator: e.Operator, Command: command, Declarations: next,
	})
	if err != nil {
		return Outcome{}, err
	}
	c.holder.Apply(revision)
	c.holder.Confirm(revision.Number, started)
	waitCtx, cancel := context.WithTimeout(ctx, e.Wait)
	defer cancel()
	state := c.distributor.AwaitInForce(waitCtx, revision)
	o.Revision, o.InForce, o.Everywhere = revision.Number, &state, state.Everywhere()
	o.TookMS = float64(clock.Since(started).Microseconds()) / 1000
	return o, nil
}

// Move changes the state of a version.
func (c *Commands) Move(ctx context.Context, e Envelope, m console.Move) (Outcome, error) {
	base, err := c.base(ctx, e.Base)
	if err != nil {
		return Outcome{}, err
	}
	current, ok := base.Declarations.Version(m.Version)
	if !ok {
		return Outcome{}, fmt.Errorf("%w: %s", ErrUnknown, m.Version)
	}
	if m.To.Before(current.State) && !reversible(current.State, m.To) {
		return Outcome{}, fmt.Errorf("%w: %s is %s and can't be %s again; declare a new version", ErrBackward, m.Version, current.State, m.To)
	}
	if current.State == m.To {
		return Outcome{Revision: e.Base, Everywhere: true, Notes: []string{fmt.Sprintf("%s is %s already", m.Version, m.To)}}, nil
	}
	next := base.Declarations.WithState(m.Version, m.To)
	o := Outcome{Changes: []declare.Difference{{
		Path: "versions." + m.Version.String() + ".state", Before: string(current.State), After: string(m.To),
	}}}
	o, err = c.accept(ctx, e, fmt.Sprintf("%s -> %s", m.Version, m.To), next, o)
	if err == nil && m.To == declare.StateWithdrawn && c.Unload != nil {
		c.Unload(context.WithoutCancel(ctx), m.Version)
	}
	return o, err
}

// reversible reports whether a version may go back from one state to an earlier one: only from
// canary to staged, out of a rollout that was never accepted.
func reversible(from, to declare.State) bool {
	return from == declare.StateCanary && to == declare.StateStaged
}

// Hold pauses or resumes a rollout plan.
func (c *Commands) Hold(ctx context.Context, e Envelope, h console.Hold) (Outcome, error) {
	base, err := c.base(ctx, e.Base)
	if err != nil {
		return Outcome{}, err
	}
	p, ok := base.Declarations.Plan(h.Plan)
	if !ok {
		return Outcome{}, fmt.Errorf("%w: plan %s", ErrUnknown, h.Plan)
	}
	if p.Held == h.Held {
		return Outcome{Revision: e.Base, Everywhere: true, Notes: []string{"nothing to change"}}, nil
	}
	verb := "resume"
	if h.Held {
		verb = "hold"
	}
	return c.accept(ctx, e, verb+" "+h.Plan, base.Declarations.WithHeld(h.Plan, h.Held), Outcome{})
}

// Release removes a request from quarantine on all hosts; it changes no declaration.
func (c *Commands) Release(e Envelope, r console.Release) (Outcome, error) {
	var f quarantine.Fingerprint
	if err := f.UnmarshalText([]byte(r.Fingerprint)); err != nil {
		return Outcome{}, fmt.Errorf("%w: %s: %w", ErrNotQuarantined, r.Fingerprint, err)
	}
	if !c.quarantine.Release(f) {
		return Outcome{}, fmt.Errorf("%w: %s", ErrNotQuarantined, r.Fingerprint)
	}
	return Outcome{Revision: e.Base, Notes: []string{"released; other hosts hear of it within seconds"}}, nil
}

// Limits of MoveForPlan: its attempts after conflicts, and the wait for each revision to be in force.
const (
	moveAttempts = 5
	moveWait     = 5 * time.Second
)

// MoveForPlan changes the state of a version on behalf of a rollout plan. It bases the change on the
// newest revision and retries it there after a conflict with a concurrent change. It does nothing
// if the version is gone, or is in that state or a later one already.
func (c *Commands) MoveForPlan(ctx context.Context, ref declare.Ref, to declare.State, commandID, reason string) error {
	for range moveAttempts {
		newest, err := c.log.Newest(ctx)
		if err != nil {
			return err
		}
		c.holder.Apply(newest)
		current, ok := newest.Declarations.Version(ref)
		if !ok || !current.State.Before(to) {
			return nil // the version is gone, or in the state or a later one already
		}
		e := Envelope{Operator: "plan: " + reason, CommandID: commandID, Base: newest.Number, Wait: moveWait}
		_, err = c.Move(ctx, e, console.Move{Version: ref, To: to})
		if !errors.Is(err, config.ErrConflict) {
			return err
		}
	}
	return config.ErrConflict
}
