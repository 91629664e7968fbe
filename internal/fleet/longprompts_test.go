package fleet_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"quaybarrow/internal/standin/engine/batch"
)

// promptEngine are the parameters of the simulated engines.
var promptEngine = batch.Options{
	Slots: 12, Queue: 25, Chunk: 2048, Step: 2800 * time.Microsecond, StepPerSlot: 14500 * time.Nanosecond, TokensPerMs: 85,
	Memory: 425_000, Paces: map[string]float64{"small": 0.3, "medium": 0.8, "large": 3},
}

// promptModels are the fractions of the requests for each model, by kind, in two sites: one whose
// services are cascades, of which most requests end with the smallest model, and one where each kind
// has a model and the long prompts the largest one.
var promptModels = map[string]map[string]map[string]float64{
	"cascade": {
		"long":  {"small": 0.6, "medium": 0.3, "large": 0.1},
		"short": {"small": 0.6, "medium": 0.3, "large": 0.1},
		"label": {"small": 0.6, "medium": 0.3, "large": 0.1},
	},
	"long prompts at the largest model": {
		"long":  {"large": 1},
		"short": {"medium": 1},
		"label": {"small": 1},
	},
}

// fullSize is the number of engines for which the rates of promptKinds are given.
const fullSize = 140

// promptKinds returns the kinds of callers of a site with a number of engines.
func promptKinds(site string, engines int) []batch.Kind {
	kinds := []batch.Kind{
		{Name: "long", Rate: 101, Shared: 5400, Own: 6600, Out: 380, Objective: 4 * time.Second, Urgency: 2, Worth: 3},
		{Name: "short", Rate: 220, Shared: 200, Own: 630, Out: 290, Objective: time.Second, Urgency: 0, Worth: 1},
		{Name: "label", Rate: 215, Shared: 570, Own: 1800, Out: 24, Objective: 1500 * time.Millisecond, Urgency: 1, Worth: 1},
	}
	for i := range kinds {
		k := &kinds[i]
		k.Rate *= float64(engines) / fullSize
		k.Workspaces, k.EventTokens, k.Deadline, k.Models = 8, 12, 4*k.Objective, promptModels[site][k.Name]
	}
	return kinds
}

// promptSizes are the numbers of engines, with the seeds of each: few engines get few requests, and a
// share of them is certain only over many runs.
var promptSizes = map[int]uint64{5: 12, 60: 2, 300: 1}

// Times of a run.
const (
	promptWarmUp   = 10 * time.Second // in which the fleet learns the engines' speed
	promptMeasured = 10 * time.Second
	lostAfter      = 3 * time.Second
	lostFor        = 5 * time.Second
)

// promptCase is a load with the shares of requests that must begin in time, by kind.
type promptCase struct {
	change func(l *batch.Load) // at the start of the measured time
	heavy  bool                // long prompts are more than engines serve
	inTime map[string]float64
}

// longPrompts is the factor of the rate of long prompts in a burst.
const longPrompts = 8

// loseEngines takes 0.3 of the engines away for a while.
func loseEngines(l *batch.Load) {
	l.Clock.After(lostAfter, func() {
		for i := range (3*len(l.Engines) + 5) / 10 { // rounded
			l.Lose(i, lostFor)
		}
	})
}

var promptCases = map[string]promptCase{
	"usual": {
		change: func(*batch.Load) {},
		inTime: map[string]float64{"long": 0.97, "short": 0.97, "label": 0.97},
	},
	"long prompts at eight times": {
		heavy:  true,
		change: func(l *batch.Load) { l.SetRate("long", longPrompts) },
	},
	"long prompts at eight times and engines lost": {
		heavy: true,
		change: func(l *batch.Load) {
			l.SetRate("long", longPrompts)
			loseEngines(l)
		},
		inTime: map[string]float64{"short": 0.95, "label": 0.95},
	},
	"half of the engines slow": {
		change: func(l *batch.Load) {
			for _, e := range l.Engines[:len(l.Engines)/2] {
				e.SetPace(4)
			}
		},
	},
}

// run plays the case once.
func (c promptCase) run(site string, engines int, seed uint64) batch.Results {
	l := batch.NewLoad(batch.LoadOptions{Engines: engines, Engine: promptEngine, Kinds: promptKinds(site, engines), Seed: seed})
	l.Run(promptWarmUp)
	l.Count()
	c.change(l)
	l.Run(promptMeasured)
	return l.Finish()
}

// Heavy loads of more than maxLoadedEngines engines are played only if the variable allLoads is set.
const (
	maxLoadedEngines = 60
	allLoads         = "QUAYBARROW_ALL_LOADS"
)

// TestLongPromptsBesideShortOnes guards against short requests that wait behind the prompts of long
// ones on the same engine, and against engines that stand idle or requests that are refused under the
// usual load.
func TestLongPromptsBesideShortOnes(t *testing.T) {
	for site := range promptModels {
		for name, c := range promptCases {
			for engines, seeds := range promptSizes {
				t.Run(fmt.Sprintf("%s/%s/%d engines", site, name, engines), func(t *testing.T) {
					if engines > maxLoadedEngines && c.heavy && os.Getenv(allLoads) == "" {
						t.Skipf("takes minutes under the race detector; set %s=1 to play it", allLoads)
					}
					t.Parallel()
					var got batch.Results
					for seed := range seeds {
						got = got.Plus(c.run(site, engines, seed+1))
					}
					c.check(t, got)
				})
			}
		}
	}
}

// check reports the results and checks the shares in time.
func (c promptCase) check(t *testing.T, got batch.Results) {
	t.Logf("engines idle %.3f of the time", got.IdleShare())
	for _, kind := range []string{"long", "short", "label"} {
		n := got.Of(kind)
		t.Logf("%s: %v", kind, n)
		if n.InTimeShare() < c.inTime[kind] {
			t.Errorf("%s: %.3f in time, want at least %.2f", kind, n.InTimeShare(), c.inTime[kind])
		}
	}
}
