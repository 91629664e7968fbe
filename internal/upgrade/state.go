package upgrade

import (
	"fmt"
	"math"

	"github.com/charmbracelet/log"
)

// String formats the verdict for logs.
func (v Verdict) String() string {
	switch v {
	case VerdictClear:
		return "clear"
	case VerdictBad:
		return "bad"
	default:
		return "open"
	}
}

// State is a host's view of the newest upgrade of a service.
type State struct {
	Target  string
	Outcome Outcome // empty while the upgrade has not begun
	Stage   int
	Verdict Verdict
}

// String formats the state for logs; it is empty if there is no upgrade.
func (s State) String() string {
	switch {
	case s.Target == "":
		return ""
	case s.Outcome == "":
		return s.Target + " not begun"
	default:
		return fmt.Sprintf("%s %s, stage %d, %s", s.Target, s.Outcome, s.Stage, s.Verdict)
	}
}

// State returns the state of a service's newest upgrade, for the log of a request.
func (t *Tracker) State(name string) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok {
		return State{}
	}
	return s.state()
}

func (s *serviceUpgrade) state() State {
	state := State{Target: s.order.Target, Verdict: s.verdict}
	if s.hasBegun() {
		state.Outcome, state.Stage = s.progress.Outcome, s.progress.Stage
	}
	return state
}

// InProgress returns the version that a service is being moved from; ok is false if no upgrade of
// it is in progress.
func (t *Tracker) InProgress(name string) (from string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.services[name]
	if !known || s.finished() {
		return "", false
	}
	return t.baseVersion(name, s), true
}

// hasBegun reports whether the progress of the newest order is known.
func (s *serviceUpgrade) hasBegun() bool {
	return s.row.Version != 0 && s.progress.Revision == s.order.Revision
}

// recordVerdict stores and logs a judgement whose verdict differs from the last one, with the
// counts it is based on. A version that was rolled back keeps its verdict.
func (t *Tracker) recordVerdict(s *serviceUpgrade, j Judgement) {
	if j.Verdict == s.verdict || (s.hasBegun() && s.progress.Outcome == OutcomeRolledBack) {
		return
	}
	before := s.state()
	s.verdict = j.Verdict
	level := log.InfoLevel
	if j.Verdict == VerdictBad {
		level = log.WarnLevel
	}
	fields := []any{"service", s.order.Service, "target", s.order.Target, "before", before.String(), "hosts", len(s.others) + 1}
	t.options.Logger.Log(level, "version judged", append(fields, j.fields()...)...)
}

// fields returns log fields that explain a verdict: the counts as published; the counts including
// the estimate for unpublished answers; the most likely excess failure rate; the log likelihood
// ratios of a bad and of a good version; on how many endpoints the failures occurred; and the answers
// at each load level.
func (j Judgement) fields() []any {
	e := j.Weighed.fit
	return []any{
		"verdict", j.Verdict.String(), "reason", j.Reason,
		"target_seen", j.Seen.Target.String(), "others_seen", j.Seen.Other.String(),
		"target_weighed", j.Weighed.Target.String(), "silent", j.Silent, "recent", j.Recent.Target.String(),
		"excess", excessRates[e.mostLikely()], "bad_by", oneDecimal(e.logRatioBad(baselineBadRate)), "good_by", oneDecimal(e.logRatioGood(baselineBadRate)),
		"endpoints_failing", j.Seen.TargetByEndpoint.failing(), "endpoints_tried", len(j.Seen.TargetByEndpoint),
		"others_failing", j.Seen.OtherByEndpoint.failing(), "others_tried", len(j.Seen.OtherByEndpoint),
		"by_load", formatLevels(j.seen),
	}
}

// oneDecimal rounds a number for logs.
func oneDecimal(x float64) float64 { return math.Round(x*10) / 10 }
