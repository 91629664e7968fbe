package cli

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"quaybarrow/internal/experiment"
	"quaybarrow/internal/plotfile"
)

// quickSeeds bounds the seeds of a run that is not full.
const quickSeeds = 3

// experimentCommand compares decisions with baselines.
type experimentCommand struct {
	env    Environment
	output string
	file   string
	plot   string
	full   bool
}

// Name implements subcommands.Command.
func (*experimentCommand) Name() string { return "experiment" }

// Synopsis implements subcommands.Command.
func (*experimentCommand) Synopsis() string { return "compare the router's decisions with baselines" }

// Usage implements subcommands.Command.
func (*experimentCommand) Usage() string {
	return `experiment [flags] ` + strings.Join(experiment.Names(), "|") + `
  Runs in virtual time with fixed seeds: the same run prints the same bytes. By
  default it takes three seeds; -full takes all that the scenario asks for.
  Exits with 1 when a goal was not met.
`
}

// SetFlags implements subcommands.Command.
func (c *experimentCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.output, "output", outputText, "`format`: text or json")
	f.StringVar(&c.file, "f", "", "scenario `file`; the default is experiments/NAME-registrikoda.yaml or -adire.yaml")
	f.StringVar(&c.plot, "plot", "", "`file` to draw to, .png, .svg or .pdf")
	f.BoolVar(&c.full, "full", false, "take all seeds")
}

// Execute implements subcommands.Command.
func (c *experimentCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(c.env, c.run(f.Arg(0)))
}

// defaultFile is the scenario of an experiment when none is named.
func defaultFile(name string) string {
	if name == "overload" {
		return "experiments/overload-adire.yaml"
	}
	return "experiments/" + name + "-registrikoda.yaml"
}

// errGoals means that a goal was not met.
var errGoals = errors.New("not every goal was met")

func (c *experimentCommand) run(name string) error {
	if c.file == "" {
		c.file = defaultFile(name)
	}
	options := experiment.Options{Seeds: quickSeeds}
	if c.full {
		options.Seeds = 0
	}
	result, err := experiment.Run(name, c.file, options)
	if errors.Is(err, experiment.ErrUnknown) {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if err != nil {
		return err
	}
	if err := c.print(result); err != nil {
		return err
	}
	for _, g := range result.Goals {
		if !g.Met {
			return errGoals
		}
	}
	return nil
}

func (c *experimentCommand) print(r experiment.Result) error {
	if c.plot != "" {
		if err := plotfile.Write(c.plot, chartOf(r.Plot)); err != nil {
			return err
		}
	}
	if c.output != outputJSON {
		_, err := fmt.Fprint(c.env.Stdout, r.Text())
		return err
	}
	data, err := r.JSON()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.env.Stdout, string(data))
	return err
}

func chartOf(p experiment.Plot) plotfile.Chart {
	chart := plotfile.Chart{Title: p.Title, X: p.X, Y: p.Y}
	for _, s := range p.Series {
		line := plotfile.Line{Name: s.Name}
		for _, at := range s.Points {
			line.Points = append(line.Points, plotfile.Point{X: at.X, Y: at.Y})
		}
		chart.Lines = append(chart.Lines, line)
	}
	return chart
}
