package cli

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"quaybarrow/internal/demo"
)

// demoCommand shows the router at work in one process.
type demoCommand struct {
	env    Environment
	output string
	serve  bool
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string { return "show the router at work in one process" }

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return `demo [-serve] [-output text|json]
  Starts a platform stand-in, engines, a plain service and three hosts in one
  process and sends real requests through them, with a version that turns bad,
  an outage of the platform's tables and the replacement of a host. It ends with
  a report counted from the stand-ins' own record. With -serve it stays up for
  any client until it is interrupted.
`
}

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.output, "output", outputText, "`format` of the report: text or json")
	f.BoolVar(&c.serve, "serve", false, "stay up and serve until interrupted")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.output != outputText && c.output != outputJSON {
		return finish(c.env, errors.WithMessage(errUsage, "flag -output must be text or json"))
	}
	options := demo.Options{Out: c.env.Stdout, Progress: c.env.Stderr, JSON: c.output == outputJSON}
	if c.serve {
		return finish(c.env, demo.Serve(ctx, options))
	}
	return finish(c.env, demo.Run(ctx, options))
}
