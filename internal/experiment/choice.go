package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"quaybarrow/internal/choose"
	"quaybarrow/internal/config"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/estimate"
)

// ChoiceScenario is what the choice of versions is tried on.
type ChoiceScenario struct {
	Seeds    int             `yaml:"seeds"`
	Requests int             `yaml:"requests"`
	Rate     float64         `yaml:"rate"`  // requests per second
	Delay    float64         `yaml:"delay"` // seconds until a rating comes
	Rated    float64         `yaml:"rated"` // part of the answers that are rated
	Versions []ChoiceVersion `yaml:"versions"`
	Classes  []ChoiceClass   `yaml:"classes"`
}

// ChoiceVersion is a version with what operators declare of it.
type ChoiceVersion struct {
	Name  string  `yaml:"name"`
	Cost  int64   `yaml:"cost"`  // per token, micro-units
	Prior float64 `yaml:"prior"` // the operators' guess
}

// ChoiceClass is a task class with the truth about it.
type ChoiceClass struct {
	Name    string    `yaml:"name"`
	Share   float64   `yaml:"share"` // of the requests
	Target  float64   `yaml:"target"`
	Quality []float64 `yaml:"quality"` // true mean rating, by version
}

// choicePolicy picks a version for a request of a class.
type choicePolicy func(c ChoiceClass, in choose.Input) int

// choiceRun is the outcome of one policy on one seed.
type choiceRun struct {
	cost    float64
	quality map[string]float64 // true mean, by class
	met     bool
}

// policies are the baselines and the router's own choice.
func (s ChoiceScenario) policies() []struct {
	name string
	pick choicePolicy
} {
	best := func(c ChoiceClass, _ choose.Input) int { return argmax(c.Quality) }
	cheapest := func(ChoiceClass, choose.Input) int { return s.cheapest() }
	split := func(c ChoiceClass, in choose.Input) int {
		if in.Random < 0.5 {
			return argmax(c.Quality)
		}
		return s.cheapest()
	}
	ours := func(_ ChoiceClass, in choose.Input) int {
		d, err := choose.Pick(in)
		if err != nil {
			return 0
		}
		for i, v := range s.Versions {
			if v.Name == d.Candidate.Ref.Model {
				return i
			}
		}
		return 0
	}
	return []struct {
		name string
		pick choicePolicy
	}{{"always best", best}, {"always cheapest", cheapest}, {"fixed split 50/50", split}, {"oracle", s.oracle}, {"quaybarrow", ours}}
}

// oracle knows the truth: the cheapest version, or mix of two, on the target.
func (s ChoiceScenario) oracle(c ChoiceClass, in choose.Input) int {
	bestCost, first, second, part := math.Inf(1), argmax(c.Quality), argmax(c.Quality), 1.0
	for i := range s.Versions {
		if c.Quality[i] >= c.Target && float64(s.Versions[i].Cost) < bestCost {
			bestCost, first, second, part = float64(s.Versions[i].Cost), i, i, 1
		}
		for j := range s.Versions {
			if c.Quality[i] >= c.Target || c.Quality[j] <= c.Target {
				continue
			}
			p := (c.Quality[j] - c.Target) / (c.Quality[j] - c.Quality[i])
			cost := p*float64(s.Versions[i].Cost) + (1-p)*float64(s.Versions[j].Cost)
			if cost < bestCost {
				bestCost, first, second, part = cost, i, j, p
			}
		}
	}
	if in.Random < part {
		return first
	}
	return second
}

func (s ChoiceScenario) cheapest() int {
	least := 0
	for i, v := range s.Versions {
		if v.Cost < s.Versions[least].Cost {
			least = i
		}
	}
	return least
}

func argmax(values []float64) int {
	best := 0
	for i, v := range values {
		if v > values[best] {
			best = i
		}
	}
	return best
}

func (s ChoiceScenario) candidates() []config.Candidate {
	list := make([]config.Candidate, len(s.Versions))
	for i, v := range s.Versions {
		ref := declare.Ref{Model: v.Name, Version: "1"}
		list[i] = config.Candidate{Ref: ref, Name: ref.String(), Version: declare.Version{
			Name: "1", State: declare.StateServing, OutputCost: v.Cost, Quality: v.Prior,
		}}
	}
	return list
}

// play runs one policy on one seed.
func (s ChoiceScenario) play(seed int, pick choicePolicy) choiceRun {
	random := source(seed, 1)
	clock := &clockwork{}
	run := choiceRun{quality: map[string]float64{}, met: true}
	counts := map[string]float64{}
	table := estimate.NewTable(nil)
	pending := map[estimate.Key][]float64{}
	candidates := s.candidates()
	for n := range s.Requests {
		clock.run(clock.now + exponential(random, s.Rate))
		if n%50 == 0 && len(pending) > 0 {
			table = table.WithRatings(pending)
			pending = map[estimate.Key][]float64{}
		}
		c := s.draw(random)
		in := choose.Input{
			Candidates: candidates, Workspace: "w", Class: c.Name, Target: c.Target,
			Estimates: table, Now: clock.wall(), Random: random.Float64(),
		}
		i := pick(c, in)
		run.cost += float64(s.Versions[i].Cost)
		run.quality[c.Name] += c.Quality[i]
		counts[c.Name]++
		score := 0.0
		if random.Float64() < c.Quality[i] {
			score = 1
		}
		if random.Float64() < s.Rated {
			key := estimate.Key{Workspace: "w", Class: c.Name, Version: candidates[i].Ref}
			clock.after(seconds(s.Delay), func() { pending[key] = append(pending[key], score) })
		}
	}
	for _, c := range s.Classes {
		run.quality[c.Name] /= counts[c.Name]
		run.met = run.met && run.quality[c.Name] >= c.Target
	}
	run.cost /= float64(s.Requests)
	return run
}

// draw picks a class by its share of the requests.
func (s ChoiceScenario) draw(random *rand.Rand) ChoiceClass {
	at := random.Float64()
	for _, c := range s.Classes {
		if at < c.Share {
			return c
		}
		at -= c.Share
	}
	return s.Classes[len(s.Classes)-1]
}

// runChoice compares the policies over all seeds.
func runChoice(s ChoiceScenario, options Options) Result {
	seeds := seedsOf(options, s.Seeds)
	result := Result{Seeds: seeds, Columns: []string{"policy", "cost per answer", "lowest quality over target", "seeds on target"}}
	costs := map[string]sample{}
	met := map[string]int{}
	for _, p := range s.policies() {
		var margins sample
		for seed := range seeds {
			run := s.play(seed, p.pick)
			costs[p.name] = append(costs[p.name], run.cost)
			if run.met {
				met[p.name]++
			}
			margin := math.Inf(1)
			for _, c := range s.Classes {
				margin = math.Min(margin, run.quality[c.Name]-c.Target)
			}
			margins = append(margins, margin)
		}
		result.Rows = append(result.Rows, []string{
			p.name, costs[p.name].spread(2), margins.spread(3), fmt.Sprintf("%d of %d", met[p.name], seeds),
		})
		result.Plot.Series = append(result.Plot.Series, Series{Name: p.name, Points: []Point{{X: costs[p.name].mean(), Y: margins.mean()}}})
	}
	result.Plot.Title, result.Plot.X, result.Plot.Y = "Choice: cost against quality", "cost per answer", "lowest quality over target"
	ours := costs["quaybarrow"].mean()
	overOracle, ofBest := ours/costs["oracle"].mean(), ours/costs["always best"].mean()
	result.Goals = []Goal{
		{"quality target met in every seed", fmt.Sprintf("%d of %d", met["quaybarrow"], seeds), met["quaybarrow"] == seeds},
		{"cost within 10% of the oracle's", share(overOracle - 1), overOracle <= 1.1},
		{"cost at most half of always best", share(ofBest), ofBest <= 0.5},
	}
	return result
}

// defaultStep is the period of controllers in virtual time.
const defaultStep = time.Second
