// Package operator is the API for operators: declarations, commands, queries,
// traces, probes, metrics and the status page.
//
// # Usage
//
//	api := operator.New(options)
//	http.Serve(listener, api.Handler())
//
// Every command carries the revision it was decided on. Of two commands that
// were decided on the same one, the first is accepted and the other gets a
// conflict that names the winner.
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

// Errors of commands.
var (
	ErrForbidden = errors.New("the operator's role does not allow this")
	ErrUnknown   = errors.New("no such version or plan")
	ErrBackward  = errors.New("the version can't go back to that state")
	ErrNotHeld   = errors.New("no such request is in quarantine")
)

// Commands accept changes of the configuration.
type Commands struct {
	log    *config.Log
	holder *config.Holder
	spread *config.Spreader
	// Unload orders engines to drop a withdrawn version: a second line behind
	// the hosts' own refusal; nil if there is none.
	Unload func(ctx context.Context, ref declare.Ref)

	quarantine *quarantine.Tracker
}

// NewCommands returns the commands of a host.
func NewCommands(log *config.Log, holder *config.Holder, spread *config.Spreader, q *quarantine.Tracker) *Commands {
	return &Commands{log: log, holder: holder, spread: spread, quarantine: q}
}

// Envelope is what every command carries.
type Envelope struct {
	Operator  string
	CommandID string
	Base      int64 // the revision that the command was decided on
	// Wait bounds the wait for the revision to be in force everywhere.
	Wait time.Duration
}

// Outcome is what became of a command.
type Outcome struct {
	Revision   int64                `json:"revision"`
	Changes    []declare.Difference `json:"changes,omitempty"`
	Notes      []string             `json:"notes,omitempty"`
	InForce    *config.InForce      `json:"in_force,omitempty"`
	Everywhere bool                 `json:"everywhere"`
	TookMS     float64              `json:"took_ms"`
}

// base reads the revision that a command was decided on.
func (c *Commands) base(ctx context.Context, number int64) (config.Revision, error) {
	if number == 0 {
		return config.Revision{}, nil
	}
	if s := c.holder.Current(); s != nil && s.Number() == number {
		return s.Revision(), nil
	}
	r, err := c.log.Read(ctx, number)
	if err != nil {
		return config.Revision{}, fmt.Errorf("read the revision decided on: %w", err)
	}
	return r, nil
}

// Apply makes declarations the newest revision; a dry run only tells what would
// change.
func (c *Commands) Apply(ctx context.Context, e Envelope, next declare.Declarations, dry bool) (Outcome, error) {
	if problems := next.Validate(); len(problems) > 0 {
		return Outcome{}, &InvalidError{Problems: problems}
	}
	base, err := c.base(ctx, e.Base)
	if err != nil {
		return Outcome{}, err
	}
	merged, notes := declare.Succeed(base.Declarations, next)
	changes, err := declare.Diff(base.Declarations, merged)
	if err != nil {
		return Outcome{}, err
	}
	outcome := Outcome{Revision: e.Base, Changes: changes, Notes: notes}
	if dry || len(changes) == 0 && e.Base > 0 {
		return outcome, nil
	}
	return c.accept(ctx, e, "apply", merged, outcome)
}

// InvalidError lists what is wrong with declarations.
type InvalidError struct{ Problems []declare.Problem }

// Error lists the problems, a line each.
func (e *InvalidError) Error() string {
	text := "declarations refused:"
	for _, p := range e.Problems {
		text += "\n  " + p.Error()
	}
	return text
}

// Unwrap makes an InvalidError match declare.ErrInvalid.
func (e *InvalidError) Unwrap() error { return declare.ErrInvalid }

// accept has a change accepted, and waits until it is in force.
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
	waiting, cancel := context.WithTimeout(ctx, e.Wait)
	defer cancel()
	state := c.spread.AwaitInForce(waiting, revision)
	o.Revision, o.InForce, o.Everywhere = revision.Number, &state, state.Everywhere()
	o.TookMS = float64(clock.Since(started).Microseconds()) / 1000
	return o, nil
}

// Move takes a version to another state.
func (c *Commands) Move(ctx context.Context, e Envelope, m console.Move) (Outcome, error) {
	base, err := c.base(ctx, e.Base)
	if err != nil {
		return Outcome{}, err
	}
	now, ok := base.Declarations.Version(m.Version)
	if !ok {
		return Outcome{}, fmt.Errorf("%w: %s", ErrUnknown, m.Version)
	}
	if m.To.Before(now.State) && !reversible(now.State, m.To) {
		return Outcome{}, fmt.Errorf("%w: %s is %s and can't be %s again; declare a new version", ErrBackward, m.Version, now.State, m.To)
	}
	if now.State == m.To {
		return Outcome{Revision: e.Base, Everywhere: true, Notes: []string{fmt.Sprintf("%s is %s already", m.Version, m.To)}}, nil
	}
	next := base.Declarations.WithState(m.Version, m.To)
	o := Outcome{Changes: []declare.Difference{{
		Path: "versions." + m.Version.String() + ".state", Before: string(now.State), After: string(m.To),
	}}}
	o, err = c.accept(ctx, e, fmt.Sprintf("%s -> %s", m.Version, m.To), next, o)
	if err == nil && m.To == declare.StateWithdrawn && c.Unload != nil {
		c.Unload(context.WithoutCancel(ctx), m.Version)
	}
	return o, err
}

// reversible reports whether a version may go back: only out of a roll-out that
// was never accepted.
func reversible(from, to declare.State) bool {
	return from == declare.StateCanary && to == declare.StateStaged
}

// Hold holds a plan or lets it go on.
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

// Release lets a request out of quarantine, on all hosts; it changes no declaration.
func (c *Commands) Release(e Envelope, r console.Release) (Outcome, error) {
	var f quarantine.Fingerprint
	if err := f.UnmarshalText([]byte(r.Fingerprint)); err != nil {
		return Outcome{}, fmt.Errorf("%w: %s: %w", ErrNotHeld, r.Fingerprint, err)
	}
	if !c.quarantine.Release(f) {
		return Outcome{}, fmt.Errorf("%w: %s", ErrNotHeld, r.Fingerprint)
	}
	return Outcome{Revision: e.Base, Notes: []string{"released; other hosts hear of it within seconds"}}, nil
}

// Limits of moves that plans ask for.
const (
	moveAttempts = 5
	moveWait     = 5 * time.Second
)

// MoveForPlan moves a version on behalf of a plan: whatever else changes at the same
// time, the move is made on the newest revision, or found made.
func (c *Commands) MoveForPlan(ctx context.Context, ref declare.Ref, to declare.State, commandID, reason string) error {
	for range moveAttempts {
		newest, err := c.log.Newest(ctx)
		if err != nil {
			return err
		}
		c.holder.Apply(newest)
		now, ok := newest.Declarations.Version(ref)
		if !ok || !now.State.Before(to) {
			return nil // gone, or there already
		}
		e := Envelope{Operator: "plan: " + reason, CommandID: commandID, Base: newest.Number, Wait: moveWait}
		_, err = c.Move(ctx, e, console.Move{Version: ref, To: to})
		if !errors.Is(err, config.ErrConflict) {
			return err
		}
	}
	return config.ErrConflict
}
