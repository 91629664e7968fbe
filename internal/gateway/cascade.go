package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/cascade"
	"quaybarrow/internal/clock"
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
	if s.begun || n == 0 || x.model == x.route.Models[n-1] || a.said.Confidence == ConfidenceUnsaid || x.sends >= x.route.Attempts {
		return false
	}
	w := x.weigh(x.route.Models[n-1], a.said.Confidence)
	x.noteBeginning(w)
	granted := w.better() && x.g.budgets.TakeRetry(x.service, escalationPart)
	x.logWeighing(w, granted)
	if !granted {
		return false
	}
	x.model, x.larger = w.model, true
	x.tried = nil
	return true
}

// weighing is a small model's answer against a larger one that may be asked for.
type weighing struct {
	model      string // the larger one
	confidence float64
	took       time.Duration // so far
	kept       cascade.Answer
	larger     cascade.Option
	possible   bool              // some endpoint takes the larger model's
	expected   fleet.Expectation // of the larger model's answer
}

// better reports whether the larger model's answer is worth more.
func (w weighing) better() bool { return w.possible && w.larger.NetValue() > w.kept.Value() }

// weigh weighs an answer of a confidence against a larger model's.
func (x *exchange) weigh(model string, confidence float64) weighing {
	ask := x.fleetAsk(model)
	ask.Avoid = nil // where the small model answered, the larger one may
	w := weighing{model: model, confidence: confidence, took: clock.Since(x.start)}
	w.expected, w.possible = x.expect(ask)
	w.kept.Right = cascade.CorrectProbability(confidence)
	if w.took <= x.route.Objective {
		w.kept.InTime = 1
	}
	w.larger = cascade.Option{
		Answer: cascade.Answer{Right: cascade.LargestCorrect, InTime: w.expected.InTime(x.route.Objective - w.took)},
		Use:    x.use(model), Size: x.size, Delay: x.delay(w.expected),
	}
	return w
}

// delay is how long others wait for an attempt's work, as a part of the objective;
// nothing where operators declare none.
func (x *exchange) delay(e fleet.Expectation) float64 {
	if x.route.Objective <= 0 {
		return 0
	}
	return e.Price * e.Work.Seconds() / x.route.Objective.Seconds()
}

// logWeighing writes the line about a small model's answer.
func (x *exchange) logWeighing(w weighing, granted bool) {
	x.g.Logger.Info("larger model weighed", "id", x.ask.ID, "model", w.model, "confidence", w.confidence, "kept", w.kept.Value(),
		"larger", w.larger.Value(), "use", w.larger.Use, "delay", w.larger.Delay, "in_time", w.larger.InTime, "took_ms", w.took.Milliseconds(),
		"expected_ms", w.expected.Head.Milliseconds(), "read", w.expected.Read, "price", w.expected.Price, "better", w.better(), "asked", granted)
}

// noteBeginning takes in how much better the request would have done if it had begun
// with the larger model.
func (x *exchange) noteBeginning(w weighing) {
	if !w.possible || x.sends > 1 {
		return
	}
	small := cascade.Option{Use: x.use(x.model), Size: x.size, Delay: x.delay(x.expected)}
	atOnce := w.larger
	atOnce.InTime = w.expected.InTime(x.route.Objective)
	x.g.begins.note(x.route.Name, atOnce.NetValue()-max(w.kept.Value(), w.larger.NetValue())-small.NetValue())
}

// expect is what an attempt is expected to take, as the host knows that advises; false
// if no endpoint takes it.
func (x *exchange) expect(ask fleet.Ask) (fleet.Expectation, bool) {
	if x.g.Advice != nil {
		if e, ok := x.g.Advice.Expect(x.ctx, ask, x.versionKey); ok {
			return e, true
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
	return cascade.RelativeCost(cost, largest)
}

// fleetAsk is what the choice of an endpoint for a model goes by.
func (x *exchange) fleetAsk(model string) fleet.Ask {
	return fleet.Ask{
		Service: x.service, Allowed: x.g.Upgrades.Allowed(x.service, x.versionKey), Avoid: x.tried,
		Key: x.affinity(model), Model: model, Tokens: x.ask.TokensIn, Shared: x.ask.shared(),
		Parts: x.parts(model), Memory: x.memory(), Objective: x.route.Objective, Urgency: x.urgency,
		Regions: x.regions,
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
