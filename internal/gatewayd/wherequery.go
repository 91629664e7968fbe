package gatewayd

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/gateway"
	"quaybarrow/internal/route"
)

// Names of the fields of a query for where a request would go.
const (
	WhereService   = "service"
	WhereModel     = "model"
	WhereWorkspace = "workspace"
	WhereTokens    = "tokens"    // of the prompt
	WhereParts     = "parts"     // of the prompt: ID:TOKENS,...
	WhereObjective = "objective" // a duration, such as 1s
	WhereUrgency   = "urgency"   // 0 to 9, 0 is the most urgent
)

// whereFields are all fields of a query.
var whereFields = []string{WhereService, WhereModel, WhereWorkspace, WhereTokens, WhereParts, WhereObjective, WhereUrgency}

// Defaults and bounds of a query.
const (
	// DefaultWhereObjective is used for a query that states no objective.
	DefaultWhereObjective = time.Second
	maxWhereObjective     = time.Hour
	maxWhereTokens        = 10_000_000
	maxWhereParts         = 256
	maxWhereUrgency       = 9
	// unstatedUrgency leaves the urgency to the endpoint.
	unstatedUrgency = -1
)

// whereQuery reads the fields of a query. It keeps the first error.
type whereQuery struct {
	values url.Values
	err    error
}

// parseWhere returns the request that a query describes. An error names the field.
func parseWhere(query string, t *route.Table) (gateway.Inquiry, error) {
	values, err := url.ParseQuery(query)
	if err != nil {
		return gateway.Inquiry{}, fmt.Errorf("query: %w", err)
	}
	q := &whereQuery{values: values}
	q.checkNames()
	i := gateway.Inquiry{Service: values.Get(WhereService), Model: values.Get(WhereModel), Objective: q.objective()}
	q.checkService(i, t)
	i.Workspace = q.workspace(t)
	i.Urgency = q.urgency(i.Workspace)
	i.Tokens, i.Parts = q.prompt()
	return i, q.err
}

// fail records an error of a field.
func (q *whereQuery) fail(field, format string, args ...any) {
	if q.err == nil {
		q.err = errors.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
	}
}

// checkNames refuses unknown and repeated fields.
func (q *whereQuery) checkNames() {
	for _, name := range slices.Sorted(maps.Keys(q.values)) {
		switch {
		case !slices.Contains(whereFields, name):
			q.fail(name, "unknown field")
		case len(q.values[name]) > 1:
			q.fail(name, "stated more than once")
		}
	}
}

func (q *whereQuery) checkService(i gateway.Inquiry, t *route.Table) {
	s, ok := t.Service(i.Service)
	switch {
	case i.Service == "":
		q.fail(WhereService, "not stated")
	case !ok:
		q.fail(WhereService, "%q is not declared", i.Service)
	case i.Model != "" && len(s.Models) > 0 && !slices.ContainsFunc(s.Models, func(m route.Model) bool { return m.Name == i.Model }):
		q.fail(WhereModel, "service %s has no model %q", s.Name, i.Model)
	}
}

func (q *whereQuery) workspace(t *route.Table) route.Workspace {
	name := q.values.Get(WhereWorkspace)
	w, ok := t.WorkspaceNamed(name)
	if name == "" {
		return route.Workspace{Priority: unstatedUrgency}
	}
	if !ok {
		q.fail(WhereWorkspace, "%q is not declared", name)
	}
	return w
}

// urgency returns the stated urgency, or else the workspace's priority.
func (q *whereQuery) urgency(w route.Workspace) int {
	if !q.values.Has(WhereUrgency) {
		return w.Priority
	}
	n, err := strconv.Atoi(q.values.Get(WhereUrgency))
	if err != nil || n < 0 || n > maxWhereUrgency {
		q.fail(WhereUrgency, "%q is not a number from 0 to %d", q.values.Get(WhereUrgency), maxWhereUrgency)
	}
	return n
}

func (q *whereQuery) objective() time.Duration {
	if !q.values.Has(WhereObjective) {
		return DefaultWhereObjective
	}
	d, err := time.ParseDuration(q.values.Get(WhereObjective))
	if err != nil || d <= 0 || d > maxWhereObjective {
		q.fail(WhereObjective, "%q is not a duration above 0 and up to %s", q.values.Get(WhereObjective), maxWhereObjective)
	}
	return d
}

// prompt returns the tokens and the parts of the prompt. Tokens that no part accounts for are a last part
// that no other request has.
func (q *whereQuery) prompt() (int, []gateway.PromptPart) {
	parts, sum := q.parts()
	if !q.values.Has(WhereTokens) {
		return sum, parts
	}
	tokens, ok := parseTokens(q.values.Get(WhereTokens))
	switch {
	case !ok:
		q.fail(WhereTokens, "%q is not a number from 0 to %d", q.values.Get(WhereTokens), maxWhereTokens)
	case tokens < sum:
		q.fail(WhereTokens, "%d is less than the %d of the parts", tokens, sum)
	case tokens > sum:
		parts = append(parts, gateway.PromptPart{Tokens: tokens - sum})
	}
	return tokens, parts
}

// parts returns the stated parts and the sum of their tokens.
func (q *whereQuery) parts() (parts []gateway.PromptPart, sum int) {
	if !q.values.Has(WhereParts) {
		return nil, 0
	}
	for text := range strings.SplitSeq(q.values.Get(WhereParts), ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(text), ":")
		tokens, ok := parseTokens(count)
		if id == "" || !ok {
			q.fail(WhereParts, "%q is not ID:TOKENS with up to %d tokens", text, maxWhereTokens)
			return nil, 0
		}
		parts, sum = append(parts, gateway.PromptPart{ID: id, Tokens: tokens}), sum+tokens
	}
	if len(parts) > maxWhereParts || sum > maxWhereTokens {
		q.fail(WhereParts, "more than %d parts or %d tokens", maxWhereParts, maxWhereTokens)
	}
	return parts, sum
}

// parseTokens parses a number of tokens.
func parseTokens(text string) (int, bool) {
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 0 && n <= maxWhereTokens
}
