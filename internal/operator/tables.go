package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"quaybarrow/internal/billing"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/console"
	"quaybarrow/internal/job"
	"quaybarrow/internal/rollout"
	"quaybarrow/internal/store"
)

// scan reads the rows of a stored table, decodes their values and converts them with toRow.
func scan[T any](ctx context.Context, tables store.Tables, table string, toRow func(T) console.Row) ([]console.Row, error) {
	found, err := tables.Scan(ctx, store.Range{Table: table, Limit: maxTableRows})
	if err != nil {
		return nil, fmt.Errorf("read table %s: %w", table, err)
	}
	rows := make([]console.Row, 0, len(found))
	for _, row := range found {
		value, err := codec.Decode[T](row.Value)
		if err != nil {
			return nil, fmt.Errorf("read table %s: %w", table, err)
		}
		rows = append(rows, toRow(value))
	}
	return rows, nil
}

func (q *Queries) bills(ctx context.Context) ([]console.Row, error) {
	return scan(ctx, q.options.Tables, billing.TableBills, func(b billing.Bill) console.Row {
		return console.Row{
			{Name: "request", Value: b.RequestID}, {Name: "workspace", Value: b.Workspace}, {Name: "subject", Value: b.Subject},
			{Name: "state", Value: string(b.State)}, {Name: "host", Value: b.Host},
			{Name: "prompt_tokens", Value: b.Usage.PromptTokens}, {Name: "completion_tokens", Value: b.Usage.CompletionTokens},
			{Name: "cost", Value: b.Usage.Cost}, {Name: "attempts", Value: b.Usage.Attempts},
			{Name: "settled", Value: b.Settled.Format(time.RFC3339)},
		}
	})
}

func (q *Queries) jobs(ctx context.Context) ([]console.Row, error) {
	return scan(ctx, q.options.Tables, job.TableJobs, func(j job.Job) console.Row {
		return console.Row{
			{Name: "job", Value: j.ID}, {Name: "workspace", Value: j.Workspace}, {Name: "state", Value: string(j.State)},
			{Name: "priority", Value: string(j.Priority)}, {Name: "attempts", Value: j.Attempts}, {Name: "host", Value: j.Host},
			{Name: "submitted", Value: j.Submitted.Format(time.RFC3339)},
		}
	})
}

func (q *Queries) rollouts(ctx context.Context) ([]console.Row, error) {
	return scan(ctx, q.options.Tables, rollout.TablePlans, func(s rollout.State) console.Row {
		return console.Row{
			{Name: "plan", Value: s.Plan}, {Name: "version", Value: s.Version}, {Name: "phase", Value: string(s.Phase)},
			{Name: "window", Value: s.Window}, {Name: "granted", Value: s.Granted}, {Name: "rated", Value: s.Rated},
			{Name: "outstanding", Value: s.Outstanding()}, {Name: "mean", Value: s.Mean()}, {Name: "reason", Value: s.Reason},
		}
	})
}

func (q *Queries) commands(ctx context.Context) ([]console.Row, error) {
	history, err := q.options.Log.History(ctx, 0, maxTableRows)
	if err != nil {
		return nil, err
	}
	rows := make([]console.Row, len(history))
	for i, r := range history {
		rows[i] = console.Row{
			{Name: "revision", Value: r.Number}, {Name: "at", Value: r.At.Format(time.RFC3339)},
			{Name: "operator", Value: r.Operator}, {Name: "command", Value: r.Command}, {Name: "id", Value: r.CommandID},
		}
	}
	return rows, nil
}

// quarantine lists the requests that crash endpoints or are suspected of it.
func (q *Queries) quarantine() []console.Row {
	var rows []console.Row
	for _, l := range q.options.Quarantine.List() {
		workspace, target, _ := strings.Cut(l.Label, " ")
		rows = append(rows, console.Row{
			{Name: "request", Value: l.Request.String()}, {Name: "workspace", Value: workspace}, {Name: "asks", Value: target},
			{Name: "quarantined", Value: l.Quarantined}, {Name: "crashes", Value: l.Crashes}, {Name: "chance", Value: l.Chance},
			{Name: "last_crash_ms", Value: float64(l.Last.Milliseconds())},
		})
	}
	return rows
}
