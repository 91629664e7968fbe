package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quaybarrow/internal/dispatch"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/retry"
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
	hosts := make([]*retryingHost, s.Hosts)
	for h := range hosts {
		hosts[h] = s.newHost(clock, random)
	}
	request := func() {
		h := hosts[random.IntN(s.Hosts)]
		run.requests++
		h.window = h.window.WithFirst(clock.now)
		var avoid []string
		for attempt := range dispatch.MaxAttempts {
			if judged && attempt > 0 && !h.mayRepeat(clock.now) {
				return
			}
			hold, ok := h.fleet.Pick(fleet.Request{Avoid: avoid})
			if !ok {
				return
			}
			run.attempts++
			if !s.isDown(hold) {
				run.served++
				clock.after(seconds(s.Service), func() { hold.Done(fleet.Result{Outcome: fleet.OutcomeGood}) })
				return
			}
			outcome := fleet.OutcomeNeutral // the baseline learns nothing
			if judged {
				outcome = fleet.OutcomeFailed
			}
			hold.Done(fleet.Result{Outcome: outcome})
			avoid = append(avoid, hold.Endpoint.ID)
		}
	}
	for clock.now < seconds(s.Length) {
		clock.run(clock.now + exponential(random, s.Rate))
		request()
	}
	clock.run(clock.now + time.Minute)
	return run
}

// retryingHost is what a host of the router knows.
type retryingHost struct {
	fleet  *fleet.Fleet
	window retry.Window
}

// workerSlots are the requests that a worker runs at once.
const workerSlots = 8

func (s RetriesScenario) newHost(clock *clockwork, random *rand.Rand) *retryingHost {
	f := fleet.New(fleet.Options{Now: clock.instant, Random: random.Float64, MaxEjection: time.Minute})
	for i := range s.Workers {
		f.Put(fleet.Endpoint{ID: fmt.Sprintf(workerName, i), Slots: workerSlots})
	}
	return &retryingHost{fleet: f}
}

// mayRepeat takes a repeat from the host's budget.
func (h *retryingHost) mayRepeat(now time.Duration) bool {
	next, ok := h.window.WithRetry(now, dispatch.DefaultRetries, 1)
	h.window = next
	return ok
}

// isDown reports whether a worker is one of those that fail.
func (s RetriesScenario) isDown(h *fleet.Hold) bool {
	return h.Endpoint.ID < fmt.Sprintf(workerName, s.Down)
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
