// Package prefill bounds the prompts that an engine holds unread, so that long prompts don't delay the
// short ones that come after them.
//
// # Usage
//
//	b := prefill.NewBudget(shortestObjective, objective)
//	if b.Admits(prefill.Engine{Unread: unread, Requests: 7, Slots: 12}, own) { ...the engine may get the prompt now... }
//
// An engine reads prompts in pieces, and the next request waits for those that the engine has admitted. The
// load that the package answers is more long prompts than engines can read: without a bound they fill each
// engine's slots and queue, and short requests wait behind them or are rejected, though they need a small
// part of the engines' capacity. A request whose objective leaves it time waits at the host instead, and is
// sent to the first engine that has room. No engine is reserved: each takes long prompts within its
// budget, and one that has nothing to read takes any prompt.
package prefill

import (
	"math"
	"time"
)

const (
	// MinObjectiveRatio is the least ratio of a request's objective to the shortest one of its service at
	// which the request can wait for others.
	MinObjectiveRatio = 2
	// unreadPart of the shortest objective is the longest time that an engine may need for the prompts
	// that it holds unread. The rest of the objective is left for a slot, the request's own prompt and the
	// way to the engine and back.
	unreadPart = 0.5
	// largerUnreadPart is the same for larger models of requests that can't wait. It is more, so that
	// these find room beside long prompts that wait to fill an engine up to unreadPart.
	largerUnreadPart = 0.75
	// idleUnread is the time to read with which an engine counts as one that reads nothing: less than a piece
	// of a prompt takes.
	idleUnread = 20 * time.Millisecond
	// reservedPart of an engine's slots, one at least, is left to requests that can't wait: one that finds
	// all slots taken waits until a response ends, which takes long where responses are long.
	reservedPart = 0.1
)

// Budget bounds what an engine may hold unread when it gets a request. The zero value bounds nothing. It is
// immutable.
type Budget struct {
	unread   time.Duration
	allSlots bool // the slots that are left to requests that can't wait may be used
}

// NewBudget returns the budget for requests with an objective, where shortest is the shortest objective of
// the requests to their service. Requests whose objective leaves them no time are not bounded.
func NewBudget(shortest, objective time.Duration) Budget {
	if shortest <= 0 || objective < MinObjectiveRatio*shortest {
		return Budget{}
	}
	return Budget{unread: time.Duration(unreadPart * float64(shortest))}
}

// NewLargerBudget returns the budget for an attempt at a larger model, for a request with an objective.
func NewLargerBudget(shortest, objective time.Duration) Budget {
	if b := NewBudget(shortest, objective); b.Bounded() {
		return b
	}
	return Budget{unread: time.Duration(largerUnreadPart * float64(max(shortest, 0))), allSlots: true}
}

// BudgetOf returns the budget with the values of another; a time of 0 bounds nothing.
func BudgetOf(unread time.Duration, allSlots bool) Budget {
	return Budget{unread: max(unread, 0), allSlots: allSlots}
}

// Unread returns the longest time to read that an engine may hold; 0 if it is not bounded.
func (b Budget) Unread() time.Duration { return b.unread }

// AllSlots reports whether the slots that are left to requests that can't wait may be used.
func (b Budget) AllSlots() bool { return b.allSlots }

// Bounded reports whether the budget bounds anything.
func (b Budget) Bounded() bool { return b.unread > 0 }

// Engine is what is known of an engine. It is immutable.
type Engine struct {
	Unread   time.Duration // that it needs for the prompts that it holds unread
	Requests float64       // that it runs or that wait there
	Slots    int
}

// Admits reports whether an engine may get a prompt that takes it a time to read.
func (b Budget) Admits(e Engine, own time.Duration) bool {
	if !b.Bounded() {
		return true
	}
	reserved := max(math.Floor(reservedPart*float64(e.Slots)), 1)
	if b.allSlots {
		reserved = 0
	}
	if e.Requests+1 > max(float64(e.Slots)-reserved, 1) {
		return false
	}
	return e.Unread <= idleUnread || e.Unread+own <= b.unread
}
