package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"quaybarrow/internal/explain"
)

// explainCommand tells a request's story from the logs of all hosts.
type explainCommand struct{ env Environment }

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string { return "tell a request's story from hosts' logs" }

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return `explain ID [FILE...]
  Reads the logs of hosts, from standard input if no file is named, and prints the lines
  that tell what became of a request: its own, marked with a star, and what its hosts
  knew of its endpoints, the configuration and the store around that time.
`
}

// SetFlags implements subcommands.Command.
func (*explainCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(c.env, c.run(f.Args()))
}

func (c *explainCommand) run(args []string) error {
	if len(args) == 0 {
		return errors.WithMessage(errUsage, "argument ID: name the request")
	}
	logs, closeLogs, err := openLogs(c.env, args[1:])
	if err != nil {
		return err
	}
	defer closeLogs()
	story, err := explain.Read(args[0], logs...)
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	return story.Write(c.env.Stdout)
}
