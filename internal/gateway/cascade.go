package gateway

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/fleet"
)

// rightness is the measured chance that a small model's answer is right, by the
// confidence it gives: pairs in rising order. It is a prior, for nothing on the
// way tells which answers were right. Measured on both users' calm days by moving
// the threshold of a fixed rule from 0 to 80 and counting what was gained.
var rightness = []struct{ confidence, chance float64 }{
	{0, 0.02}, {20, 0.05}, {30, 0.12}, {40, 0.3}, {50, 0.55}, {60, 0.65}, {80, 0.85}, {100, 1},
}

// Values of answers, as parts of a right one that comes in time.
const (
	valueWrong = 0.05
	valueLate  = 0.3
	// gainLeast is what asking the largest model has to gain. It stands for the
	// price of the model's use, which the way does not tell beside the worth of
	// an answer; on both calm days less costs more than it brings.
	gainLeast = 0.43
	// gainUrgent is the same for the most urgent routes, whose answers are worth
	// most beside their price.
	gainUrgent = 0.33
	// escalationPart of the retry budget may go to larger models; the rest is
	// for requests that failed.
	escalationPart = 0.85
)

// chanceRight returns how likely an answer of a confidence is right.
func chanceRight(confidence float64) float64 {
	for i := 1; i < len(rightness); i++ {
		below, above := rightness[i-1], rightness[i]
		if confidence < above.confidence {
			part := (confidence - below.confidence) / (above.confidence - below.confidence)
			return below.chance + math.Max(part, 0)*(above.chance-below.chance)
		}
	}
	return 1
}

// escalationGain is what asking the largest model gains over an answer of a
// confidence, if the larger one comes in time and that answer does or does not.
func escalationGain(confidence float64, inTime bool) float64 {
	chance := chanceRight(confidence)
	small := chance + (1-chance)*valueWrong
	if !inTime {
		small *= valueLate
	}
	return 1 - small
}

// escalates reports whether the answer is dropped for the largest model's, and
// if so makes that the model to ask.
func (s *stream) escalates(a *attempt) bool {
	x := s.x
	n := len(x.route.Models)
	if s.begun || n == 0 || x.model == x.route.Models[n-1] || a.said.Confidence == ConfidenceUnsaid {
		return false
	}
	if x.sends >= x.route.Attempts {
		return false
	}
	largest := x.route.Models[n-1]
	took := time.Since(x.start)
	expected := took + x.g.Fleet.Expect(x.fleetAsk(largest)).Head
	gain, needed := escalationGain(a.said.Confidence, took <= x.route.Objective), x.gainNeeded()
	if gain < needed {
		return false
	}
	if expected > x.route.Objective {
		// A late answer is worth little more than this one, and under load the
		// larger model's time makes others late as well.
		x.g.Logger.Info("larger model would be late", "id", x.ask.ID, "model", largest, "confidence", a.said.Confidence, "gain", gain,
			"took_ms", took.Milliseconds(), "expected_ms", expected.Milliseconds())
		return false
	}
	granted := x.g.budgets.Repeat(x.service, escalationPart)
	x.g.Logger.Info("larger model", "id", x.ask.ID, "model", largest, "confidence", a.said.Confidence, "gain", gain, "needed", needed,
		"took_ms", took.Milliseconds(), "expected_ms", expected.Milliseconds(), "asked", granted)
	if !granted {
		return false
	}
	x.model = largest
	x.tried = nil
	return true
}

// gainNeeded is what asking the largest model has to gain.
func (x *exchange) gainNeeded() float64 {
	if x.route.Priority == 0 {
		return gainUrgent
	}
	return gainLeast
}

// fleetAsk is what the choice of an endpoint for a model goes by.
func (x *exchange) fleetAsk(model string) fleet.Ask {
	return fleet.Ask{
		Service: x.service, Allowed: x.g.Upgrades.Allowed(x.service, x.versionKey), Avoid: x.tried,
		Key: x.affinity(model), Model: model, Tokens: x.ask.TokensIn, Shared: x.ask.shared(),
		Parts: x.parts(model), Memory: x.memory(), Objective: x.route.Objective,
	}
}

// parts are those of the prompt, for a model; nil for requests without a prompt.
func (x *exchange) parts(model string) []fleet.Part {
	if x.affinity(model) == 0 {
		return nil
	}
	salt := xxhash.Sum64String(model)
	parts := make([]fleet.Part, len(x.ask.Parts))
	for i, p := range x.ask.Parts {
		parts[i] = fleet.Part{ID: xxhash.Sum64String(p.ID) ^ salt, Tokens: p.Tokens}
	}
	return parts
}

// memory is how many tokens an endpoint of the service keeps; 0 if nobody tells.
func (x *exchange) memory() int {
	s, _ := x.table.Service(x.service)
	return s.CacheTokens
}
