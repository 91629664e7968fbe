package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/google/subcommands"

	"quaybarrow/internal/gatewayd"
)

// dutiesCommand shows what a host does for all others.
type dutiesCommand struct{ env Environment }

// Name implements subcommands.Command.
func (*dutiesCommand) Name() string { return "duties" }

// Synopsis implements subcommands.Command.
func (*dutiesCommand) Synopsis() string { return "show which endpoints a host has ordered, and why" }

// Usage implements subcommands.Command.
func (*dutiesCommand) Usage() string {
	return `duties CONTROL
  Asks a host at its control address, ip:port, whether it reports usage and orders endpoints
  for all hosts, and prints its orders in force with the requests at once that each is for.
`
}

// SetFlags implements subcommands.Command.
func (*dutiesCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *dutiesCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(c.env, c.run(ctx, f.Args()))
}

func (c *dutiesCommand) run(ctx context.Context, args []string) error {
	view, err := readView[gatewayd.DutiesView](ctx, args, gatewayd.PathDuties)
	if err != nil {
		return fmt.Errorf("duties: %w", err)
	}
	return writeDuties(c.env.Stdout, view)
}

func writeDuties(out io.Writer, view gatewayd.DutiesView) error {
	if !view.Holds {
		_, err := fmt.Fprintf(out, "%s does not have the duties; another host may\n", view.Host)
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tHALL\tKIND\tORDERED\tFOR REQUESTS AT ONCE")
	for _, o := range view.Orders {
		kind := "ordinary"
		if o.Spot {
			kind = "spot"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", o.Service, o.Hall, kind, o.Count, o.Peak)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write duties: %w", err)
	}
	_, err := fmt.Fprintf(out, "cost a minute: %.0f\n", view.CostPerMinute)
	return err
}
