package demo

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"quaybarrow/internal/check"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/job"
)

// Quantiles of a measure.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
}

// Report is the demonstration's outcome, counted from the stand-ins' record.
type Report struct {
	check.Report
	Jobs               int       `json:"jobs"`
	JobsDone           int       `json:"jobs_done"`
	BadVersionRequests int       `json:"bad_version_requests"`
	RolloutState       string    `json:"rollout_state"`
	FirstToken         Quantiles `json:"ttft_ms"`
	Overhead           Quantiles `json:"overhead_us"`
	Seconds            float64   `json:"seconds"`
	ByKind             []KindRow `json:"by_kind"`
}

// KindRow counts the requests of one kind.
type KindRow struct {
	Kind     check.Kind `json:"kind"`
	Requests int        `json:"requests"`
	Answered int        `json:"answered"`
}

func decodeJob(data []byte) job.Job {
	j, err := codec.Decode[job.Job](data)
	if err != nil {
		return job.Job{}
	}
	return j
}

// history gathers the records of callers and stand-ins.
func (s *scene) history() check.History {
	h := s.cluster.History(s.caller.Observations())
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Withdrawals, h.Planned = s.withdrawals, true
	return h
}

func (s *scene) report() Report {
	h := s.history()
	r := Report{
		Report: check.Verify(h), RolloutState: s.rolloutState(), Jobs: s.accepted(),
		Seconds: time.Since(s.started).Seconds(),
	}
	r.JobsDone, _ = s.jobCounts()
	s.mu.Lock()
	badSince := s.badSince
	s.mu.Unlock()
	for _, run := range h.EngineRuns {
		if run.Version == supportTwo && run.Started.After(badSince) {
			r.BadVersionRequests++
		}
	}
	r.FirstToken, r.Overhead = latencies(h)
	r.ByKind = byKind(h.Observations)
	return r
}

// latencies measures the first token as callers saw it, and what the router
// added to the engine's own time.
func latencies(h check.History) (first, overhead Quantiles) {
	runs := map[string]check.EngineRun{}
	for _, r := range h.EngineRuns {
		runs[r.Prompt] = r
	}
	var firsts, added []float64
	for _, o := range h.Observations {
		run, ok := runs[o.Prompt]
		if !o.Answered || o.First.IsZero() || o.Kind != check.KindStream || !ok || run.First.IsZero() {
			continue
		}
		seen := o.First.Sub(o.Sent)
		firsts = append(firsts, float64(seen.Microseconds())/1000)
		added = append(added, float64((seen - run.First.Sub(run.Started)).Microseconds()))
	}
	return quantilesOf(firsts), quantilesOf(added)
}

func quantilesOf(values []float64) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	sort.Float64s(values)
	at := func(q float64) float64 { return values[int(q*float64(len(values)-1))] }
	return Quantiles{P50: at(0.5), P95: at(0.95)}
}

func byKind(observations []check.Observation) []KindRow {
	kinds := []check.Kind{check.KindPlain, check.KindStream, check.KindSession, check.KindCascade, check.KindService}
	rows := make([]KindRow, len(kinds))
	for i, k := range kinds {
		rows[i].Kind = k
		for _, o := range observations {
			if o.Kind != k {
				continue
			}
			rows[i].Requests++
			if o.Answered {
				rows[i].Answered++
			}
		}
	}
	return rows
}

// print writes the report, for people or for programs.
func (s *scene) print(r Report) error {
	if s.options.JSON {
		if err := json.NewEncoder(s.options.Out).Encode(r); err != nil {
			return fmt.Errorf("print report: %w", err)
		}
		return nil
	}
	return s.printText(r)
}

func (s *scene) printText(r Report) error {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(s.options.Out, format+"\n", args...) }
	line("")
	line("%d requests in %.0f s, through 3 hosts to %d engines", r.Requests, r.Seconds, engines)
	for _, k := range r.ByKind {
		line("  %-8s %5d sent, %5d answered", k.Kind, k.Requests, k.Answered)
	}
	line("  %-8s %5d accepted, %d done", "job", r.Jobs, r.JobsDone)
	line("  told \"not run\": %d, told \"unknown\": %d (the tables were away for 3 s)", r.NotRun, r.Unknown)
	line("")
	line("What must hold, counted from the endpoints' own records:")
	for _, p := range []struct {
		text  string
		count int
	}{
		{"runs on a version the workspace does not allow", r.DisallowedRuns},
		{"runs on a withdrawn version", r.WithdrawnRuns},
		{"sessions that changed version", r.SessionMoves},
		{"requests that ran and were not billed", r.BilledNever},
		{"requests billed more than once", r.BilledMore},
		{"answers of another request", r.ForeignAnswers},
		{"answers cut off", r.CutAnswers},
		{"payouts that ran twice", r.NonrepeatableRunTwice},
		{"requests told \"not run\" that ran", r.NotRunButRan},
	} {
		mark := "ok"
		if p.count > 0 {
			mark = "BROKEN"
		}
		line("  %-48s %4d  %s", p.text, p.count, mark)
	}
	line("  %-48s %4d", "requests billed exactly once", r.BilledOnce)
	line("")
	line("support@2 was rolled out, turned bad and is now %s; %d requests met it after it turned", r.RolloutState, r.BadVersionRequests)
	line("first token: %.1f ms median, %.1f ms at 95%%; of that the router: %.0f µs median, %.0f µs at 95%%",
		r.FirstToken.P50, r.FirstToken.P95, r.Overhead.P50, r.Overhead.P95)
	for _, v := range r.Violations() {
		line("! %s", v)
	}
	return nil
}
