package pipeline

import (
	"context"
	"time"

	"quaybarrow/internal/billing"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/telemetry"
	"quaybarrow/internal/traffic"
)

// record collects the data about a request that operators see.
type record struct {
	traffic.Record
}

func (p *Pipeline) newRecord(ctx context.Context) *record {
	return &record{traffic.Record{At: time.Now(), Host: p.options.Host, TraceID: telemetry.TraceID(ctx)}}
}

// setFirstToken records the time at which the answer began.
func (r *record) setFirstToken(at time.Time) { r.FirstMS = milliseconds(at.Sub(r.At)) }

func (r *record) setUsage(u billing.Usage) {
	r.Attempts, r.Tokens, r.Cost = u.Attempts, u.CompletionTokens, u.Cost
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// finish updates the metrics for a request that ended and adds its record to the traffic log.
func (p *Pipeline) finish(r *record, err error) {
	r.TotalMS = milliseconds(time.Since(r.At))
	r.Outcome, r.Run = traffic.Answered, problem.Ran
	if err != nil {
		failed := problem.Of(err)
		r.Outcome, r.Run = string(failed.Code), failed.Run
	}
	t := p.options.Telemetry
	t.Count("requests", 1, telemetry.Label("workspace", r.Workspace), telemetry.Label("version", r.Version),
		telemetry.Label("outcome", r.Outcome))
	if err == nil {
		t.Observe("first_token", time.Duration(r.FirstMS*float64(time.Millisecond)), telemetry.Label("workspace", r.Workspace))
	}
	p.options.Traffic.Add(r.Record)
}
