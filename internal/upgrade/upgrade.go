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
// come the next share or the completion. All write under the condition that the
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
	StartMs  int64   `json:"start_ms"` // the latest that the store's clock may have shown at the beginning
	Stage    int     `json:"stage"`    // how large the target's share is
	StageMs  int64   `json:"stage_ms"` // when the stage begins, by the store's clock
	Outcome  Outcome `json:"outcome"`
	Reason   string  `json:"reason,omitempty"`
}

// Stages of an upgrade, as parts of its time. A session that is under way keeps
// its version in the first half, and hosts do not know which sessions are under
// way elsewhere, so nothing moves before. Then a trial share begins by itself; a
// larger one needs evidence that the target does well. The rest is for requests to
// finish on old endpoints, which stop at completion.
const (
	trialAt      = 0.50
	completionAt = 0.92
	// drainPart passes from the last stage to completion, and completion comes by
	// latestAt even so.
	drainPart = 0.15
	latestAt  = 0.98
)

// stages are the shares of the keys that go to the target, and the earliest time
// for each.
var stages = []struct{ at, share float64 }{{trialAt, 0.2}, {0.60, 0.5}, {0.72, 1}}

// lastStage is the one in which all keys go to the target.
var lastStage = len(stages) - 1

// elapsedAt is how long ago the upgrade was begun at least, by a host's bounds of the
// store's clock. A session that moves before half of the time is over breaks the promise
// to keep its version; one that moves late breaks none.
func (p Progress) elapsedAt(now clock.Bounds) time.Duration {
	return now.Earliest - time.Duration(p.StartMs)*time.Millisecond
}

// Share is the part of the keys that goes to the target version, when so much has
// passed at least.
func (p Progress) Share(elapsed, within time.Duration) float64 {
	if within <= 0 || partOf(elapsed, within) < trialAt {
		return 0
	}
	stage := min(p.Stage, lastStage)
	if stage > 0 && !p.raised(elapsed) {
		stage--
	}
	return stages[stage].share
}

// raised reports whether the stage that was written last has begun.
func (p Progress) raised(elapsed time.Duration) bool {
	return elapsed >= time.Duration(p.StageMs-p.StartMs)*time.Millisecond
}

// raiseLead is how long before its beginning a larger share is written, so that all hosts
// know of it by then: what a host hears later it does later, and a session that goes to
// the target on one host comes back on another. The change reached 295 hosts in 0.17 and
// 0.25 s (log of a played day), and takes 0.7 s at most: 0.4 s at its reader, 0.3 s until
// hosts ask again.
const raiseLead = time.Second

// raiseLeadPart of an upgrade's time bounds that lead.
const raiseLeadPart = 0.0625

// leadOf is the lead in an upgrade of a length.
func leadOf(within time.Duration) time.Duration {
	return min(raiseLead, time.Duration(raiseLeadPart*float64(within)))
}

// Rises reports whether a larger share is due, if there is evidence for it.
func (p Progress) Rises(elapsed, within time.Duration) bool {
	return p.Stage < lastStage && p.raised(elapsed) && partOf(elapsed, within) >= stages[p.Stage+1].at
}

// Due reports whether an upgrade without complaint may be completed.
func (p Progress) Due(elapsed, within time.Duration) bool {
	if p.Stage < lastStage {
		return false
	}
	raised := time.Duration(p.StageMs-p.StartMs) * time.Millisecond
	drained := partOf(raised, within) + drainPart
	return partOf(elapsed, within) >= min(max(completionAt, drained), latestAt)
}

func partOf(elapsed, within time.Duration) float64 {
	return float64(elapsed) / float64(within)
}
