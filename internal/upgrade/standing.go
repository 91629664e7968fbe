package upgrade

import (
	"fmt"
	"math"

	"github.com/charmbracelet/log"
)

// String shows the verdict in logs.
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

// State is what a host knows of the newest upgrade of a service.
type State struct {
	Target  string
	Outcome Outcome // empty while the upgrade has not begun
	Stage   int
	Verdict Verdict
}

// String shows the standing in logs; empty if there is no upgrade.
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

// State returns how far the newest upgrade of a service is, for the log of a request.
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

// InProgress returns the version from which a service is being moved; false if no upgrade of it
// is under way.
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

// recordVerdict logs a judgement that differs from the one before, with what it goes by. Of a version
// that was rolled back nothing new is believed.
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

// fields tells in logs what a verdict goes by: what was seen, what it was weighed as with the
// hosts that have told nothing, the part that the version most likely fails besides its endpoints, how
// much likelier a bad and a good version is (as logarithms), and on how many endpoints failures were.
func (j Judgement) fields() []any {
	e := j.Estimated.fit
	return []any{
		"verdict", j.Verdict.String(), "reason", j.Reason,
		"target_seen", j.Seen.Target.String(), "others_seen", j.Seen.Other.String(),
		"target_weighed", j.Estimated.Target.String(), "silent", j.Silent, "recent", j.Recent.Target.String(),
		"excess", excessRates[e.mostLikely()], "bad_by", oneDecimal(e.logRatioBad(baselineBadRate)), "good_by", oneDecimal(e.logRatioGood(baselineBadRate)),
		"endpoints_failing", j.Seen.TargetByEndpoint.failing(), "endpoints_tried", len(j.Seen.TargetByEndpoint),
		"others_failing", j.Seen.OtherByEndpoint.failing(), "others_tried", len(j.Seen.OtherByEndpoint),
	}
}

// oneDecimal rounds for logs.
func oneDecimal(x float64) float64 { return math.Round(x*10) / 10 }
