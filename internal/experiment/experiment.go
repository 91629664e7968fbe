// Package experiment compares the router's decisions with baselines, in virtual
// time and with fixed seeds, so that a run repeats to the byte.
//
// # Usage
//
//	result, err := experiment.Run("rollout", scenario, experiment.Options{Seeds: 5})
//	fmt.Print(result.Text())
//
// Each experiment drives the pure decisions themselves (choose.Pick,
// rollout.Step, place.Pick, admission.Scheduler, endpoint.Health, dispatch.Budget)
// against small fakes whose truth is known: versions with a true quality,
// workers with slots, ratings that come late and partly.
package experiment

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"quaybarrow/internal/yamlfile"
)

// ErrUnknown means that there is no such experiment.
var ErrUnknown = errors.New("no such experiment")

// Options of a run.
type Options struct {
	Seeds int // 0 means the scenario's own count
}

// Result is a table with what it shows.
type Result struct {
	Name     string     `json:"name"`
	Scenario string     `json:"scenario"`
	Seeds    int        `json:"seeds"`
	Columns  []string   `json:"columns"`
	Rows     [][]string `json:"rows"`
	Goals    []Goal     `json:"goals"`
	Plot     Plot       `json:"plot"`
}

// Goal is something the result is held to.
type Goal struct {
	Text  string `json:"text"`
	Value string `json:"value"`
	Met   bool   `json:"met"`
}

// Plot is what the result looks like.
type Plot struct {
	Title  string   `json:"title"`
	X      string   `json:"x"`
	Y      string   `json:"y"`
	Series []Series `json:"series"`
}

// Series is one line of a plot.
type Series struct {
	Name   string  `json:"name"`
	Points []Point `json:"points"`
}

// Point is one point of a series.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// runner runs one experiment over a scenario file.
type runner func(name string, data []byte, options Options) (Result, error)

// runners are the experiments.
var runners = map[string]runner{
	"choice":    runTyped(runChoice),
	"rollout":   runTyped(runRollout),
	"placement": runTyped(runPlacement),
	"overload":  runTyped(runOverload),
	"retries":   runTyped(runRetries),
	"jobs":      runTyped(runJobs),
}

// Names lists the experiments.
func Names() []string {
	names := make([]string, 0, len(runners))
	for n := range runners {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// runTyped reads the scenario strictly into its type.
func runTyped[S any](run func(S, Options) Result) runner {
	return func(name string, data []byte, options Options) (Result, error) {
		var scenario S
		if _, err := yamlfile.Decode(name, data, &scenario); err != nil {
			return Result{}, fmt.Errorf("read scenario: %w", err)
		}
		return run(scenario, options), nil
	}
}

// Run runs an experiment over a scenario file.
func Run(experiment, file string, options Options) (Result, error) {
	run, ok := runners[experiment]
	if !ok {
		return Result{}, fmt.Errorf("%w: %q; there are %s", ErrUnknown, experiment, strings.Join(Names(), ", "))
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return Result{}, fmt.Errorf("read scenario: %w", err)
	}
	result, err := run(file, data, options)
	result.Name, result.Scenario = experiment, file
	return result, err
}

// Text lays the result out for people.
func (r Result) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %s, %d seeds\n\n", r.Name, r.Scenario, r.Seeds)
	b.WriteString("| " + strings.Join(r.Columns, " | ") + " |\n|" + strings.Repeat("---|", len(r.Columns)) + "\n")
	for _, row := range r.Rows {
		b.WriteString("| " + strings.Join(row, " | ") + " |\n")
	}
	b.WriteString("\n")
	for _, g := range r.Goals {
		mark := "met"
		if !g.Met {
			mark = "NOT MET"
		}
		fmt.Fprintf(&b, "- %s: %s (%s)\n", g.Text, g.Value, mark)
	}
	return b.String()
}

// JSON encodes the result; the same run gives the same bytes.
func (r Result) JSON() ([]byte, error) {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode result: %w", err)
	}
	return data, nil
}

// sample gathers values over seeds.
type sample []float64

func (s sample) mean() float64 {
	if len(s) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range s {
		sum += v
	}
	return sum / float64(len(s))
}

func (s sample) quantile(q float64) float64 {
	if len(s) == 0 {
		return 0
	}
	sorted := append(sample(nil), s...)
	sort.Float64s(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

// spread formats the mean with the least and the largest value.
func (s sample) spread(digits int) string {
	return fmt.Sprintf("%.*f (%.*f–%.*f)", digits, s.mean(), digits, s.quantile(0), digits, s.quantile(1))
}

// ratio divides, and is infinite for a division by 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return math.Inf(1)
	}
	return a / b
}

// seedsOf is how many seeds to run.
func seedsOf(options Options, own int) int {
	if options.Seeds > 0 {
		return options.Seeds
	}
	return max(own, 1)
}

// share formats a part of one as percent.
func share(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) }

// decimal formats a count.
func decimal(n int) string { return fmt.Sprintf("%d", n) }
