// Package upgrade moves a service's traffic to another version of its endpoints,
// or back if the version is bad.
//
// # Usage
//
//	tracker := upgrade.NewTracker(options)
//	go tracker.Run(ctx)
//	allowed := tracker.Allowed("tagger", key) // versions that a request may run on
//	tracker.Note(upgrade.Report{Service: "tagger", Version: "v2", ...})
//
// An order names the target version and the time to be done in. A row in the
// store says when it was begun and which share of the keys the target has, so that
// all hosts give it the same one. Each host counts answers of both versions, and
// which of them were slow by what the other versions take at the same time, and
// publishes its counts; one that finds the sum bad stops using the target at once.
// Whoever finds the sum bad writes the roll-back, whoever finds it good and the time
// come the next share or the completion. A completion can't be taken back, since the old
// endpoints stop, so it needs good answers of the last seconds like every larger share:
// the time alone grants nothing. All write under the condition that the
// row is as they read it, so one of them wins and the others follow: that
// condition does what a lease would, and nobody has to hold one. Without evidence,
// as while the store is away, the share stays as it is.
package upgrade

import (
	"time"

	"quaybarrow/internal/clock"
)

// Order asks for a service to be moved to a version.
type Order struct {
	Service  string
	Target   string
	Within   time.Duration
	Revision int64 // of the order's row; a new order has a higher one
}

// Outcome is how far an upgrade is.
type Outcome string

// Outcomes.
const (
	OutcomeRunning    Outcome = "running"
	OutcomeCompleted  Outcome = "completed"
	OutcomeRolledBack Outcome = "rolled-back"
)

// Progress is the shared row of an upgrade.
type Progress struct {
	Revision int64   `json:"revision"` // of the order
	Target   string  `json:"target"`
	Base     string  `json:"base"`     // version in force before it, which a roll-back returns to; empty if not known
	StartMs  int64   `json:"start_ms"` // the latest that the store's clock may have shown at the beginning
	EndMs    int64   `json:"end_ms"`   // the earliest that it may show when the order's time is over
	Stage    int     `json:"stage"`    // how large the target's share is
	StageMs  int64   `json:"stage_ms"` // when the stage begins, by the store's clock
	Outcome  Outcome `json:"outcome"`
	Reason   string  `json:"reason,omitempty"`
}

// elapsedAt is how long ago the upgrade was begun at least, by a host's bounds of the
// store's clock. A session that moves before half of the time is over breaks the promise
// to keep its version; one that moves late breaks none.
func (p Progress) elapsedAt(now clock.Bounds) time.Duration {
	return now.Earliest - time.Duration(p.StartMs)*time.Millisecond
}

// Share is the part of the keys that goes to the target version, when so much has
// passed at least.
func (p Progress) Share(elapsed time.Duration, s Schedule) float64 {
	if s.within <= 0 || s.fractionOf(elapsed) < trialStart {
		return 0
	}
	stage := min(p.Stage, lastStage)
	if stage > 0 && !p.stageStarted(elapsed) {
		stage--
	}
	return s.stages[stage].share
}

// stageStarted reports whether the stage that was written last has begun.
func (p Progress) stageStarted(elapsed time.Duration) bool {
	return elapsed >= time.Duration(p.StageMs-p.StartMs)*time.Millisecond
}

// NextStageDue reports whether a larger share is due to be written, if there is evidence for it.
func (p Progress) NextStageDue(elapsed time.Duration, s Schedule) bool {
	return p.Stage < lastStage && p.stageStarted(elapsed) && elapsed+s.lead() >= s.timeOf(s.stages[p.Stage+1].start)
}

// CompletionDue reports whether an upgrade may be completed, if there is evidence for it.
func (p Progress) CompletionDue(now clock.Bounds, s Schedule) bool {
	return p.Stage == lastStage && p.stageStarted(p.elapsedAt(now)) && p.untilCompletion(now, s) <= 0
}

// untilCompletion is how long it is until the completion. The order's time runs from the order,
// not from the beginning, which hosts that hear late write late: so it goes by the latest
// that the store's clock may show, if that is not in much doubt.
func (p Progress) untilCompletion(now clock.Bounds, s Schedule) time.Duration {
	latest := min(now.Latest, now.Earliest+s.lead())
	return time.Duration(p.EndMs)*time.Millisecond - s.completionMargin() - latest
}
