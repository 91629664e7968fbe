package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"quaybarrow/internal/gatewayd"
)

// endpointsCommand shows what a host knows of endpoints.
type endpointsCommand struct {
	env Environment
	all bool
}

// Name implements subcommands.Command.
func (*endpointsCommand) Name() string { return "endpoints" }

// Synopsis implements subcommands.Command.
func (*endpointsCommand) Synopsis() string {
	return "show which data halls are evacuated and which endpoints are cold"
}

// Usage implements subcommands.Command.
func (*endpointsCommand) Usage() string {
	return `endpoints [-all] CONTROL
  Asks a host at its control address, ip:port, and prints the data halls that it knows to
  be evacuated, since when, and the endpoints that get less than others: cold, draining,
  ejected or evacuated ones; with -all every endpoint.
`
}

// SetFlags implements subcommands.Command.
func (c *endpointsCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.all, "all", false, "also endpoints that get their usual load")
}

// Execute implements subcommands.Command.
func (c *endpointsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(c.env, c.run(ctx, f.Args()))
}

func (c *endpointsCommand) run(ctx context.Context, args []string) error {
	view, err := readView[gatewayd.EndpointsView](ctx, args, gatewayd.PathEndpoints)
	if err != nil {
		return fmt.Errorf("endpoints: %w", err)
	}
	return c.write(c.env.Stdout, view)
}

func (c *endpointsCommand) write(out io.Writer, view gatewayd.EndpointsView) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	lines := []string{fmt.Sprintf("host %s: %d endpoints, %d data halls evacuated", view.Host, len(view.Endpoints), len(view.Evacuated))}
	for _, e := range view.Evacuated {
		lines = append(lines, fmt.Sprintf("evacuated %s\tsince %s", e.Hall, e.Since.Format(time.RFC3339)))
	}
	for _, e := range view.Endpoints {
		if state := stateOf(e); state != "" || c.all {
			lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%s\t%d requests\t%s", e.ID, e.Service, e.Hall, e.Version, e.InFlight, state))
		}
	}
	if _, err := io.WriteString(w, strings.Join(lines, "\n")+"\n"); err != nil {
		return fmt.Errorf("write endpoints: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write endpoints: %w", err)
	}
	return nil
}

// stateOf tells why an endpoint gets less than others; empty if it does not.
func stateOf(e gatewayd.EndpointView) string {
	switch {
	case e.Evacuated:
		return "evacuated"
	case e.LeavingSince != nil:
		return fmt.Sprintf("leaving since %s, told by %s, request %s", e.LeavingSince.Format(time.TimeOnly), e.NoticeSource, e.NoticeRequest)
	case e.Draining:
		return "draining"
	case e.PausedSince != nil:
		return fmt.Sprintf("wants a pause since %s, for %d ms more, told by %s, request %s", e.PausedSince.Format(time.TimeOnly), e.PauseMs, e.NoticeSource, e.NoticeRequest)
	case !e.Ready:
		return "ejected"
	case e.ColdSince != nil:
		return fmt.Sprintf("cold since %s, for %d ms more", e.ColdSince.Format(time.TimeOnly), e.ColdMs)
	case e.Limit > 0:
		return fmt.Sprintf("names a limit of %.3g a second since %d ms, %d in hand, %d wanted", e.Limit, e.LimitSinceMs, e.Available, e.Unmet)
	default:
		return ""
	}
}
