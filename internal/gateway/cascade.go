package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/cascade"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/prefill"
)

// escalationBudgetFraction is the fraction of the retry budget that may be spent on larger models.
// The rest is for requests that failed.
const escalationBudgetFraction = 0.85

// tryEscalate decides whether to drop the response and ask the largest model instead. If so, it
// sets the largest model as the one to ask next and returns true.
func (s *stream) tryEscalate(a *attempt) bool {
	x := s.x
	n := len(x.route.Models)
	if x.overShare {
		return false // a class over its share gets first answers only
	}
	if s.headerSent || n == 0 || x.model == x.route.Models[n-1] || a.header.Confidence == NoConfidence || x.sends >= x.route.Attempts {
		return false
	}
	c := x.compareWith(x.route.Models[n-1], a.header.Confidence)
	x.recordLargestFirstGain(c)
	granted := c.largerIsBetter() && x.g.retryBudgets.TakeRetry(x.service, escalationBudgetFraction)
	x.logComparison(c, granted)
	if !granted {
		return false
	}
	x.model, x.escalated = c.model, true
	x.tried = nil
	return true
}

// modelComparison compares a small model's response with a larger model that could be asked
// instead.
type modelComparison struct {
	model      string // the larger model
	confidence float64
	elapsed    time.Duration // since the request arrived
	kept       cascade.Answer
	larger     cascade.Option
	available  bool              // some endpoint takes a request to the larger model
	expected   fleet.Expectation // of the attempt at the larger model
}

// largerIsBetter reports whether the larger model's response, net of its cost, is worth more than
// the small model's.
func (c modelComparison) largerIsBetter() bool {
	return c.available && c.larger.NetValue() > c.kept.Value()
}

// compareWith compares a response of the given confidence with the expected response of a larger
// model.
func (x *exchange) compareWith(model string, confidence float64) modelComparison {
	req := x.fleetRequest(model)
	req.Avoid = nil // the endpoint that ran the small model may also run the larger one
	req.Budget = x.largerModelBudget()
	c := modelComparison{model: model, confidence: confidence, elapsed: clock.Since(x.start)}
	c.expected, c.available = x.expect(req)
	c.kept.Correct = cascade.CorrectProbability(confidence)
	if c.elapsed <= x.route.Objective {
		c.kept.InTime = 1
	}
	c.larger = cascade.Option{
		Answer: cascade.Answer{Correct: cascade.LargestCorrect, InTime: c.expected.InTime(x.route.Objective - c.elapsed)},
		Cost:   x.useCost(model), Size: x.relativeSize, Delay: x.delayCost(c.expected),
	}
	return c
}

// largerModelBudget returns the budget for an attempt at a larger model. Where capacity is shared, that gets only the room
// that the first answers of all requests leave: it takes many times the work of a smaller model's
// answer, and a request that is refused or late gets none.
func (x *exchange) largerModelBudget() prefill.Budget {
	if !x.sharesCapacity() {
		return prefill.Budget{}
	}
	return prefill.NewLargerBudget(x.table.ShortestObjective(x.service), x.route.Objective)
}

// delayCost returns how long other requests wait for an attempt's work, as a fraction of the
// objective. It is 0 where operators declare no objective.
func (x *exchange) delayCost(e fleet.Expectation) float64 {
	if x.route.Objective <= 0 {
		return 0
	}
	return e.Price * e.PrefillTime.Seconds() / x.route.Objective.Seconds()
}

// logComparison logs the comparison of a small model's response with a larger model.
func (x *exchange) logComparison(c modelComparison, granted bool) {
	x.g.Logger.Info("larger model weighed", "id", x.header.ID, "model", c.model, "confidence", c.confidence, "kept", c.kept.Value(),
		"larger", c.larger.Value(), "use", c.larger.Cost, "delay", c.larger.Delay, "in_time", c.larger.InTime, "took_ms", c.elapsed.Milliseconds(),
		"expected_ms", c.expected.Head.Milliseconds(), "read", c.expected.PrefillTokens, "price", c.expected.Price, "room", c.available, "better", c.largerIsBetter(), "asked", granted)
}

// recordLargestFirstGain records how much better the request would have done if it had started with
// the larger model.
func (x *exchange) recordLargestFirstGain(c modelComparison) {
	// Without shares larger models have no budget, so room never keeps a request from starting with one.
	x.g.firstModels.recordRoom(x.route.Name, c.available || !x.sharesCapacity())
	if !c.available || x.sends > 1 {
		return
	}
	small := cascade.Option{Cost: x.useCost(x.model), Size: x.relativeSize, Delay: x.delayCost(x.expected)}
	largestFirst := c.larger
	largestFirst.InTime = c.expected.InTime(x.route.Objective)
	x.g.firstModels.record(x.route.Name, largestFirst.NetValue()-max(c.kept.Value(), c.larger.NetValue())-small.NetValue())
}

// expect returns what an attempt is expected to take, as estimated by the host that advises or else
// by this host. It returns false if no endpoint takes the request.
func (x *exchange) expect(req fleet.Request) (fleet.Expectation, bool) {
	if x.g.Advice != nil {
		// The advising host's view of what is available counts only for a budget: it may lack endpoints
		// that this host knows, but it knows better what they hold.
		f, ok := x.g.Advice.Expect(x.ctx, req, x.versionKey)
		if ok && (f.Available || req.Budget.Bounded()) {
			return f.Expected, f.Available
		}
	}
	return x.g.Fleet.Expect(req)
}

// useCost returns the cost of using a model, as a fraction of the answer's value.
func (x *exchange) useCost(model string) float64 {
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

// fleetRequest returns the criteria for choosing an endpoint for a model.
func (x *exchange) fleetRequest(model string) fleet.Request {
	return fleet.Request{
		Service: x.service, Allowed: x.g.Upgrades.Allowed(x.service, x.versionKey), Focus: x.g.Upgrades.Focus(x.service, x.versionKey), Avoid: x.tried,
		Key: x.affinityKey(model), Model: model, Tokens: x.header.TokensIn, SharedTokens: x.header.sharedTokens(),
		Parts: x.promptParts(model), CacheTokens: x.cacheTokens(), Objective: x.route.Objective, Urgency: x.urgency, Order: x.placeOrder(),
		Regions: x.regions,
	}
}

// promptParts returns the prompt's parts with IDs that are specific to the model; nil for requests
// without a prompt.
func (x *exchange) promptParts(model string) []fleet.Part {
	if x.affinityKey(model) == 0 {
		return nil
	}
	salt := xxhash.Sum64String(model)
	parts := make([]fleet.Part, len(x.header.Parts))
	for i, p := range x.header.Parts {
		parts[i] = fleet.Part{ID: xxhash.Sum64String(p.ID) ^ salt, Tokens: p.Tokens}
	}
	return parts
}

// cacheTokens returns how many tokens an endpoint of the service caches; 0 if that is not declared.
func (x *exchange) cacheTokens() int {
	s, _ := x.table.Service(x.service)
	return s.CacheTokens
}
