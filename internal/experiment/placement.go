package experiment

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/fleet"
)

// PlacementScenario is what placement is tried on.
type PlacementScenario struct {
	Seeds    int       `yaml:"seeds"`
	Workers  int       `yaml:"workers"`
	Hosts    int       `yaml:"hosts"`
	Slots    int       `yaml:"slots"` // requests that a worker decodes at once
	Load     float64   `yaml:"load"`  // part of the capacity
	Requests int       `yaml:"requests"`
	Lags     []float64 `yaml:"lags"`     // age of load reports, seconds; each is tried
	Prefixes int       `yaml:"prefixes"` // distinct prompt prefixes
	Cache    int       `yaml:"cache"`    // prefixes that a worker's cache holds
	Prefill  float64   `yaml:"prefill"`  // seconds to read a prefix that is not cached
	Token    float64   `yaml:"token"`    // seconds a token, when alone
	Tokens   int       `yaml:"tokens"`   // mean tokens of an answer
}

// worker is a fake engine: slots, a queue and a prefix cache.
type worker struct {
	running int
	queue   []*placed
	cache   []uint64 // newest last
	history []int    // load at each sample, for reports that lag
}

// placed is a request at a worker.
type placed struct {
	host    int
	arrived time.Duration
	prefix  uint64
	tokens  int
	hold    *fleet.Hold // at the router's own choice; nil for other policies
}

// placement is one run.
type placement struct {
	PlacementScenario
	clock   *clockwork
	random  *rand.Rand
	workers []*worker
	fleets  []*fleet.Fleet // by host
	reports [][]int        // by host and worker
	turns   []int          // of round robin, by host
	firsts  sample
	hits    int
	asked   int
	lag     time.Duration
}

// sampleEvery is how often a worker's load is noted for reports.
const sampleEvery = 250 * time.Millisecond

// placementPolicy picks a worker for a request at a host; the hold is nil but for
// the router's own choice.
type placementPolicy func(p *placement, host int, prefix uint64) (int, *fleet.Hold)

var placementPolicies = []struct {
	name string
	pick placementPolicy
}{
	{"random", func(p *placement, _ int, _ uint64) (int, *fleet.Hold) { return p.random.IntN(p.Workers), nil }},
	{"round robin", func(p *placement, host int, _ uint64) (int, *fleet.Hold) {
		p.turns[host]++
		return p.turns[host] % p.Workers, nil
	}},
	{"least reported load", func(p *placement, host int, _ uint64) (int, *fleet.Hold) {
		least := 0
		for i, r := range p.reports[host] {
			if r < p.reports[host][least] {
				least = i
			}
		}
		return least, nil
	}},
	{"affinity only", func(p *placement, _ int, prefix uint64) (int, *fleet.Hold) {
		home, most := 0, uint64(0)
		for i := range p.Workers {
			if w := xxhash.Sum64String(fmt.Sprint(prefix, "/", i)); w > most {
				home, most = i, w
			}
		}
		return home, nil
	}},
	{"quaybarrow", (*placement).choose},
}

// Lengths of prompts in tokens: a prefix is what takes Prefill to be read at the
// speed that the choice takes for granted at first.
const (
	prefixTokens = 4000
	promptTokens = 4400
)

// choose picks a worker as the router does.
func (p *placement) choose(host int, prefix uint64) (int, *fleet.Hold) {
	h, ok := p.fleets[host].Pick(fleet.Request{
		Key: prefix | 1, Model: "m", Tokens: promptTokens, SharedTokens: prefixTokens, Objective: time.Second,
	})
	if !ok {
		return 0, nil
	}
	var index int
	if _, err := fmt.Sscanf(h.Endpoint.ID, workerName, &index); err != nil {
		panic(err) // the names are this file's own
	}
	return index, h
}

// workerName names a worker by its place.
const workerName = "w%03d"

// newFleet returns what a host knows before the first request.
func (p *placement) newFleet() *fleet.Fleet {
	f := fleet.New(fleet.Options{
		Now: p.clock.instant, Random: p.random.Float64, SendingHosts: func(string) int { return p.Hosts },
	})
	for i := range p.Workers {
		f.Put(fleet.Endpoint{ID: fmt.Sprintf(workerName, i), Slots: p.Slots})
	}
	return f
}

// rate of arrivals at which the workers are loaded as asked, if most prefixes
// are cached.
func (s PlacementScenario) rate() float64 {
	service := float64(s.Tokens) * s.Token * 2
	return s.Load * float64(s.Workers*s.Slots) / service
}

func grid(rows, columns int) [][]int {
	g := make([][]int, rows)
	for i := range g {
		g[i] = make([]int, columns)
	}
	return g
}

// play runs one policy on one seed and lag.
func (s PlacementScenario) play(seed int, lag float64, pick placementPolicy) *placement {
	p := &placement{
		PlacementScenario: s, clock: &clockwork{}, random: source(seed, 3), lag: seconds(lag),
		reports: grid(s.Hosts, s.Workers),
	}
	for range s.Hosts {
		p.turns = append(p.turns, p.random.IntN(s.Workers))
		p.fleets = append(p.fleets, p.newFleet())
	}
	for range s.Workers {
		p.workers = append(p.workers, &worker{})
	}
	var note func()
	note = func() {
		for _, w := range p.workers {
			w.history = append(w.history, w.running+len(w.queue))
		}
		p.clock.after(sampleEvery, note)
	}
	p.clock.after(0, note)
	for h := range s.Hosts {
		p.clock.after(time.Duration(p.random.Int64N(int64(time.Second))), func() { p.read(h) })
	}
	prefixes := rand.NewZipf(p.random, 1.1, 4, uint64(s.Prefixes-1))
	for range s.Requests {
		p.clock.run(p.clock.now + exponential(p.random, s.rate()))
		host, prefix := p.random.IntN(s.Hosts), prefixes.Uint64()*0x2545f4914f6cdd1d+1
		w, hold := pick(p, host, prefix)
		tokens := max(1, int(float64(s.Tokens)*(0.5+p.random.Float64())))
		p.arrive(w, &placed{host: host, arrived: p.clock.now, prefix: prefix, tokens: tokens, hold: hold})
	}
	return p
}

// read has a host read all reports, and again in a second.
func (p *placement) read(host int) {
	back := int(p.lag / sampleEvery)
	for i, w := range p.workers {
		if at := len(w.history) - 1 - back; at >= 0 {
			p.reports[host][i] = w.history[at]
			name := fmt.Sprintf(workerName, i)
			p.fleets[host].Report(name, fleet.Report{
				Load:  fleet.Load{Running: w.history[at], Slots: p.Slots},
				Asked: p.clock.instant().Add(-p.lag), InFlight: min(p.fleets[host].InFlight(name), w.history[at]),
			})
		}
	}
	p.clock.after(time.Second, func() { p.read(host) })
}

func (p *placement) arrive(w int, r *placed) {
	if p.workers[w].running < p.Slots {
		p.begin(w, r)
		return
	}
	p.workers[w].queue = append(p.workers[w].queue, r)
}

func (p *placement) begin(index int, r *placed) {
	w := p.workers[index]
	w.running++
	p.asked++
	prefill := seconds(p.Prefill)
	if w.touch(r.prefix, p.Cache) {
		p.hits++
		prefill /= 20
	}
	pace := seconds(p.Token * (1 + float64(w.running)/float64(p.Slots)))
	p.firsts = append(p.firsts, (p.clock.now - r.arrived + prefill + pace).Seconds())
	if r.hold != nil {
		p.clock.after(prefill+pace, func() { r.hold.Head(fleet.Load{}) })
	}
	p.clock.after(prefill+time.Duration(r.tokens)*pace, func() {
		w.running--
		if r.hold != nil {
			r.hold.Done(fleet.Result{Outcome: fleet.OutcomeGood})
		}
		if len(w.queue) > 0 {
			next := w.queue[0]
			w.queue = w.queue[1:]
			p.begin(index, next)
		}
	})
}

// touch makes a prefix the newest of the cache; true if it was there.
func (w *worker) touch(prefix uint64, limit int) bool {
	for i, c := range w.cache {
		if c == prefix {
			w.cache = append(append(w.cache[:i:i], w.cache[i+1:]...), prefix)
			return true
		}
	}
	w.cache = append(w.cache, prefix)
	if len(w.cache) > limit {
		w.cache = w.cache[1:]
	}
	return false
}

// runPlacement compares the policies for each lag of the reports.
func runPlacement(s PlacementScenario, options Options) Result {
	seeds := seedsOf(options, s.Seeds)
	result := Result{Seeds: seeds, Columns: []string{"policy", "report lag", "first token p50", "first token p95", "prefix hits"}}
	p95, hits := map[string]sample{}, map[string]sample{}
	series := map[string]*Series{}
	for _, lag := range s.Lags {
		for _, policy := range placementPolicies {
			var half, high, hit sample
			for seed := range seeds {
				run := s.play(seed, lag, policy.pick)
				half = append(half, run.firsts.quantile(0.5))
				high = append(high, run.firsts.quantile(0.95))
				hit = append(hit, float64(run.hits)/float64(run.asked))
			}
			p95[policy.name] = append(p95[policy.name], high.mean())
			hits[policy.name] = append(hits[policy.name], hit.mean())
			if series[policy.name] == nil {
				series[policy.name] = &Series{Name: policy.name}
			}
			series[policy.name].Points = append(series[policy.name].Points, Point{lag, high.mean()})
			result.Rows = append(result.Rows, []string{
				policy.name, fmt.Sprintf("%g s", lag), half.spread(3) + " s", high.spread(3) + " s", share(hit.mean()),
			})
		}
	}
	result.Plot = Plot{Title: "Placement at " + share(s.Load) + " load", X: "report lag, s", Y: "first token p95, s"}
	for _, name := range sortedNames(series) {
		result.Plot.Series = append(result.Plot.Series, *series[name])
	}
	worst, herd := 0.0, 0.0
	for i := range s.Lags {
		worst = max(worst, ratio(p95["quaybarrow"][i], p95["round robin"][i]))
		herd = max(herd, ratio(p95["quaybarrow"][i], p95["quaybarrow"][0]))
	}
	lost := hits["affinity only"].mean() - hits["quaybarrow"].mean()
	result.Goals = []Goal{
		{"first token p95 at most half of round robin's", share(worst) + " at worst", worst <= 0.5},
		{"prefix hits within 10% of perfect affinity", share(lost) + " fewer", lost <= 0.1},
		{"no herd as reports lag: p95 against the shortest lag's", fmt.Sprintf("%.2f times at worst", herd), herd <= 1.5},
	}
	return result
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
