package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/cascade"
	"quaybarrow/internal/fleet"
)

// escalationPart of the retry budget may go to larger models; the rest is for
// requests that failed.
const escalationPart = 0.85

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
	ask := x.fleetAsk(largest)
	ask.Avoid = nil // where the small model answered, the larger one may
	expected := x.expect(ask)
	kept := cascade.Answer{Right: cascade.ChanceRight(a.said.Confidence)}
	if took <= x.route.Objective {
		kept.InTime = 1
	}
	larger := cascade.Option{
		Answer: cascade.Answer{Right: cascade.LargestRight, InTime: expected.InTime(x.route.Objective - took)},
		Use:    x.use(largest), Size: x.size, Delay: expected.Price * expected.Work.Seconds() / x.route.Objective.Seconds(),
	}
	x.noteBeginning(kept, larger, expected)
	better := expected.Head > 0 && larger.Net() > kept.Value()
	granted := better && x.g.budgets.Repeat(x.service, escalationPart)
	x.g.Logger.Info("larger model weighed", "id", x.ask.ID, "model", largest, "confidence", a.said.Confidence, "kept", kept.Value(),
		"larger", larger.Value(), "use", larger.Use, "delay", larger.Delay, "in_time", larger.InTime, "took_ms", took.Milliseconds(),
		"expected_ms", expected.Head.Milliseconds(), "read", expected.Read, "price", expected.Price, "better", better, "asked", granted)
	if !granted {
		return false
	}
	x.model, x.larger = largest, true
	x.tried = nil
	return true
}

// noteBeginning takes in how much better the request would have done if it had begun
// with the larger model.
func (x *exchange) noteBeginning(kept cascade.Answer, larger cascade.Option, expected fleet.Expectation) {
	if expected.Head == 0 || x.sends > 1 {
		return
	}
	small := cascade.Option{Use: x.use(x.model), Size: x.size, Delay: x.expected.Price * x.expected.Work.Seconds() / x.route.Objective.Seconds()}
	atOnce := larger
	atOnce.InTime = expected.InTime(x.route.Objective)
	x.g.begins.note(x.route.Name, atOnce.Net()-max(kept.Value(), larger.Net())-small.Net())
}

// expect is what an attempt is expected to take, as the host knows that advises.
func (x *exchange) expect(ask fleet.Ask) fleet.Expectation {
	if x.g.Advice != nil {
		if e, ok := x.g.Advice.Expect(x.ctx, ask, x.versionKey); ok {
			return e
		}
	}
	return x.g.Fleet.Expect(ask)
}

// use is what the use of a model costs, as a part of the answer's worth.
func (x *exchange) use(model string) float64 {
	s, _ := x.table.Service(x.service)
	cost, largest := 0.0, 0.0
	for _, m := range s.Models {
		largest = max(largest, m.Cost)
		if m.Name == model {
			cost = m.Cost
		}
	}
	return cascade.Use(cost, largest)
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
