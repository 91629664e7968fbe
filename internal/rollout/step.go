package rollout

import (
	"math"
	"time"

	"quaybarrow/internal/declare"
)

// Phase is the phase of a plan.
type Phase string

// Phases of a plan.
const (
	PhaseRunning   Phase = "running"
	PhaseHeld      Phase = "held" // by an operator
	PhaseAccepted  Phase = "accepted"
	PhaseWithdrawn Phase = "withdrawn"
)

// Action is the change of the version's state that a step requires.
type Action string

// Actions returned by Step.
const (
	ActionNone     Action = ""
	ActionAccept   Action = "accept"   // put the version into service
	ActionWithdraw Action = "withdraw" // take the bad version out of use
)

// Error rates of the decisions, and parameters of the window.
const (
	falseWithdrawRate    = 0.1   // of a version whose mean is not below the floor
	falseAcceptRate      = 0.05  // of a version whose mean is below the floor
	falseAlarmRate       = 0.001 // per rating, of a version in service
	suspectEvidence      = 3     // evidence of a mean below the floor that reduces the window to its minimum
	suspectWindowDivisor = 4     // the minimum window is the initial window divided by this
	windowGrowth         = 2.0   // added to the window per good rating
	windowShrink         = 0.5   // fraction by which a bad rating shrinks the window, before division by the initial window
	maxWindow            = 100_000
)

// State is the stored state of a plan. Step returns an updated copy.
type State struct {
	Plan         string         `json:"plan"`
	Version      string         `json:"version"`
	Phase        Phase          `json:"phase"`
	Epoch        int64          `json:"epoch"` // of the controller that wrote it
	Window       float64        `json:"window"`
	Granted      int64          `json:"granted"`           // total credits granted to hosts
	Rated        int64          `json:"rated"`             // ratings received
	FailingHosts int            `json:"failed"`            // hosts on which the version fails
	Expired      int64          `json:"expired"`           // credits whose ratings are no longer expected
	Batches      []Batch        `json:"batches,omitempty"` // unsettled grants, oldest first
	Settled      int64          `json:"dropped"`           // credits of settled batches
	AboveFloor   Evidence       `json:"good"`
	BelowFloor   Evidence       `json:"bad"`
	Change       ChangeDetector `json:"watch"`
	Sum          float64        `json:"sum"`
	Cursor       int64          `json:"cursor"` // sequence number of the last rating read
	Serial       int64          `json:"serial"` // of the last grant
	Started      time.Time      `json:"started"`
	Reason       string         `json:"reason,omitempty"`
}

// Batch is a number of credits granted at one time.
type Batch struct {
	At    time.Time `json:"at"`
	Count int64     `json:"count"`
}

// NewState returns the initial state of a plan.
func NewState(plan declare.Plan, now time.Time) State {
	return State{
		Plan: plan.Name, Version: plan.Version, Phase: PhaseRunning,
		Window: float64(plan.Window), AboveFloor: newEvidence(), BelowFloor: newEvidence(), Started: now,
	}
}

// Mean returns the mean of all ratings.
func (s State) Mean() float64 {
	if s.Rated == 0 {
		return 0
	}
	return s.Sum / float64(s.Rated)
}

// Outstanding returns the number of granted credits that are neither rated nor expired.
func (s State) Outstanding() int64 { return max(s.Granted-s.Rated-s.Expired, 0) }

// GrantableCredits returns the number of credits that may be granted now.
func (s State) GrantableCredits() int64 {
	if s.Phase != PhaseRunning {
		return 0
	}
	return max(int64(s.Window)-s.Outstanding(), 0)
}

// WithGrant returns the state after credits were granted.
func (s State) WithGrant(count int64, now time.Time) State {
	s.Granted += count
	s.Serial++
	s.Batches = append(s.Batches[:len(s.Batches):len(s.Batches)], Batch{At: now, Count: count})
	return s
}

// WithPhase returns the state in another phase.
func (s State) WithPhase(p Phase, reason string) State {
	s.Phase, s.Reason = p, reason
	return s
}

// minFailingHosts is the number of hosts on which a version must fail before it is withdrawn
// regardless of ratings. On a single host, the fault may be the host's own.
const minFailingHosts = 2

// WithFailingHosts records on how many of the live hosts the version fails, and withdraws the
// version if they are enough.
func (s State) WithFailingHosts(failing, live int) (State, Action) {
	s.FailingHosts = failing
	if s.Phase == PhaseWithdrawn || failing == 0 || failing < min(minFailingHosts, live) {
		return s, ActionNone
	}
	return s.WithPhase(PhaseWithdrawn, "the version fails"), ActionWithdraw
}

// Step processes ratings of the plan's version in order and returns the new state and the action
// to take.
func Step(s State, plan declare.Plan, ratings []float64, now time.Time) (State, Action) {
	s = s.expireCredits(now, plan.Timeout())
	for _, r := range ratings {
		s = s.withRating(r, plan)
		if action := s.verdict(plan); action != ActionNone {
			return s.withVerdict(action), action
		}
	}
	return s, ActionNone
}

// withRating adds one rating to the evidence and adjusts the window.
func (s State) withRating(r float64, plan declare.Plan) State {
	s.Rated++
	s.Sum += r
	s.Change = s.Change.update(r, plan.Floor)
	if s.Phase == PhaseAccepted {
		return s
	}
	s.AboveFloor = s.AboveFloor.update(r, plan.Floor, 1)
	s.BelowFloor = s.BelowFloor.update(r, plan.Floor, -1)
	s.Window = s.windowAfter(r, plan)
	return s
}

// windowAfter returns the window after a rating. It grows with each good rating and shrinks with
// each bad one, but not below its initial size. While the evidence is against the version, it
// stays at its initial size, or at the minimum if the evidence exceeds suspectEvidence.
func (s State) windowAfter(r float64, plan declare.Plan) float64 {
	initial := float64(plan.Window)
	switch {
	case s.BelowFloor.mean() > suspectEvidence:
		return math.Max(initial/suspectWindowDivisor, 1)
	case s.BelowFloor.mean() > s.AboveFloor.mean():
		return initial
	case r >= plan.Floor:
		return math.Min(s.Window+windowGrowth, maxWindow)
	default:
		return math.Max(s.Window*(1-windowShrink/math.Max(initial, 2)), initial)
	}
}

// verdict returns the action that the current evidence justifies.
func (s State) verdict(plan declare.Plan) Action {
	if s.Phase == PhaseAccepted {
		if s.Change.mean() > 1/falseAlarmRate {
			return ActionWithdraw
		}
		return ActionNone
	}
	switch {
	case s.BelowFloor.mean() > 1/falseWithdrawRate:
		return ActionWithdraw
	case s.AboveFloor.mean() > 1/falseAcceptRate && s.Rated >= int64(plan.Ratings):
		return ActionAccept
	default:
		return ActionNone
	}
}

// withVerdict returns the state after an accept or withdraw action.
func (s State) withVerdict(a Action) State {
	switch a {
	case ActionAccept:
		s.Change = ChangeDetector{}
		return s.WithPhase(PhaseAccepted, "ratings accept the version")
	case ActionWithdraw:
		if s.Phase == PhaseAccepted {
			return s.WithPhase(PhaseWithdrawn, "the version turned bad in service")
		}
		return s.WithPhase(PhaseWithdrawn, "ratings are below the floor")
	default:
		return s
	}
}

// expireCredits stops waiting for the ratings of credits older than the timeout, because not
// every answer is rated. Ratings settle the oldest credits first.
func (s State) expireCredits(now time.Time, timeout time.Duration) State {
	settled := s.Rated + s.Expired
	batches := s.Batches
	for len(batches) > 0 {
		end := s.Settled + batches[0].Count
		if end > settled {
			if now.Sub(batches[0].At) < timeout {
				break
			}
			s.Expired += end - max(settled, s.Settled)
			settled = end
		}
		s.Settled = end
		batches = batches[1:]
	}
	s.Batches = append([]Batch(nil), batches...)
	return s
}
