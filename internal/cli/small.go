package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"quaybarrow/internal/config"
	"quaybarrow/internal/telemetry"
)

// hashKeyCommand makes the hash of a key for declarations.
type hashKeyCommand struct {
	env  Environment
	make bool
}

// Name implements subcommands.Command.
func (*hashKeyCommand) Name() string { return "hash-key" }

// Synopsis implements subcommands.Command.
func (*hashKeyCommand) Synopsis() string { return "hash a key for declarations" }

// Usage implements subcommands.Command.
func (*hashKeyCommand) Usage() string {
	return `hash-key [-new] < KEY
  Reads a key from standard input and prints its hash, as declarations hold it.
  With -new it makes a key and prints the key and the hash.
`
}

// SetFlags implements subcommands.Command.
func (c *hashKeyCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.make, "new", false, "make a new key")
}

// keyBytes is the length of a new key.
const keyBytes = 24

// Execute implements subcommands.Command.
func (c *hashKeyCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.make {
		secret := make([]byte, keyBytes)
		if _, err := rand.Read(secret); err != nil {
			return finish(c.env, err)
		}
		key := "qb-" + hex.EncodeToString(secret)
		_, _ = fmt.Fprintf(c.env.Stdout, "key:  %s\nhash: %s\n", key, config.HashKey(key))
		return subcommands.ExitSuccess
	}
	var key string
	if _, err := fmt.Fscanln(c.env.Stdin, &key); err != nil {
		return finish(c.env, errors.WithMessage(errUsage, "no key on standard input"))
	}
	_, _ = fmt.Fprintln(c.env.Stdout, config.HashKey(key))
	return subcommands.ExitSuccess
}

// traceCommand shows the way of one request.
type traceCommand struct {
	env        Environment
	connection connection
}

// Name implements subcommands.Command.
func (*traceCommand) Name() string { return "trace" }

// Synopsis implements subcommands.Command.
func (*traceCommand) Synopsis() string { return "show the spans of a request" }

// Usage implements subcommands.Command.
func (*traceCommand) Usage() string {
	return `trace [flags] ID
  ID is what a response's X-Trace-Id says, or the trace of 'show requests'.
`
}

// SetFlags implements subcommands.Command.
func (c *traceCommand) SetFlags(f *flag.FlagSet) { c.connection.set(f, c.env) }

// Execute implements subcommands.Command.
func (c *traceCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(c.env, c.run(ctx, f.Arg(0)))
}

func (c *traceCommand) run(ctx context.Context, id string) error {
	host, err := c.connection.client()
	if err != nil {
		return err
	}
	if id == "" {
		return errors.WithMessage(errUsage, "name a trace")
	}
	spans, err := host.Trace(ctx, id)
	if err != nil {
		return err
	}
	if c.connection.output == outputJSON {
		return printJSON(c.env.Stdout, spans)
	}
	if len(spans) == 0 {
		return errors.Errorf("no host remembers trace %s", id)
	}
	printSpans(c.env, spans)
	return nil
}

// printSpans lays spans out as a tree, with times from the trace's start.
func printSpans(env Environment, spans []telemetry.Span) {
	children := map[string][]telemetry.Span{}
	known := map[string]bool{}
	for _, s := range spans {
		known[s.SpanID] = true
	}
	for _, s := range spans {
		parent := s.ParentID
		if !known[parent] {
			parent = ""
		}
		children[parent] = append(children[parent], s)
	}
	start := spans[0].Start
	var walk func(parent string, depth int)
	walk = func(parent string, depth int) {
		for _, s := range children[parent] {
			failed := ""
			if s.Error != "" {
				failed = "  failed: " + s.Error
			}
			name := strings.Repeat("  ", depth) + s.Name
			_, _ = fmt.Fprintf(env.Stdout, "%-36s %-10s at %8.3f ms, took %8.3f ms%s\n",
				name, s.Host, float64(s.Start.Sub(start).Microseconds())/1000, float64(s.Micros)/1000, failed)
			walk(s.SpanID, depth+1)
		}
	}
	walk("", 0)
}

// completionCommand prints a completion script for a shell.
type completionCommand struct {
	env       Environment
	commander *subcommands.Commander
}

// Name implements subcommands.Command.
func (*completionCommand) Name() string { return "completion" }

// Synopsis implements subcommands.Command.
func (*completionCommand) Synopsis() string { return "print a completion script for bash or zsh" }

// Usage implements subcommands.Command.
func (*completionCommand) Usage() string {
	return `completion bash|zsh
  Use it with: source <(quaybarrow completion bash)
`
}

// SetFlags implements subcommands.Command.
func (*completionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *completionCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var names []string
	c.commander.VisitCommands(func(_ *subcommands.CommandGroup, command subcommands.Command) {
		names = append(names, command.Name())
	})
	words := strings.Join(names, " ")
	switch f.Arg(0) {
	case "bash":
		_, _ = fmt.Fprintf(c.env.Stdout, "complete -W %q quaybarrow\n", words)
	case "zsh":
		_, _ = fmt.Fprintf(c.env.Stdout, "compctl -k '(%s)' quaybarrow\n", words)
	default:
		return finish(c.env, errors.WithMessage(errUsage, "name bash or zsh"))
	}
	return subcommands.ExitSuccess
}
