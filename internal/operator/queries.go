package operator

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"quaybarrow/internal/codec"
	"quaybarrow/internal/config"
	"quaybarrow/internal/console"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/endpoint"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/membership"
	"quaybarrow/internal/peer"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/rollout"
	"quaybarrow/internal/store"
	"quaybarrow/internal/telemetry"
	"quaybarrow/internal/traffic"
)

// Limits of queries.
const (
	maxTableRows = 2000
	peerTimeout  = 2 * time.Second
	defaultSince = time.Hour
)

// subjectTrace is a subject of queries between hosts that the console language does not have.
const subjectTrace = "trace"

// QueryOptions configures Queries.
type QueryOptions struct {
	Config    *config.Holder
	Log       *config.Log
	Tables    store.Tables
	View      func() membership.View
	Link      peer.Link
	Fleet     *fleet.Fleet
	Traffic   *traffic.Log
	Telemetry *telemetry.Telemetry
	Credits   *rollout.Credits
	// Quarantine tracks requests that crash endpoints.
	Quarantine *quarantine.Tracker
}

// Queries answers the queries of operators.
type Queries struct{ options QueryOptions }

// NewQueries returns a Queries for a host.
func NewQueries(options QueryOptions) *Queries { return &Queries{options: options} }

// Show runs a query. It returns the rows and the names of the hosts whose rows are missing because
// the query to them failed.
func (q *Queries) Show(ctx context.Context, o declare.Operator, show console.Show) ([]console.Row, []string, error) {
	rows, partial, err := q.rows(ctx, show)
	if err != nil {
		return nil, partial, err
	}
	rows, err = console.Apply(show, visibleRows(rows, o.Workspaces))
	return rows, partial, err
}

// visibleRows returns the rows that an operator limited to workspaces may see: those of its
// workspaces and those without a workspace. No workspaces means no limit.
func visibleRows(rows []console.Row, workspaces []string) []console.Row {
	if len(workspaces) == 0 {
		return rows
	}
	kept := rows[:0:0]
	for _, r := range rows {
		name, has := r.Get("workspace")
		for _, w := range workspaces {
			if !has || name == w {
				kept = append(kept, r)
				break
			}
		}
	}
	return kept
}

func (q *Queries) rows(ctx context.Context, show console.Show) ([]console.Row, []string, error) {
	var rows []console.Row
	var err error
	switch show.Subject {
	case console.SubjectRequests:
		return q.requests(ctx, show.Since)
	case console.SubjectSessions:
		return q.sessions(ctx, show.Since)
	case console.SubjectVersions:
		rows = q.versions()
	case console.SubjectHosts:
		rows = q.hosts()
	case console.SubjectEndpoints:
		rows = q.endpoints()
	case console.SubjectBills:
		rows, err = q.bills(ctx)
	case console.SubjectJobs:
		rows, err = q.jobs(ctx)
	case console.SubjectRollouts:
		rows, err = q.rollouts(ctx)
	case console.SubjectCommands:
		rows, err = q.commands(ctx)
	case console.SubjectQuarantine:
		rows = q.quarantine()
	}
	return rows, nil, err
}

// Answer answers another host's query for data that only this host has.
func (q *Queries) Answer(query peer.Query) (peer.Reply, error) {
	var data []byte
	var err error
	switch query.Subject {
	case string(console.SubjectRequests):
		data, err = codec.Encode(q.options.Traffic.Since(time.Now().Add(-query.Since)))
	case subjectTrace:
		data, err = codec.Encode(q.options.Telemetry.Traces.Trace(query.ID))
	default:
		err = fmt.Errorf("query about %s: %w", query.Subject, peer.ErrRefused)
	}
	return peer.Reply{Data: data}, err
}

// gather sends a query to all other hosts. It returns their combined answers and the names of the
// hosts for which the query failed.
func gather[T any](ctx context.Context, q *Queries, query peer.Query) ([]T, []string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mu sync.Mutex // guards all and partial
	var all []T
	var partial []string
	var wait sync.WaitGroup
	for _, m := range q.options.View().Members {
		if m.Host == q.options.View().Self {
			continue
		}
		wait.Go(func() {
			reply, err := q.options.Link.Show(ctx, m.Address, query)
			var part []T
			if err == nil {
				part, err = codec.Decode[[]T](reply.Data)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				partial = append(partial, m.Host)
				return
			}
			all = append(all, part...)
		})
	}
	wait.Wait()
	sort.Strings(partial)
	return all, partial
}

func (q *Queries) requests(ctx context.Context, since time.Duration) ([]console.Row, []string, error) {
	records, partial := q.records(ctx, since)
	rows := make([]console.Row, len(records))
	for i, r := range records {
		rows[i] = requestRow(r)
	}
	return rows, partial, nil
}

// sessions returns one row per session, from the requests in the traffic logs of all hosts.
func (q *Queries) sessions(ctx context.Context, since time.Duration) ([]console.Row, []string, error) {
	records, partial := q.records(ctx, since)
	counts := map[string]int{}
	last := map[string]traffic.Record{}
	var order []string
	for _, r := range records {
		if r.Session == "" {
			continue
		}
		if counts[r.Session] == 0 {
			order = append(order, r.Session)
		}
		counts[r.Session]++
		last[r.Session] = r
	}
	rows := make([]console.Row, len(order))
	for i, id := range order {
		r := last[id]
		rows[i] = console.Row{
			{Name: "session", Value: id}, {Name: "workspace", Value: r.Workspace}, {Name: "version", Value: r.Version},
			{Name: "requests", Value: counts[id]}, {Name: "last", Value: r.At.Format(time.RFC3339)}, {Name: "outcome", Value: r.Outcome},
		}
	}
	return rows, partial, nil
}

// records returns the requests in the traffic logs of all hosts, oldest first.
func (q *Queries) records(ctx context.Context, since time.Duration) ([]traffic.Record, []string) {
	if since == 0 {
		since = defaultSince
	}
	query := peer.Query{Subject: string(console.SubjectRequests), Since: since}
	records, partial := gather[traffic.Record](ctx, q, query)
	records = append(records, q.options.Traffic.Since(time.Now().Add(-since))...)
	sort.Slice(records, func(i, j int) bool { return records[i].At.Before(records[j].At) })
	return records, partial
}

func requestRow(r traffic.Record) console.Row {
	return console.Row{
		{Name: "at", Value: r.At.Format(time.RFC3339Nano)}, {Name: "host", Value: r.Host},
		{Name: "workspace", Value: r.Workspace}, {Name: "asked", Value: r.Asked},
		{Name: "version", Value: r.Version}, {Name: "outcome", Value: r.Outcome}, {Name: "run", Value: string(r.Run)},
		{Name: "attempts", Value: r.Attempts}, {Name: "tokens", Value: r.Tokens}, {Name: "cost", Value: r.Cost},
		{Name: "first_ms", Value: r.FirstMS}, {Name: "total_ms", Value: r.TotalMS},
		{Name: "reason", Value: r.Reason}, {Name: "session", Value: r.Session},
		{Name: "request", Value: r.RequestID}, {Name: "trace", Value: r.TraceID},
	}
}

// Trace returns the spans of a trace from all hosts, ordered by start time.
func (q *Queries) Trace(ctx context.Context, id string) []telemetry.Span {
	spans, _ := gather[telemetry.Span](ctx, q, peer.Query{Subject: subjectTrace, ID: id})
	spans = append(spans, q.options.Telemetry.Traces.Trace(id)...)
	sort.Slice(spans, func(i, j int) bool { return spans[i].Start.Before(spans[j].Start) })
	return spans
}

func (q *Queries) versions() []console.Row {
	snapshot := q.options.Config.Current()
	if snapshot == nil {
		return nil
	}
	var rows []console.Row
	revision := snapshot.Revision()
	since := map[string]time.Time{}
	for _, s := range revision.Since {
		since[s.Version] = s.At
	}
	for _, m := range revision.Declarations.Models {
		for _, v := range m.Versions {
			ref := declare.Ref{Model: m.Name, Version: v.Name}
			plan, _ := revision.Declarations.PlanFor(ref)
			rows = append(rows, console.Row{
				{Name: "version", Value: ref.String()}, {Name: "state", Value: string(v.State)},
				{Name: "since", Value: since[ref.String()].Format(time.RFC3339)},
				{Name: "plan", Value: plan.Name}, {Name: "credits", Value: q.options.Credits.Left(ref)},
				{Name: "ready", Value: q.options.Fleet.HasModel(endpoint.EngineService, ref.String())},
				{Name: "input_cost", Value: v.InputCost}, {Name: "output_cost", Value: v.OutputCost},
			})
		}
	}
	return rows
}

func (q *Queries) hosts() []console.Row {
	var rows []console.Row
	view := q.options.View()
	for _, m := range view.Members {
		rows = append(rows, console.Row{
			{Name: "host", Value: m.Host}, {Name: "region", Value: m.Region}, {Name: "data_hall", Value: m.DataHall},
			{Name: "address", Value: m.Address}, {Name: "state", Value: string(m.State)},
			{Name: "revision", Value: m.Status.Revision}, {Name: "age_ms", Value: float64(m.Status.Age.Milliseconds())},
		})
	}
	return rows
}

func (q *Queries) endpoints() []console.Row {
	var rows []console.Row
	for _, e := range q.options.Fleet.View() {
		rows = append(rows, console.Row{
			{Name: "endpoint", Value: e.ID}, {Name: "data_hall", Value: e.Hall}, {Name: "address", Value: e.Address},
			{Name: "ready", Value: e.Ready}, {Name: "in_flight", Value: e.InFlight}, {Name: "others", Value: e.Others},
			{Name: "slots", Value: e.Slots}, {Name: "age_ms", Value: float64(e.Age.Milliseconds())},
			{Name: "versions", Value: strings.Join(e.Models, ", ")},
		})
	}
	return rows
}
