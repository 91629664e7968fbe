// Package upgrade moves a service's traffic to another version of its endpoints,
// or back if the version is bad.
//
// # Usage
//
//	tracker := upgrade.NewTracker(options)
//	go tracker.Run(ctx)
//	allowed := tracker.Allowed("tagger", key) // versions that a request may run on
//	tracker.Record(upgrade.Report{Service: "tagger", Version: "v2", ...})
//
// An order names the target version and the time within which the upgrade is to be done. A row in
// the store, the progress, holds the start of the upgrade and the stage, which determines the
// target's share of the keys; so all hosts use the same share. Each host counts the answers of the
// target and of the other versions, classifies some as slow by the pace of the other versions at
// the same time, and publishes its counts as evidence. A host that judges the sum of all hosts'
// counts bad stops using the target at once.
//
// A share of the requests, spread over all endpoints of the target, would show them at a small part of
// the load to come. So it goes to few of them (Focus), answers are also judged by the load of their
// endpoint, and a completion needs good answers at the loads that the other versions' endpoints bear.
//
// Any host writes the next step: the roll-back once it judges the sum bad, or the next share or the
// completion once it judges the sum good and the step is due. A completion cannot be undone, since
// the old endpoints stop, so like every larger share it needs good answers of the last seconds; it
// is never granted because time has passed. Every write is conditional on the row being as it was
// read, so that one host's write succeeds and the others follow it. This replaces a lease, and no
// host has to hold one. Without evidence, for example while the store is unreachable, the share
// stays as it is.
package upgrade

import (
	"time"

	"quaybarrow/internal/clock"
)

// Order requests that a service be moved to a version.
type Order struct {
	Service  string
	Target   string
	Within   time.Duration
	Revision int64 // of the order's row; increases with each order
}

// Outcome is the state of an upgrade as stored in its progress.
type Outcome string

// Outcomes.
const (
	OutcomeRunning    Outcome = "running"
	OutcomeCompleted  Outcome = "completed"
	OutcomeRolledBack Outcome = "rolled-back"
)

// Progress is the row of an upgrade that all hosts share.
type Progress struct {
	Revision int64   `json:"revision"` // of the order
	Target   string  `json:"target"`
	Base     string  `json:"base"`     // version in use before, to which a roll-back returns; empty if unknown
	StartMs  int64   `json:"start_ms"` // start of the upgrade, as the latest time that the store's clock may have shown
	EndMs    int64   `json:"end_ms"`   // end of the order's time, as the earliest time that the store's clock may show then
	Stage    int     `json:"stage"`    // index of the stage, which determines the target's share
	StageMs  int64   `json:"stage_ms"` // when the stage begins, by the store's clock
	Outcome  Outcome `json:"outcome"`
	Reason   string  `json:"reason,omitempty"`
}

// elapsedAt returns the least time that has passed since the start, given a host's bounds of the
// store's clock. The lower bound is used because a session that moves before half of the time is
// over breaks the guarantee that it keeps its version, while one that moves late does not.
func (p Progress) elapsedAt(now clock.Bounds) time.Duration {
	return now.Earliest - time.Duration(p.StartMs)*time.Millisecond
}

// Share returns the fraction of the keys that goes to the target once at least elapsed has passed.
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

// stageStarted reports whether the stage written last has begun.
func (p Progress) stageStarted(elapsed time.Duration) bool {
	return elapsed >= time.Duration(p.StageMs-p.StartMs)*time.Millisecond
}

// NextStageDue reports whether the next stage is to be written, provided the evidence allows it.
func (p Progress) NextStageDue(elapsed time.Duration, s Schedule) bool {
	return p.Stage < lastStage && p.untilNextStage(elapsed, s) <= 0
}

// untilNextStage returns the time until the next stage is to be written.
func (p Progress) untilNextStage(elapsed time.Duration, s Schedule) time.Duration {
	untilStarted := time.Duration(p.StageMs-p.StartMs)*time.Millisecond - elapsed
	untilDue := s.timeOf(s.stages[p.Stage+1].start) - s.lead() - elapsed - p.lateness(s)
	return max(untilStarted, untilDue)
}

// lateness returns how long after the order the upgrade started. The stages after the first are timed
// from the order: timed from the start, the last one would lose that much of its length, and with it
// answers under load.
func (p Progress) lateness(s Schedule) time.Duration {
	return max(s.within-time.Duration(p.EndMs-p.StartMs)*time.Millisecond, 0)
}

// CompletionDue reports whether the upgrade is to be completed, provided the evidence allows it.
func (p Progress) CompletionDue(now clock.Bounds, s Schedule) bool {
	return p.Stage == lastStage && p.stageStarted(p.elapsedAt(now)) && p.untilCompletion(now, s) <= 0
}

// overtime reports whether the order's time is over.
func (p Progress) overtime(now clock.Bounds) bool {
	return now.Earliest >= time.Duration(p.EndMs)*time.Millisecond
}

// untilCompletion returns the time left until the completion. The order's time runs from the order,
// not from the start in the progress, which hosts write late if they learn of the order late. So it
// uses the latest time that the store's clock may show, unless the bounds are far apart.
func (p Progress) untilCompletion(now clock.Bounds, s Schedule) time.Duration {
	latest := min(now.Latest, now.Earliest+s.lead())
	return time.Duration(p.EndMs)*time.Millisecond - s.completionMargin() - latest
}
