package experiment

import (
	"fmt"
	"time"

	"quaybarrow/internal/dispatch"
	"quaybarrow/internal/endpoint"
	"quaybarrow/internal/place"
)

// RetriesScenario is what retries are tried on.
type RetriesScenario struct {
	Seeds   int     `yaml:"seeds"`
	Workers int     `yaml:"workers"`
	Down    int     `yaml:"down"` // workers that fail
	Hosts   int     `yaml:"hosts"`
	Rate    float64 `yaml:"rate"`   // requests per second over all hosts
	Length  float64 `yaml:"length"` // seconds with the workers down
	Service float64 `yaml:"service"`
}

// retriesRun is the outcome of one run.
type retriesRun struct{ requests, attempts, served int }

// play runs a while with some workers down. The router's hosts judge endpoints
// and have a retry budget; the baseline tries up to three times anywhere.
func (s RetriesScenario) play(seed int, judged bool) retriesRun {
	clock := &clockwork{}
	random := source(seed, 5)
	run := retriesRun{}
	health := make([][]endpoint.Health, s.Hosts)
	budgets := make([]dispatch.Budget, s.Hosts)
	flying := grid(s.Hosts, s.Workers)
	for h := range health {
		health[h] = make([]endpoint.Health, s.Workers)
		budgets[h] = dispatch.NewBudget()
	}
	pick := func(h int, avoid []string) int {
		list := make([]place.Endpoint, s.Workers)
		for i := range list {
			list[i] = place.Endpoint{ID: fmt.Sprint(i), Slots: 8, InFlight: flying[h][i], Ready: true, Slow: 1}
			if judged {
				list[i].Ready, list[i].Slow = health[h][i].Ready(clock.wall()), health[h][i].Slow(clock.wall())
			}
		}
		return place.Pick(list, place.Ask{Avoid: avoid}, random.Float64())
	}
	request := func() {
		h := random.IntN(s.Hosts)
		run.requests++
		budgets[h] = budgets[h].WithFirst()
		var avoid []string
		for attempt := range dispatch.MaxAttempts {
			if judged && attempt > 0 {
				next, ok := budgets[h].WithRetry()
				if !ok {
					return
				}
				budgets[h] = next
			}
			w := pick(h, avoid)
			if w < 0 {
				return
			}
			run.attempts++
			if w >= s.Down {
				run.served++
				flying[h][w]++
				health[h][w] = health[h][w].WithOutcome(endpoint.OutcomeGood, clock.wall())
				clock.after(seconds(s.Service), func() { flying[h][w]-- })
				return
			}
			health[h][w] = health[h][w].WithOutcome(endpoint.OutcomeFailed, clock.wall())
			avoid = append(avoid, fmt.Sprint(w))
		}
	}
	for clock.now < seconds(s.Length) {
		clock.run(clock.now + exponential(random, s.Rate))
		request()
	}
	clock.run(clock.now + time.Minute)
	return run
}

// runRetries compares the router's retries with unbounded ones.
func runRetries(s RetriesScenario, options Options) Result {
	seeds := seedsOf(options, s.Seeds)
	result := Result{Seeds: seeds, Columns: []string{"policy", "attempts per request", "served"}}
	var ours sample
	for _, policy := range []struct {
		name   string
		judged bool
	}{{"three tries anywhere", false}, {"quaybarrow", true}} {
		var attempts, served sample
		for seed := range seeds {
			run := s.play(seed, policy.judged)
			attempts = append(attempts, float64(run.attempts)/float64(run.requests))
			served = append(served, float64(run.served)/float64(run.requests))
		}
		result.Rows = append(result.Rows, []string{policy.name, attempts.spread(3), share(served.mean())})
		result.Plot.Series = append(result.Plot.Series, Series{Name: policy.name, Points: []Point{{attempts.mean(), served.mean()}}})
		ours = attempts
	}
	result.Plot.Title, result.Plot.X, result.Plot.Y = "Retries with workers down", "attempts per request", "part served"
	result.Goals = []Goal{{
		fmt.Sprintf("attempts per request under 1.2 with %d of %d workers down", s.Down, s.Workers),
		fmt.Sprintf("%.3f in the worst seed", ours.quantile(1)), ours.quantile(1) < 1.2,
	}}
	return result
}
