package cli

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"quaybarrow/internal/soak"
)

// soakCommand runs the fault soak.
type soakCommand struct {
	env     Environment
	options soak.Options
	seeds   int
}

// Name implements subcommands.Command.
func (*soakCommand) Name() string { return "soak" }

// Synopsis implements subcommands.Command.
func (*soakCommand) Synopsis() string { return "run daemons as processes and inject faults" }

// Usage implements subcommands.Command.
func (*soakCommand) Usage() string {
	return `soak -daemon PROGRAM [-seed N] [-seeds COUNT] [-for TIME] [-hosts COUNT] [-crashers COUNT] [-parts COUNT] [-limits COUNT] [-notices COUNT] [-brittle COUNT] [-logs FOLDER]
  Runs daemons as separate processes on this machine, with stand-ins for the store and
  endpoints, injects faults at random from the seed and checks the router's promises from
  what callers and endpoints see. Exits with 1 if one is broken.
`
}

// Defaults of a soak.
const (
	soakHosts    = 6
	soakCrashers = 3
	soakParts    = 2
	soakLimits   = 6
	soakNotices  = 6
	soakBrittle  = 2
	soakLength   = 20 * time.Second
)

// SetFlags implements subcommands.Command.
func (c *soakCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.options.Seed, "seed", 1, "first `seed`")
	f.IntVar(&c.seeds, "seeds", 1, "how many seeds, one after the other")
	f.DurationVar(&c.options.Length, "for", soakLength, "how long faults are injected, for each seed")
	f.IntVar(&c.options.Hosts, "hosts", soakHosts, "how many hosts")
	f.IntVar(&c.options.Crashers, "crashers", soakCrashers, "how many requests come again and again under which endpoints crash")
	f.IntVar(&c.options.Parts, "parts", soakParts, "how many parts of prompts there are under which endpoints crash")
	f.IntVar(&c.options.Limits, "limits", soakLimits, "how many times endpoints name limits of what they take")
	f.IntVar(&c.options.Notices, "notices", soakNotices, "how many times endpoints leave, or turn requests away, by their answers alone")
	f.IntVar(&c.options.Brittle, "brittle", soakBrittle, "how many times the endpoints of a service are brittle")
	f.StringVar(&c.options.Daemon, "daemon", "", "`program` of the daemon")
	f.StringVar(&c.options.LogDir, "logs", "", "`folder` for the hosts' logs; without it those of a broken run are kept in one of its own")
}

// Execute implements subcommands.Command.
func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(c.env, c.run(ctx))
}

// errSoak means that a promise was broken.
var errSoak = errors.New("a promise was broken")

func (c *soakCommand) run(ctx context.Context) error {
	if c.options.Daemon == "" {
		return errors.WithMessage(errUsage, "flag -daemon: name the daemon's program")
	}
	broken := 0
	for range c.seeds {
		r, err := soak.Run(ctx, c.options)
		if err != nil {
			return fmt.Errorf("seed %d: %w", c.options.Seed, err)
		}
		violations := slices.Concat(r.Violations, r.Cold)
		_, _ = fmt.Fprintf(c.env.Stdout, "seed %d: %d faults, %d requests, %d served, %d refused, %d failed, %d violations\n",
			c.options.Seed, r.Faults, r.Requests, r.Served, r.Refused, r.Failed, len(violations))
		for _, v := range violations {
			_, _ = fmt.Fprintln(c.env.Stdout, "  ", v)
		}
		for _, a := range r.Arrivals {
			_, _ = fmt.Fprintln(c.env.Stdout, "     ", a)
		}
		if r.Logs != "" {
			_, _ = fmt.Fprintln(c.env.Stdout, "   the hosts' logs:", r.Logs)
		}
		broken += len(violations)
		c.options.Seed++
	}
	if broken > 0 {
		return errSoak
	}
	return nil
}
