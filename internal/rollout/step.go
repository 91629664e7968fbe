package rollout

import (
	"math"
	"time"

	"quaybarrow/internal/declare"
)

// Phase is how far a plan has come.
type Phase string

// Phases of a plan.
const (
	PhaseRunning   Phase = "running"
	PhaseHeld      Phase = "held" // by an operator
	PhaseAccepted  Phase = "accepted"
	PhaseWithdrawn Phase = "withdrawn"
)

// Action is what a step asks for.
type Action string

// Actions of a step.
const (
	ActionNone     Action = ""
	ActionAccept   Action = "accept"   // the version goes into service
	ActionWithdraw Action = "withdraw" // it is bad
)

// Error rates of the decisions.
const (
	falseWithdrawRate    = 0.1
	falseAcceptRate      = 0.05  // of a version whose mean is below the floor
	falseAlarmRate       = 0.001 // per rating, of a version in service
	suspectEvidence      = 3     // wealth of the bet against it at which a version gets the least window
	suspectWindowDivisor = 4     // part of the first window that it gets then
	windowGrowth         = 2.0   // window added per rating in the version's favour
	windowShrink         = 0.5   // of the window, per rating against it
	maxWindow            = 100_000
)

// State is a plan as stored; Step returns new ones.
type State struct {
	Plan         string         `json:"plan"`
	Version      string         `json:"version"`
	Phase        Phase          `json:"phase"`
	Epoch        int64          `json:"epoch"` // of the controller that wrote it
	Window       float64        `json:"window"`
	Granted      int64          `json:"granted"`           // credits ever given to hosts
	Rated        int64          `json:"rated"`             // ratings that came back
	FailingHosts int            `json:"failed"`            // hosts on which the version fails
	Expired      int64          `json:"expired"`           // credits no longer waited for
	Batches      []Batch        `json:"batches,omitempty"` // grants not settled, oldest first
	Settled      int64          `json:"dropped"`           // credits of batches that are settled
	AboveFloor   Evidence       `json:"good"`
	BelowFloor   Evidence       `json:"bad"`
	Change       ChangeDetector `json:"watch"`
	Sum          float64        `json:"sum"`
	Cursor       int64          `json:"cursor"` // of the ratings taken in
	Serial       int64          `json:"serial"` // of the last grant
	Started      time.Time      `json:"started"`
	Reason       string         `json:"reason,omitempty"`
}

// Batch is some credits granted at one moment.
type Batch struct {
	At    time.Time `json:"at"`
	Count int64     `json:"count"`
}

// NewState starts a plan.
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

// Outstanding is how many answers may be out without a rating.
func (s State) Outstanding() int64 { return max(s.Granted-s.Rated-s.Expired, 0) }

// GrantableCredits is how many credits may be granted now.
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

// minFailingHosts is how many hosts must see a version fail before it is withdrawn
// without ratings; one may have a fault of its own.
const minFailingHosts = 2

// WithFailingHosts returns the verdict on a version that fails on some of the live hosts.
func (s State) WithFailingHosts(failing, live int) (State, Action) {
	s.FailingHosts = failing
	if s.Phase == PhaseWithdrawn || failing == 0 || failing < min(minFailingHosts, live) {
		return s, ActionNone
	}
	return s.WithPhase(PhaseWithdrawn, "the version fails"), ActionWithdraw
}

// Step takes in ratings of the plan's version, in order, and says what to do.
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

// withRating plays one rating.
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

// windowAfter opens the window with each good rating while the evidence is not
// against the version, and closes it on bad ones.
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

// verdict decides on the evidence so far.
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

// withVerdict notes a verdict.
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

// expireCredits gives up on credits whose ratings will not come, as ratings are partial.
// Ratings settle the oldest credits first.
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
