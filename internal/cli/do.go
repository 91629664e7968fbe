package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"quaybarrow/internal/console"
	"quaybarrow/internal/operator"
	"quaybarrow/internal/operator/client"
)

// doCommand runs one command or query of the console's language.
type doCommand struct {
	env        Environment
	connection connection
	base       int64
	wait       time.Duration
}

// Name implements subcommands.Command.
func (*doCommand) Name() string { return "do" }

// Synopsis implements subcommands.Command.
func (*doCommand) Synopsis() string { return "run a command or query" }

// Usage implements subcommands.Command.
func (*doCommand) Usage() string {
	return `do [flags] 'COMMAND'
  stage|canary|serve|retire|withdraw MODEL@VERSION
  hold|resume PLAN
  show SUBJECT [where FIELD OP VALUE [and ...]] [since DURATION] [by FIELD] [limit N]

  retire: no new sessions, those that are open go on. withdraw: nothing more
  runs on the version, ever. A command waits until every live host has confirmed
  it and names the hosts that have not.
`
}

// SetFlags implements subcommands.Command.
func (c *doCommand) SetFlags(f *flag.FlagSet) {
	c.connection.set(f, c.env)
	f.Int64Var(&c.base, "base", operator.BaseNewest, "`revision` the command was decided on; -1 means the one in force")
	f.DurationVar(&c.wait, "wait", 20*time.Second, "longest `time` to wait until it is in force everywhere")
}

// Execute implements subcommands.Command.
func (c *doCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text := strings.Join(f.Args(), " ")
	if text == "" {
		return finish(c.env, errors.WithMessage(errUsage, "name a command, such as 'show hosts'"))
	}
	host, err := c.connection.client()
	if err != nil {
		return finish(c.env, err)
	}
	return finish(c.env, doText(ctx, c.env, host, c.connection.output, operator.DoRequest{
		Base: c.base, CommandID: uuid.NewString(), WaitMS: c.wait.Milliseconds(), Text: text,
	}))
}

// doText has a host run a statement and prints what comes of it. The statement
// is parsed here first, so that a mistake needs no host.
func doText(ctx context.Context, env Environment, host *client.Client, format string, r operator.DoRequest) error {
	if _, err := console.Parse(r.Text); err != nil {
		return err
	}
	answer, err := host.Do(ctx, r)
	if err != nil {
		return err
	}
	if answer.Outcome != nil {
		return printOutcome(env, format, *answer.Outcome, false)
	}
	if len(answer.Partial) > 0 {
		_, _ = fmt.Fprintf(env.Stderr, "partial: these hosts did not answer: %s\n", strings.Join(answer.Partial, ", "))
	}
	if format == outputJSON {
		if answer.Rows == nil {
			answer.Rows = []json.RawMessage{}
		}
		return printJSON(env.Stdout, answer.Rows)
	}
	rows := make([]console.Row, len(answer.Rows))
	for i, data := range answer.Rows {
		if rows[i], err = console.ReadRow(data); err != nil {
			return err
		}
	}
	_, err = fmt.Fprint(env.Stdout, console.Text(rows))
	return err
}

// showCommand is a query without quotes.
type showCommand struct {
	env        Environment
	connection connection
}

// Name implements subcommands.Command.
func (*showCommand) Name() string { return "show" }

// Synopsis implements subcommands.Command.
func (*showCommand) Synopsis() string { return "query requests, versions, hosts and more" }

// Usage implements subcommands.Command.
func (*showCommand) Usage() string {
	return `show [flags] SUBJECT [where FIELD OP VALUE] [since DURATION] [by FIELD] [limit N]
  Subjects: requests, versions, sessions, hosts, endpoints, bills, jobs, rollouts, commands.
  Example: quaybarrow show requests where workspace = clerks since 5m by version
`
}

// SetFlags implements subcommands.Command.
func (c *showCommand) SetFlags(f *flag.FlagSet) { c.connection.set(f, c.env) }

// Execute implements subcommands.Command.
func (c *showCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	host, err := c.connection.client()
	if err != nil {
		return finish(c.env, err)
	}
	text := "show " + strings.Join(f.Args(), " ")
	return finish(c.env, doText(ctx, c.env, host, c.connection.output, operator.DoRequest{Base: operator.BaseNewest, Text: text}))
}

// consoleCommand is an interactive prompt.
type consoleCommand struct {
	env        Environment
	connection connection
}

// Name implements subcommands.Command.
func (*consoleCommand) Name() string { return "console" }

// Synopsis implements subcommands.Command.
func (*consoleCommand) Synopsis() string { return "type commands and queries at a prompt" }

// Usage implements subcommands.Command.
func (*consoleCommand) Usage() string {
	return `console [flags]
  Reads a command or query a line; see 'quaybarrow help do'. An empty line or
  'exit' ends it. A mistake is shown with its column and changes nothing.
`
}

// SetFlags implements subcommands.Command.
func (c *consoleCommand) SetFlags(f *flag.FlagSet) { c.connection.set(f, c.env) }

// Execute implements subcommands.Command.
func (c *consoleCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	host, err := c.connection.client()
	if err != nil {
		return finish(c.env, err)
	}
	lines := bufio.NewScanner(c.env.Stdin)
	for {
		_, _ = fmt.Fprint(c.env.Stdout, "quaybarrow> ")
		if !lines.Scan() {
			return finish(c.env, lines.Err())
		}
		text := strings.TrimSpace(lines.Text())
		if text == "" || text == "exit" {
			return subcommands.ExitSuccess
		}
		request := operator.DoRequest{Base: operator.BaseNewest, CommandID: uuid.NewString(), Text: text}
		if err := doText(ctx, c.env, host, c.connection.output, request); err != nil {
			_, _ = fmt.Fprintln(c.env.Stderr, err)
		}
	}
}
