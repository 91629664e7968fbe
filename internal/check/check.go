// Package check verifies a recorded history against the guarantees that must always hold. It is
// independent of the router's internals: its input is the responses that callers received, the
// records of the endpoints and the contents of the bill table.
//
// # Usage
//
//	report := check.Verify(history)
//	if violations := report.Violations(); len(violations) > 0 { ... }
package check

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"quaybarrow/internal/billing"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/problem"
)

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	KindPlain   Kind = "plain"
	KindStream  Kind = "stream"
	KindSession Kind = "session"
	KindCascade Kind = "cascade"
	KindService Kind = "service"
	KindJob     Kind = "job"
)

// Observation is a request as observed by its caller. Prompts are unique, so they identify the
// request in the records of the endpoints.
type Observation struct {
	Kind          Kind
	Workspace     string
	Prompt        string
	Session       string // name chosen by the caller; empty if none
	Key           string // Idempotency-Key; empty if none
	Nonrepeatable bool
	Sent          time.Time
	First         time.Time // first token; zero if none
	Done          time.Time
	Answered      bool
	Run           problem.Run // as reported to the caller; set if not answered
	Answer        string      // text received
	Ended         bool        // the end of the answer was received
	Version       string      // as reported to the caller
}

// EngineRun is a dispatched request as recorded by an engine.
type EngineRun struct {
	RequestID string
	AttemptID string
	Version   declare.Ref
	Prompt    string
	Started   time.Time
	First     time.Time
	Finished  bool
	Engine    string
}

// ServiceRun is a call as recorded by a plain service.
type ServiceRun struct {
	RequestID string
	Prompt    string // body of the call
}

// Withdrawal records the time at which a version was reported as withdrawn on all hosts.
type Withdrawal struct {
	Version declare.Ref
	At      time.Time
}

// Leaving records the time at which an engine was told to leave, plus the time allowed for hosts
// to notice.
type Leaving struct {
	Engine string
	At     time.Time
}

// Applied records a revision of the configuration that a host put in force.
type Applied struct {
	Host        string
	Incarnation string
	Revision    int64
}

// History is the recorded data that Verify checks.
type History struct {
	Observations []Observation
	EngineRuns   []EngineRun
	ServiceRuns  []ServiceRun
	Bills        []billing.Bill
	Withdrawals  []Withdrawal
	Leavings     []Leaving
	Applied      []Applied // in order of application for each host
	// Allowed reports whether a workspace may use a version.
	Allowed func(workspace string, version declare.Ref) bool
	// Planned is set if all stops were planned; no answer may be cut off then.
	Planned bool
}

// Report holds the number of requests by outcome and of violations by guarantee.
type Report struct {
	Requests              int `json:"requests"`
	Answered              int `json:"answered"`
	NotRun                int `json:"not_run"`
	Unknown               int `json:"unknown"`
	BilledOnce            int `json:"billed_once"`
	BilledMore            int `json:"billed_more"`
	BilledNever           int `json:"billed_never"`
	ForeignAnswers        int `json:"foreign_answers"`
	CutAnswers            int `json:"cut_answers"`
	NonrepeatableRunTwice int `json:"nonrepeatable_run_twice"`
	NotRunButRan          int `json:"not_run_but_ran"`
	WithdrawnRuns         int `json:"withdrawn_runs"`
	DisallowedRuns        int `json:"disallowed_runs"`
	SessionMoves          int `json:"session_moves"`
	LeavingRuns           int `json:"leaving_runs"`
	Reverts               int `json:"reverts"`

	planned bool
	details []string
}

// addDetail records an example of a violation, up to maxDetails of them.
func (r *Report) addDetail(format string, args ...any) {
	const maxDetails = 20
	if len(r.details) < maxDetails {
		r.details = append(r.details, fmt.Sprintf(format, args...))
	}
}

// Violations lists the violated guarantees with their counts, then examples.
func (r Report) Violations() []string {
	var violations []string
	add := func(count int, violation string) {
		if count > 0 {
			violations = append(violations, fmt.Sprintf("%s: %d", violation, count))
		}
	}
	add(r.DisallowedRuns, "runs on a version its workspace does not allow")
	add(r.WithdrawnRuns, "runs on a withdrawn version")
	add(r.SessionMoves, "sessions that changed version")
	add(r.BilledMore, "requests billed more than once")
	add(r.BilledNever, "requests that ran and were not billed")
	add(r.ForeignAnswers, "answers of another request")
	add(r.NotRunButRan, "requests reported as not run that ran")
	add(r.NonrepeatableRunTwice, "non-repeatable calls that ran more than once")
	add(r.LeavingRuns, "requests dispatched to a leaving endpoint")
	add(r.Reverts, "reverts to an older configuration")
	if r.planned {
		add(r.CutAnswers, "answers cut off by planned stops")
	}
	if len(violations) == 0 {
		return nil
	}
	return append(violations, r.details...)
}

// Verify checks a history against all guarantees.
func Verify(h History) Report {
	r := Report{planned: h.Planned}
	byPrompt := map[string][]EngineRun{}
	for _, run := range h.EngineRuns {
		byPrompt[run.Prompt] = append(byPrompt[run.Prompt], run)
	}
	servicePrompts := map[string]int{}
	for _, run := range h.ServiceRuns {
		servicePrompts[run.Prompt]++
	}
	r.checkAnswers(h, byPrompt, servicePrompts)
	r.checkSessions(h)
	r.checkRuns(h)
	r.checkBills(h)
	r.checkRevisions(h)
	return r
}

// checkAnswers checks the answers and errors that callers received.
func (r *Report) checkAnswers(h History, engines map[string][]EngineRun, services map[string]int) {
	calls := map[string]int{}
	for _, o := range h.Observations {
		r.Requests++
		ran := len(engines[o.Prompt]) + services[o.Prompt]
		switch {
		case o.Answered:
			r.Answered++
			r.checkAnswer(o)
		case o.Run == problem.NotRun:
			r.NotRun++
			if ran > 0 && o.Key == "" {
				r.NotRunButRan++
				r.addDetail("reported as not run, but ran: %s", o.Prompt)
			}
		default:
			r.Unknown++
		}
		if o.Nonrepeatable {
			calls[o.Prompt] = services[o.Prompt]
		}
	}
	r.checkRepeated(h)
	for prompt, count := range calls {
		if count > 1 {
			r.NonrepeatableRunTwice++
			r.addDetail("ran %d times: %s", count, prompt)
		}
	}
}

// checkRepeated checks requests that were sent several times with one idempotency key: if all
// attempts were reported as not run, none may have run.
func (r *Report) checkRepeated(h History) {
	allNotRun := map[string]bool{}
	for _, o := range h.Observations {
		if o.Key == "" {
			continue
		}
		before, seen := allNotRun[o.Prompt]
		allNotRun[o.Prompt] = (before || !seen) && !o.Answered && o.Run == problem.NotRun
	}
	for _, run := range h.ServiceRuns {
		if allNotRun[run.Prompt] {
			r.NotRunButRan++
			r.addDetail("reported as not run each time, but ran: %s", run.Prompt)
		}
	}
}

// checkAnswer checks that an answer belongs to the request and is complete.
func (r *Report) checkAnswer(o Observation) {
	if !strings.Contains(o.Answer, o.Prompt) && o.Answer != "" {
		r.ForeignAnswers++
		r.addDetail("answer to %q was %q", o.Prompt, o.Answer)
	}
	if !o.Ended {
		r.CutAnswers++
		r.addDetail("answer to %q was cut off: %q", o.Prompt, o.Answer)
	}
}

// checkSessions checks that each session used a single version.
func (r *Report) checkSessions(h History) {
	versions := map[string]string{}
	for _, o := range h.Observations {
		if o.Session == "" || o.Version == "" {
			continue
		}
		if first, ok := versions[o.Session]; ok && first != o.Version {
			r.SessionMoves++
			r.addDetail("session %s moved from %s to %s", o.Session, first, o.Version)
			continue
		}
		versions[o.Session] = o.Version
	}
}

// checkRuns checks the requests that engines ran: the version was allowed for the workspace and
// not withdrawn, and the engine was not leaving.
func (r *Report) checkRuns(h History) {
	workspaces := map[string]string{}
	for _, o := range h.Observations {
		workspaces[o.Prompt] = o.Workspace
	}
	for _, run := range h.EngineRuns {
		workspace, known := workspaces[run.Prompt]
		if known && h.Allowed != nil && !h.Allowed(workspace, run.Version) {
			r.DisallowedRuns++
			r.addDetail("%s ran for %s", run.Version, workspace)
		}
		for _, w := range h.Withdrawals {
			if w.Version == run.Version && run.Started.After(w.At) {
				r.WithdrawnRuns++
				r.addDetail("%s ran %s after its withdrawal was in force", run.Version, run.Started.Sub(w.At))
			}
		}
		for _, l := range h.Leavings {
			if l.Engine == run.Engine && run.Started.After(l.At) {
				r.LeavingRuns++
				r.addDetail("%s got a request %s after hosts should have noticed that it was leaving", run.Engine, run.Started.Sub(l.At))
			}
		}
	}
}

// checkBills checks that each request that ran is billed exactly once.
func (r *Report) checkBills(h History) {
	bills := map[string]int{}
	for _, b := range h.Bills {
		bills[b.RequestID]++
	}
	ran := map[string]bool{}
	for _, run := range h.EngineRuns {
		ran[run.RequestID] = true
	}
	for _, run := range h.ServiceRuns {
		ran[run.RequestID] = true
	}
	ids := make([]string, 0, len(ran))
	for id := range ran {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		switch bills[id] {
		case 0:
			r.BilledNever++
			r.addDetail("ran and was not billed: %s", id)
		case 1:
			r.BilledOnce++
		default:
			r.BilledMore++
			r.addDetail("billed %d times: %s", bills[id], id)
		}
	}
}

// checkRevisions checks that no host went back to an older configuration.
func (r *Report) checkRevisions(h History) {
	last := map[string]int64{}
	for _, a := range h.Applied {
		key := a.Host + "/" + a.Incarnation
		if a.Revision < last[key] {
			r.Reverts++
			r.addDetail("%s reverted from revision %d to %d", a.Host, last[key], a.Revision)
		}
		last[key] = max(last[key], a.Revision)
	}
}
