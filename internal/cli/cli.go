// Package cli is the operators' command-line tool: a type for each command,
// with its own flags and help.
//
// # Usage
//
//	os.Exit(cli.Run(context.Background(), os.Args[1:], cli.System()))
//
// Commands that ask a host take its address and the operator's key from flags
// or from QUAYBARROW_SERVER and QUAYBARROW_KEY. Every query prints a table, or
// with --output json one JSON value.
package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"quaybarrow/internal/operator/client"
)

// Environment is what commands meet outside.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
}

// System returns the process's own environment.
func System() Environment {
	return Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv}
}

// Run runs one command and returns the exit code: 0 done, 1 failed, 2 wrong use.
func Run(ctx context.Context, args []string, env Environment) int {
	flags := flag.NewFlagSet("quaybarrow", flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	commander := subcommands.NewCommander(flags, "quaybarrow")
	commander.Output, commander.Error = env.Stdout, env.Stderr
	register(commander, env)
	if err := flags.Parse(flagsFirst(args)); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

// flagsFirst moves a command's flags before its words, so that they may be written
// after them as well: "show hosts -output json". A word of the console's language
// never starts with a dash.
func flagsFirst(args []string) []string {
	if len(args) < 2 || strings.HasPrefix(args[0], "-") {
		return args
	}
	ordered, words := []string{args[0]}, []string(nil)
	for i := 1; i < len(args); i++ {
		if !strings.HasPrefix(args[i], "-") || args[i] == "-" {
			words = append(words, args[i])
			continue
		}
		ordered = append(ordered, args[i])
		if takesValue(args[i]) && i+1 < len(args) {
			i++
			ordered = append(ordered, args[i])
		}
	}
	return append(ordered, words...)
}

// switches are the flags that take no value.
var switches = map[string]bool{"serve": true, "full": true, "new": true, "json": true, "h": true, "help": true}

// takesValue reports whether the argument after a flag is its value.
func takesValue(flag string) bool {
	name := strings.TrimLeft(flag, "-")
	return !strings.Contains(name, "=") && !switches[name]
}

// Groups of commands in the help.
const (
	groupConfigure = "configure"
	groupInspect   = "inspect"
	groupTry       = "try and measure"
	groupHelp      = "help"
)

func register(c *subcommands.Commander, env Environment) {
	c.Register(c.HelpCommand(), groupHelp)
	c.Register(c.FlagsCommand(), groupHelp)
	c.Register(&completionCommand{env: env, commander: c}, groupHelp)
	c.Register(&referenceCommand{env: env}, groupHelp)
	c.Register(&applyCommand{env: env}, groupConfigure)
	c.Register(&applyCommand{env: env, dry: true}, groupConfigure)
	c.Register(&doCommand{env: env}, groupConfigure)
	c.Register(&hashKeyCommand{env: env}, groupConfigure)
	c.Register(&showCommand{env: env}, groupInspect)
	c.Register(&traceCommand{env: env}, groupInspect)
	c.Register(&explainCommand{env: env}, groupInspect)
	c.Register(&endpointsCommand{env: env}, groupInspect)
	c.Register(&whereCommand{env: env}, groupInspect)
	c.Register(&quarantineCommand{env: env}, groupInspect)
	c.Register(&dutiesCommand{env: env}, groupInspect)
	c.Register(&lostCommand{env: env}, groupInspect)
	c.Register(&consoleCommand{env: env}, groupInspect)
	c.Register(&demoCommand{env: env}, groupTry)
	c.Register(&experimentCommand{env: env}, groupTry)
	c.Register(&measureCommand{env: env}, groupTry)
	c.Register(&loadCommand{env: env}, groupTry)
	c.Register(&standinCommand{env: env}, groupTry)
	c.Register(&soakCommand{env: env}, groupTry)
}

// Environment variables.
const (
	envServer = "QUAYBARROW_SERVER"
	envKey    = "QUAYBARROW_KEY"
)

// connection are the flags of commands that ask a host.
type connection struct {
	server string
	key    string
	output string
}

func (c *connection) set(f *flag.FlagSet, env Environment) {
	f.StringVar(&c.server, "server", env.Getenv(envServer), "operators' `URL` of a host, such as http://10.0.0.1:7200 ("+envServer+")")
	f.StringVar(&c.key, "key", env.Getenv(envKey), "operator `key` ("+envKey+" keeps it out of the process list)")
	f.StringVar(&c.output, "output", outputText, "`format` of the answer: text or json")
}

// Formats of output.
const (
	outputText = "text"
	outputJSON = "json"
)

// errUsage is matched by errors about flags.
var errUsage = errors.New("wrong use")

// client checks the flags and returns the client.
func (c *connection) client() (*client.Client, error) {
	if c.server == "" {
		return nil, errors.WithMessage(errUsage, "flag -server or "+envServer+" must name a host")
	}
	if c.output != outputText && c.output != outputJSON {
		return nil, errors.WithMessage(errUsage, "flag -output must be text or json")
	}
	return client.New(c.server, c.key, http.DefaultTransport), nil
}

// finish prints an error and returns the exit status.
func finish(env Environment, err error) subcommands.ExitStatus {
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case errors.Is(err, errUsage):
		_, _ = fmt.Fprintln(env.Stderr, "quaybarrow:", err)
		return subcommands.ExitUsageError
	default:
		_, _ = fmt.Fprintln(env.Stderr, "quaybarrow:", err)
		return subcommands.ExitFailure
	}
}

// printJSON writes one value.
func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
