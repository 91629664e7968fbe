package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quaybarrow/internal/declare"
	"quaybarrow/internal/rollout"
)

// RolloutScenario is what roll-outs are tried on.
type RolloutScenario struct {
	Seeds  int       `yaml:"seeds"`
	Rate   float64   `yaml:"rate"`   // requests per second for the model
	Rated  float64   `yaml:"rated"`  // part of the answers that are rated
	Delays []float64 `yaml:"delays"` // seconds until a rating comes; each is tried
	Good   float64   `yaml:"good"`   // mean rating of a good version
	Bad    float64   `yaml:"bad"`
	Window int       `yaml:"window"`
	Floor  float64   `yaml:"floor"`
	Least  int       `yaml:"least"` // ratings before a version is accepted
	Hosts  int       `yaml:"hosts"`
	Later  int       `yaml:"later"` // ratings of the sliding mean, for versions that turn bad later
}

// plan is the scenario's roll-out plan for a rating delay.
func (s RolloutScenario) plan(delay float64) declare.Plan {
	return declare.Plan{
		Name: "p", Version: "m@2", Window: s.Window, Floor: s.Floor, Ratings: s.Least, RatingTimeout: int(3*delay) + 60,
	}
}

// rolloutRun is the outcome of one roll-out.
type rolloutRun struct {
	exposed  int // answers of the version before it was withdrawn, or accepted
	ended    time.Duration
	accepted bool
}

// rater rates answers of a version with a mean, after a delay.
type rater struct {
	random *rand.Rand
	clock  *clockwork
	rated  float64
	delay  time.Duration
	mean   float64
	came   []float64
}

func (r *rater) answer() {
	score := 0.0
	if r.random.Float64() < r.mean {
		score = 1
	}
	if r.random.Float64() < r.rated {
		r.clock.after(r.delay, func() { r.came = append(r.came, score) })
	}
}

// take returns the ratings that came since the last time.
func (r *rater) take() []float64 {
	came := r.came
	r.came = nil
	return came
}

func (s RolloutScenario) rater(seed int, delay, mean float64, clock *clockwork) *rater {
	return &rater{random: source(seed, 2), clock: clock, rated: s.Rated, delay: seconds(delay), mean: mean}
}

// windowed rolls a version out as the router does: a window of unrated answers,
// given to hosts as credits.
func (s RolloutScenario) windowed(seed int, delay, mean float64) rolloutRun {
	clock := &clockwork{}
	ratings := s.rater(seed, delay, mean, clock)
	plan := s.plan(delay)
	state := rollout.NewState(plan, clock.wall())
	credits := make([]int, s.Hosts)
	run := rolloutRun{}
	longest := 40*seconds(delay) + 2*time.Hour
	var arrive func()
	arrive = func() {
		h := ratings.random.IntN(s.Hosts)
		if credits[h] > 0 {
			credits[h]--
			run.exposed++
			ratings.answer()
		}
		clock.after(exponential(ratings.random, s.Rate), arrive)
	}
	clock.after(0, arrive)
	for clock.now < longest {
		clock.run(clock.now + defaultStep)
		var action rollout.Action
		state, action = rollout.Step(state, plan, ratings.take(), clock.wall())
		if action != rollout.ActionNone {
			run.ended, run.accepted = clock.now, action == rollout.ActionAccept
			return run
		}
		if room := state.GrantableCredits(); room > 0 {
			state = state.WithGrant(room, clock.wall())
			for i, n := range rollout.SplitCredits(int(room), s.Hosts, state.Serial) {
				credits[i] += n
			}
		}
	}
	run.ended = clock.now
	return run
}

// fixedShares are the steps of the baseline.
var fixedShares = []float64{0.01, 0.05, 0.25, 1}

// fixed rolls a version out in fixed steps of equal length, and withdraws it at
// the end of a step, or during it, when the mean of its ratings is below the
// floor.
func (s RolloutScenario) fixed(seed int, delay, mean float64, length time.Duration) rolloutRun {
	clock := &clockwork{}
	ratings := s.rater(seed, delay, mean, clock)
	run := rolloutRun{}
	step, sum, count := 0, 0.0, 0
	var arrive func()
	arrive = func() {
		if ratings.random.Float64() < fixedShares[step] {
			run.exposed++
			ratings.answer()
		}
		clock.after(exponential(ratings.random, s.Rate), arrive)
	}
	clock.after(0, arrive)
	for step < len(fixedShares)-1 {
		end := time.Duration(step+1) * length
		for clock.now < end {
			clock.run(min(clock.now+defaultStep, end))
			for _, r := range ratings.take() {
				sum += r
				count++
			}
			const least = 10 // ratings before the mean says anything
			if count >= least && sum/float64(count) < s.Floor {
				run.ended = clock.now
				return run
			}
		}
		step++
	}
	run.ended, run.accepted = clock.now, true
	return run
}

// turned counts the answers of a version in full service between its turning bad
// and its withdrawal, by the router's detector or by a sliding mean.
func (s RolloutScenario) turned(seed int, delay float64, detector bool) int {
	clock, exposed := &clockwork{}, 0
	ratings := s.rater(seed, delay, s.Good, clock)
	plan := s.plan(delay)
	state := rollout.NewState(plan, clock.wall()).WithPhase(rollout.PhaseAccepted, "")
	turn := 10*time.Minute + 2*seconds(delay)
	var arrive func()
	arrive = func() {
		if clock.now >= turn {
			ratings.mean = s.Bad
			exposed++
		}
		ratings.answer()
		clock.after(exponential(ratings.random, s.Rate), arrive)
	}
	clock.after(0, arrive)
	var recent []float64
	for clock.now < turn+10*seconds(delay)+time.Hour {
		clock.run(clock.now + defaultStep)
		came := ratings.take()
		var action rollout.Action
		state, action = rollout.Step(state, plan, came, clock.wall())
		recent = append(recent, came...)
		if over := len(recent) - s.Later; over > 0 {
			recent = recent[over:]
		}
		sliding := len(recent) == s.Later && sample(recent).mean() < s.Floor
		if detector && action == rollout.ActionWithdraw || !detector && sliding {
			return exposed
		}
	}
	return exposed
}

// runRollout compares roll-outs for each rating delay.
func runRollout(s RolloutScenario, options Options) Result {
	seeds := seedsOf(options, s.Seeds)
	result := Result{Seeds: seeds, Columns: []string{
		"rating delay", "good: time to full, window", "good: same, fixed steps", "good: stopped by mistake, window", "good: same, fixed steps",
		"bad: exposed, window", "bad: exposed, fixed steps", "later: exposed, detector", "later: exposed, sliding mean",
	}}
	window, steps := Series{Name: "window"}, Series{Name: "fixed steps"}
	worst, stops, runs, worstLater, worstExcess := 0.0, 0, 0, 0.0, 0.0
	for _, delay := range s.Delays {
		var goodTime, fixedTime, exposed, fixedExposed, later, sliding sample
		for seed := range seeds {
			run := s.windowed(seed, delay, s.Good)
			runs++
			if run.accepted {
				goodTime = append(goodTime, run.ended.Seconds())
			} else {
				stops++
			}
		}
		// The baseline gets the same time to full roll-out.
		length := seconds(goodTime.mean() / float64(len(fixedShares)-1))
		for seed := range seeds {
			good := s.fixed(seed, delay, s.Good, length)
			if good.accepted {
				fixedTime = append(fixedTime, good.ended.Seconds())
			}
			exposed = append(exposed, float64(s.windowed(seed, delay, s.Bad).exposed))
			fixedExposed = append(fixedExposed, float64(s.exposedFixed(seed, delay, length)))
			later = append(later, float64(s.turned(seed, delay, true)))
			sliding = append(sliding, float64(s.turned(seed, delay, false)))
		}
		worst = max(worst, ratio(exposed.mean(), fixedExposed.mean()))
		worstLater = max(worstLater, ratio(later.mean(), sliding.mean()))
		unavoidable := s.Rate * delay // answers given before the first bad rating can come
		worstExcess = max(worstExcess, ratio(later.mean()-unavoidable, sliding.mean()-unavoidable))
		window.Points = append(window.Points, Point{delay, exposed.mean()})
		steps.Points = append(steps.Points, Point{delay, fixedExposed.mean()})
		result.Rows = append(result.Rows, []string{
			fmt.Sprintf("%g s", delay), goodTime.spread(0) + " s", fixedTime.spread(0) + " s",
			fmt.Sprintf("%d of %d", seeds-len(goodTime), seeds), fmt.Sprintf("%d of %d", seeds-len(fixedTime), seeds),
			exposed.spread(0), fixedExposed.spread(0), later.spread(0), sliding.spread(0),
		})
	}
	result.Plot = Plot{Title: "Roll-out: answers of a bad version", X: "rating delay, s", Y: "answers", Series: []Series{window, steps}}
	result.Goals = []Goal{
		{"exposure to a bad version at most a fifth of fixed steps', at equal time", share(worst) + " at worst", worst <= 0.2},
		{"false stops of good versions under 1 in 100", fmt.Sprintf("%d of %d", stops, runs), stops*100 < runs},
		{"a version that turns bad later caught with half the exposure of a sliding mean", share(worstLater) + " at worst", worstLater <= 0.5},
		{"the same, beyond the answers given before the first bad rating can come", share(worstExcess) + " at worst", worstExcess <= 0.5},
	}
	return result
}

// exposedFixed is the exposure of the baseline to a bad version. One that it
// takes into full service goes on exposing until its ratings show it.
func (s RolloutScenario) exposedFixed(seed int, delay float64, length time.Duration) int {
	run := s.fixed(seed, delay, s.Bad, length)
	if !run.accepted {
		return run.exposed
	}
	return run.exposed + int(s.Rate*delay)
}
