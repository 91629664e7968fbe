package gateway

import (
	"testing"
	"time"

	"quaybarrow/internal/fleet"
)

// TestUnfinishedOutcome guards against endpoints that are blamed for callers that read slowly or give little
// time, and against endless responses that nobody is blamed for.
func TestUnfinishedOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		response unfinished
		want     fleet.Outcome
	}{
		"nothing has arrived":              {unfinished{lasted: 10 * time.Second, timeout: 10 * time.Second}, fleet.OutcomeNeutral},
		"its head was arriving":            {unfinished{headBegun: true}, fleet.OutcomeFailed},
		"its body took the whole time":     {unfinished{bodyBegun: true, lasted: 10 * time.Second, timeout: 10 * time.Second}, fleet.OutcomeFailed},
		"its body had half of the time":    {unfinished{bodyBegun: true, lasted: 5 * time.Second, timeout: 10 * time.Second}, fleet.OutcomeFailed},
		"its body had less":                {unfinished{bodyBegun: true, lasted: 4 * time.Second, timeout: 10 * time.Second}, fleet.OutcomeNeutral},
		"its caller took half of the time": {unfinished{bodyBegun: true, lasted: 10 * time.Second, awaitedCaller: 5 * time.Second, timeout: 10 * time.Second}, fleet.OutcomeNeutral},
	} {
		if got := c.response.outcome(); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
