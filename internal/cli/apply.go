package cli

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"quaybarrow/internal/declare"
	"quaybarrow/internal/operator"
	"quaybarrow/internal/operator/client"
)

// applyCommand makes declarations from files the configuration, or, as diff,
// only tells what would change.
type applyCommand struct {
	env        Environment
	dry        bool
	connection connection
	dir        string
	base       int64
	wait       time.Duration
}

// Name implements subcommands.Command.
func (c *applyCommand) Name() string {
	if c.dry {
		return "diff"
	}
	return "apply"
}

// Synopsis implements subcommands.Command.
func (c *applyCommand) Synopsis() string {
	if c.dry {
		return "show what apply would change"
	}
	return "make a directory of declarations the configuration"
}

// Usage implements subcommands.Command.
func (c *applyCommand) Usage() string {
	return c.Name() + ` -f DIR [flags]
  Reads every .yaml file of DIR and compares it with the configuration that is
  in force. apply has it accepted and waits until every live host has confirmed
  it; it names the hosts that have not. The state of a version only moves on:
  a file can't bring back a withdrawn one.
`
}

// SetFlags implements subcommands.Command.
func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.connection.set(f, c.env)
	f.StringVar(&c.dir, "f", "", "`directory` of declarations")
	f.Int64Var(&c.base, "base", operator.BaseNewest, "`revision` the declarations were made for; -1 means the one in force")
	f.DurationVar(&c.wait, "wait", 20*time.Second, "longest `time` to wait until it is in force everywhere")
}

// Execute implements subcommands.Command.
func (c *applyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(c.env, c.run(ctx))
}

func (c *applyCommand) run(ctx context.Context) error {
	if c.dir == "" {
		return errors.WithMessage(errUsage, "flag -f must name a directory")
	}
	source, err := declare.ReadDir(c.dir)
	if err != nil {
		return err
	}
	host, err := c.connection.client()
	if err != nil {
		return err
	}
	base := c.base
	if base == operator.BaseNewest {
		now, err := host.Config(ctx)
		if err != nil {
			return err
		}
		base = now.Revision
	}
	outcome, err := host.Apply(ctx, operator.ApplyRequest{
		Base: base, CommandID: uuid.NewString(), WaitMS: c.wait.Milliseconds(), DryRun: c.dry, Declarations: source.Declarations,
	})
	var refused *client.Error
	if errors.As(err, &refused) && len(refused.Reply.Problems) > 0 {
		return source.Locate(refused.Reply.Problems)
	}
	if err != nil {
		return err
	}
	return printOutcome(c.env, c.connection.output, outcome, c.dry)
}

// errNotEverywhere means that a change was accepted but some hosts lag.
var errNotEverywhere = errors.New("accepted, but not yet in force everywhere")

// printOutcome tells what became of a command. A change that is not in force
// everywhere is a failure to a script.
func printOutcome(env Environment, format string, o operator.Outcome, dry bool) error {
	if format == outputJSON {
		if err := printJSON(env.Stdout, o); err != nil {
			return err
		}
	} else {
		printOutcomeText(env, o, dry)
	}
	if o.InForce != nil && !o.Everywhere {
		return errors.WithMessagef(errNotEverywhere, "hosts that have not confirmed: %v", o.InForce.Lagging)
	}
	return nil
}

func printOutcomeText(env Environment, o operator.Outcome, dry bool) {
	for _, d := range o.Changes {
		_, _ = fmt.Fprintln(env.Stdout, d)
	}
	for _, n := range o.Notes {
		_, _ = fmt.Fprintln(env.Stdout, "note:", n)
	}
	switch {
	case len(o.Changes) == 0 && o.InForce == nil:
		_, _ = fmt.Fprintf(env.Stdout, "nothing changes; revision %d stays\n", o.Revision)
	case dry:
		_, _ = fmt.Fprintf(env.Stdout, "%d changes to revision %d\n", len(o.Changes), o.Revision)
	case o.InForce != nil:
		_, _ = fmt.Fprintf(env.Stdout, "revision %d accepted; in force on %d hosts after %.0f ms\n", o.Revision, len(o.InForce.Confirmed), o.TookMS)
	}
}
