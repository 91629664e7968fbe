package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"quaybarrow/internal/explain"
)

// lostCommand tallies requests of hosts' logs by why they were late or not served.
type lostCommand struct{ env Environment }

// Name implements subcommands.Command.
func (*lostCommand) Name() string { return "lost" }

// Synopsis implements subcommands.Command.
func (*lostCommand) Synopsis() string {
	return "tally late and failed requests of hosts' logs by cause"
}

// Usage implements subcommands.Command.
func (*lostCommand) Usage() string {
	return `lost [FILE...]
  Reads the logs of hosts, from standard input if no file is named, and prints how many
  routed requests were late, refused or failed, by cause, with the id of one of each;
  'explain' tells its story.
`
}

// SetFlags implements subcommands.Command.
func (*lostCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *lostCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(c.env, c.run(f.Args()))
}

func (c *lostCommand) run(names []string) error {
	logs, closeLogs, err := openLogs(c.env, names)
	if err != nil {
		return err
	}
	defer closeLogs()
	losses, err := explain.TallyLosses(logs...)
	if err != nil {
		return fmt.Errorf("lost: %w", err)
	}
	return explain.WriteLosses(c.env.Stdout, losses)
}

// openLogs opens the named logs, or takes standard input if none is named.
func openLogs(env Environment, names []string) (logs []io.Reader, closeLogs func(), err error) {
	if len(names) == 0 {
		return []io.Reader{env.Stdin}, func() {}, nil
	}
	var files []*os.File
	closeLogs = func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			closeLogs()
			return nil, nil, fmt.Errorf("open log: %w", err)
		}
		files, logs = append(files, file), append(logs, file)
	}
	return logs, closeLogs, nil
}
