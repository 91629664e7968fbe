package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"quaybarrow/internal/gatewayd"
)

// quarantineCommand shows which requests endpoints crash under, and lets them out.
type quarantineCommand struct {
	env     Environment
	release string
}

// Name implements subcommands.Command.
func (*quarantineCommand) Name() string { return "quarantine" }

// Synopsis implements subcommands.Command.
func (*quarantineCommand) Synopsis() string {
	return "show requests and parts of prompts under which endpoints crash, or let one out"
}

// Usage implements subcommands.Command.
func (*quarantineCommand) Usage() string {
	return `quarantine [-release FINGERPRINT] CONTROL
  Asks a host at its control address, ip:port, and prints the requests, and the parts of
  prompts, that it keeps from endpoints, since they crash under them, and those that one crash more may
  bring there.
  With -release it lets one out, on all hosts.
`
}

// SetFlags implements subcommands.Command.
func (c *quarantineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.release, "release", "", "fingerprint of a request to let out")
}

// Execute implements subcommands.Command.
func (c *quarantineCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(c.env, c.run(ctx, f.Args()))
}

func (c *quarantineCommand) run(ctx context.Context, args []string) error {
	if c.release != "" {
		path := strings.Replace(gatewayd.PathRelease, "{request}", c.release, 1)
		if _, err := askControl(ctx, http.MethodPost, args, path, http.StatusNoContent); err != nil {
			return fmt.Errorf("release: %w", err)
		}
		_, err := fmt.Fprintf(c.env.Stdout, "released %s; other hosts hear of it within seconds\n", c.release)
		return err
	}
	view, err := readView[gatewayd.QuarantineView](ctx, args, gatewayd.PathQuarantine)
	if err != nil {
		return fmt.Errorf("quarantine: %w", err)
	}
	return writeQuarantine(c.env.Stdout, view)
}

func writeQuarantine(out io.Writer, view gatewayd.QuarantineView) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	lines := []string{fmt.Sprintf("host %s: %d requests under which endpoints crash, or may", view.Host, len(view.Requests))}
	for _, r := range view.Requests {
		state := "watched"
		if r.Quarantined {
			state = "quarantined"
		}
		last := time.Duration(r.LastMsAgo) * time.Millisecond
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%d crashes, the last %s ago\tby chance %.2g", r.Request, state, r.Label, r.Crashes, last.Round(time.Second), r.Chance))
	}
	if _, err := io.WriteString(w, strings.Join(lines, "\n")+"\n"); err != nil {
		return fmt.Errorf("write quarantine: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write quarantine: %w", err)
	}
	return nil
}
