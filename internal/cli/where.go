package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/gatewayd"
)

// whereCommand shows where a request would go now, and why.
type whereCommand struct {
	env    Environment
	fields [len(whereFlags)]string // by whereFlags
	json   bool
}

// whereFlag is a flag that is passed to the host, which checks it.
type whereFlag struct{ name, usage string }

// whereFlags are the flags that describe the request.
var whereFlags = [...]whereFlag{
	{gatewayd.WhereService, "`name` of the service"},
	{gatewayd.WhereModel, "`name` of the model"},
	{gatewayd.WhereWorkspace, "`name` of the workspace, whose priority and regions apply"},
	{gatewayd.WhereTokens, "`number` of tokens of the prompt (default those of its parts)"},
	{gatewayd.WhereParts, "`parts` of the prompt, ID:TOKENS,..."},
	{gatewayd.WhereObjective, "`time` within which the response should begin (default " + gatewayd.DefaultWhereObjective.String() + ")"},
	{gatewayd.WhereUrgency, "`urgency` from 0, the most urgent, to 9 (default the workspace's priority)"},
}

// Name implements subcommands.Command.
func (*whereCommand) Name() string { return "where" }

// Synopsis implements subcommands.Command.
func (*whereCommand) Synopsis() string { return "show where a request would go now, and why" }

// Usage implements subcommands.Command.
func (*whereCommand) Usage() string {
	return `where -service NAME [-model NAME] [-workspace NAME] [-tokens N] [-parts ID:TOKENS,...] [-objective TIME] [-urgency N] [-json] CONTROL
  Asks a host at its control address, ip:port, where a request would go now, and prints the
  decision, the best endpoints with the terms of their scores, and how many endpoints each
  rule passes over. It sends no request and changes nothing. A request without -tokens and
  -parts has no prompt.
`
}

// SetFlags implements subcommands.Command.
func (c *whereCommand) SetFlags(f *flag.FlagSet) {
	for i, w := range whereFlags {
		f.StringVar(&c.fields[i], w.name, "", w.usage)
	}
	f.BoolVar(&c.json, "json", false, "print the answer as JSON")
}

// Execute implements subcommands.Command.
func (c *whereCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(c.env, c.run(ctx, f.Args()))
}

func (c *whereCommand) run(ctx context.Context, args []string) error {
	data, err := askControl(ctx, http.MethodGet, args, gatewayd.PathWhere+"?"+c.query().Encode(), http.StatusOK)
	if err != nil {
		return fmt.Errorf("where: %w", err)
	}
	if c.json {
		_, err := c.env.Stdout.Write(data)
		return err
	}
	var view gatewayd.WhereView
	if err := json.Unmarshal(data, &view); err != nil {
		return fmt.Errorf("where: read answer: %w", err)
	}
	return writeWhere(c.env.Stdout, view)
}

// query returns the query for the stated flags.
func (c *whereCommand) query() url.Values {
	q := url.Values{}
	for i, value := range c.fields {
		if value != "" {
			q.Set(whereFlags[i].name, value)
		}
	}
	return q
}

func writeWhere(out io.Writer, view gatewayd.WhereView) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	lines := append(whereSummary(view), "ENDPOINT\tDATA HALL\tVERSION\tSCORE\tQUEUE\tPREFILL\tLOAD\tHALL\tREREAD\tTIER\tBUSY\tPACE\tKEPT\tSLOTS\tREPORT")
	for _, e := range view.Endpoints {
		lines = append(lines, whereLine(e))
	}
	if len(view.Endpoints) == 0 {
		lines = lines[:len(lines)-1]
	}
	lines = append(lines, fmt.Sprintf("passed over of %d: %s", view.Listed, passedOver(view.PassedOver)))
	if _, err := io.WriteString(w, strings.Join(lines, "\n")+"\n"); err != nil {
		return fmt.Errorf("write placement: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write placement: %w", err)
	}
	return nil
}

// whereSummary returns the lines above the endpoints.
func whereSummary(view gatewayd.WhereView) []string {
	decider := "this host alone"
	if view.Adviser != "" {
		decider = view.Adviser + ", which advises this host"
	}
	list := "not read yet"
	if view.ListAgeMs >= 0 {
		list = fmt.Sprintf("%d ms old", view.ListAgeMs)
	}
	lines := []string{
		fmt.Sprintf("host %s, service %s: %s", view.Host, view.Service, whereDecision(view)),
		"who would decide: " + decider,
		"note: " + view.Note,
		fmt.Sprintf("configuration %d, %d ms old; list of endpoints %s", view.ConfigVersion, view.ConfigAgeMs, list),
	}
	if e := view.Expected; e != nil {
		lines = append(lines, fmt.Sprintf("response expected after %.0f ms, of these %.0f ms in the queue; in time with probability %.2f", e.HeadMs, e.QueueMs, e.InTime))
	}
	if view.Sampled {
		lines = append(lines, "a request scores a random sample of the endpoints; these are the best of all")
	}
	return lines
}

// whereDecision returns the decision in words.
func whereDecision(view gatewayd.WhereView) string {
	switch view.Decision {
	case gatewayd.WhereSend:
		return "send to " + view.Endpoint
	case gatewayd.WhereBehind:
		return "send to " + view.Endpoint + " behind all requests that can be in time"
	case gatewayd.WhereWait:
		return fmt.Sprintf("wait at the host, decide again in %.0f ms", view.WaitMs)
	case gatewayd.WherePaused:
		return fmt.Sprintf("no endpoint, all want a pause, the first for %.0f ms more", view.WaitMs)
	case gatewayd.WhereRefuse:
		if view.WaitMs > 0 {
			return fmt.Sprintf("refuse, room is expected in %.0f ms", view.WaitMs)
		}
		return "refuse"
	default:
		return view.Decision
	}
}

// whereLine returns the line of an endpoint.
func whereLine(e gatewayd.WhereEndpoint) string {
	columns := []string{e.ID, e.Hall, e.Version}
	s := e.Score
	for _, term := range []float64{s.Sum, s.Queue, s.Prefill, s.Load, s.Hall, s.Reread, s.Tier, s.Busy, s.Pace} {
		columns = append(columns, strconv.FormatFloat(term, 'f', 3, 64))
	}
	report := "none"
	if e.ReportAgeMs >= 0 {
		report = fmt.Sprintf("%d ms", e.ReportAgeMs)
	}
	return strings.Join(append(columns, strconv.Itoa(e.KeptTokens), strconv.Itoa(e.Slots), report), "\t")
}

// passedOver lists the rules that pass over endpoints, with their numbers.
func passedOver(counts map[fleet.Rule]int) string {
	var list []string
	for _, rule := range fleet.Rules() {
		if counts[rule] > 0 {
			list = append(list, fmt.Sprintf("%d %s", counts[rule], rule))
		}
	}
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}
