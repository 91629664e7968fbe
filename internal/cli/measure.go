package cli

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"quaybarrow/internal/load"
	"quaybarrow/internal/measure"
	"quaybarrow/internal/plotfile"
)

// measureCommand measures the router's own cost.
type measureCommand struct {
	env    Environment
	output string
	each   time.Duration
}

// Name implements subcommands.Command.
func (*measureCommand) Name() string { return "measure" }

// Synopsis implements subcommands.Command.
func (*measureCommand) Synopsis() string { return "measure the router's own cost and its slopes" }

// Usage implements subcommands.Command.
func (*measureCommand) Usage() string {
	return `measure [flags] overhead|capacity|inforce|failover
  overhead: what a request costs through a host, against the engine directly.
  capacity: how state, messages, CPU and memory grow, for docs/CAPACITY.md.
  inforce:  time from acceptance to in force at seven hosts.
  failover: time until another host takes over a duty.
`
}

// SetFlags implements subcommands.Command.
func (c *measureCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.output, "output", outputText, "`format`: text or json")
	f.DurationVar(&c.each, "each", time.Second, "`time` that each point takes")
}

// Execute implements subcommands.Command.
func (c *measureCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(c.env, c.run(ctx, f.Arg(0)))
}

func (c *measureCommand) run(ctx context.Context, what string) error {
	var tables []measure.Table
	var err error
	switch what {
	case "overhead":
		var t measure.Table
		t, err = measure.Overhead(ctx, c.each)
		tables = append(tables, t)
	case "capacity":
		tables, err = measure.Capacity(ctx, c.each)
	case "inforce":
		var t measure.Table
		t, err = measure.InForce(ctx)
		tables = append(tables, t)
	case "failover":
		var t measure.Table
		t, err = measure.Failover(ctx)
		tables = append(tables, t)
	default:
		return errors.WithMessage(errUsage, "name overhead, capacity, inforce or failover")
	}
	if err != nil {
		return err
	}
	if c.output == outputJSON {
		return printJSON(c.env.Stdout, tables)
	}
	for _, t := range tables {
		if _, err := fmt.Fprintln(c.env.Stdout, t.Text()); err != nil {
			return fmt.Errorf("print: %w", err)
		}
	}
	return nil
}

// loadCommand sends a described load.
type loadCommand struct {
	env    Environment
	output string
	file   string
	plot   string
}

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string {
	return "send a described load to an address and measure latencies"
}

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	return `load -f FILE [flags]
  FILE describes the load in YAML: url, rate, seconds, burst and callers, each
  with key, model, share, stream, prompt, answer and turns. Requests are sent at
  their times whether or not earlier ones were answered.
`
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.output, "output", outputText, "`format`: text or json")
	f.StringVar(&c.file, "f", "", "`file` that describes the load")
	f.StringVar(&c.plot, "plot", "", "`file` to draw the latencies to, .png, .svg or .pdf")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(c.env, c.run(ctx))
}

// idlePerHost is how many connections a load keeps open.
const idlePerHost = 4096

func (c *loadCommand) run(ctx context.Context) error {
	if c.file == "" {
		return errors.WithMessage(errUsage, "flag -f must name a file")
	}
	d, err := load.Read(c.file)
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, d, &http.Transport{MaxIdleConnsPerHost: idlePerHost})
	if err != nil {
		return err
	}
	if c.plot != "" {
		if err := plotfile.Write(c.plot, chartOfLoad(report)); err != nil {
			return err
		}
	}
	if c.output == outputJSON {
		return printJSON(c.env.Stdout, report)
	}
	_, err = fmt.Fprint(c.env.Stdout, report.Text())
	return err
}

func chartOfLoad(r load.Report) plotfile.Chart {
	chart := plotfile.Chart{Title: "Latency by quantile", X: "quantile, %", Y: "ms"}
	for _, l := range []struct {
		name   string
		values []load.Quantile
	}{{"first token", r.FirstToken}, {"between tokens", r.BetweenTokens}, {"whole answer", r.Total}} {
		line := plotfile.Line{Name: l.name}
		for _, v := range l.values {
			line.Points = append(line.Points, plotfile.Point{X: v.Quantile, Y: v.Value})
		}
		chart.Lines = append(chart.Lines, line)
	}
	return chart
}
