package prefill_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"quaybarrow/internal/prefill"
)

// budgetCase is an engine with the prompts of a class of requests that it may get.
type budgetCase struct {
	shortest, objective time.Duration
	engine              prefill.Engine
	own                 time.Duration // to read the prompt
	admitted            bool
}

var budgetCases = map[string]budgetCase{
	"no objectives": {
		engine: prefill.Engine{Unread: time.Hour, Requests: 12, Slots: 12}, own: time.Second, admitted: true,
	},
	"a request that can't wait": {
		shortest: time.Second, objective: 1900 * time.Millisecond,
		engine: prefill.Engine{Unread: time.Hour, Requests: 12, Slots: 12}, own: time.Second, admitted: true,
	},
	"room for the prompt": {
		shortest: time.Second, objective: 2 * time.Second,
		engine: prefill.Engine{Unread: 300 * time.Millisecond, Requests: 3, Slots: 12}, own: 200 * time.Millisecond, admitted: true,
	},
	"a little too much to read": {
		shortest: time.Second, objective: 2 * time.Second,
		engine: prefill.Engine{Unread: 301 * time.Millisecond, Requests: 3, Slots: 12}, own: 200 * time.Millisecond,
	},
	"a prompt beyond the budget at an engine that reads nothing": {
		shortest: time.Second, objective: 4 * time.Second,
		engine: prefill.Engine{Requests: 3, Slots: 12}, own: 3 * time.Second, admitted: true,
	},
	"the last slot": {
		shortest: time.Second, objective: 4 * time.Second,
		engine: prefill.Engine{Requests: 11, Slots: 12}, own: time.Millisecond,
	},
	"the last but one": {
		shortest: time.Second, objective: 4 * time.Second,
		engine: prefill.Engine{Requests: 10, Slots: 12}, own: time.Millisecond, admitted: true,
	},
	"the only slot": {
		shortest: time.Second, objective: 4 * time.Second,
		engine: prefill.Engine{Slots: 1}, own: time.Millisecond, admitted: true,
	},
}

// TestBudget guards against long prompts that fill an engine, and against engines that stand idle.
func TestBudget(t *testing.T) {
	for name, c := range budgetCases {
		t.Run(name, func(t *testing.T) {
			b := prefill.NewBudget(c.shortest, c.objective)
			if got := b.Admits(c.engine, c.own); got != c.admitted {
				t.Errorf("admitted: %t, want %t", got, c.admitted)
			}
			sent := prefill.BudgetOf(b.Unread(), b.AllSlots())
			if got := sent.Admits(c.engine, c.own); got != c.admitted {
				t.Errorf("admitted by the budget that another host gets: %t, want %t", got, c.admitted)
			}
		})
	}
}

// TestLargerModelsUseTheLastSlot guards against larger models of short requests that never find room
// beside long prompts that wait.
func TestLargerModelsUseTheLastSlot(t *testing.T) {
	e := prefill.Engine{Unread: 500 * time.Millisecond, Requests: 11, Slots: 12}
	short := prefill.NewLargerBudget(time.Second, 1500*time.Millisecond)
	if !short.Admits(e, 100*time.Millisecond) {
		t.Error("the larger model of a request that can't wait was not admitted")
	}
	if long := prefill.NewLargerBudget(time.Second, 4*time.Second); long.Admits(e, 100*time.Millisecond) {
		t.Error("the larger model of a request that can wait was admitted")
	}
}

// TestIdleEnginesAreAdmitted guards against engines that stand idle while prompts wait.
func TestIdleEnginesAreAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shortest := time.Duration(rapid.IntRange(1, 5000).Draw(t, "shortest")) * time.Millisecond
		objective := shortest * time.Duration(rapid.IntRange(1, 10).Draw(t, "ratio"))
		own := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "own")) * time.Millisecond
		e := prefill.Engine{Slots: rapid.IntRange(1, 256).Draw(t, "slots")}
		if !prefill.NewBudget(shortest, objective).Admits(e, own) {
			t.Fatal("an idle engine was not admitted")
		}
	})
}
