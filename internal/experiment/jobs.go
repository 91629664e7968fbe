package experiment

import (
	"math/rand/v2"
	"time"
)

// JobsScenario is what finding deferred work is tried on.
type JobsScenario struct {
	Seeds   int     `yaml:"seeds"`
	Hosts   int     `yaml:"hosts"`
	Workers int     `yaml:"workers"` // jobs that a host runs at once
	Rate    float64 `yaml:"rate"`    // jobs per second
	Service float64 `yaml:"service"` // seconds of a job
	Length  float64 `yaml:"length"`
	Call    float64 `yaml:"call"`   // seconds that a call to the table takes
	Shards  []int   `yaml:"shards"` // each is tried
	Probes  []int   `yaml:"probes"` // shards looked into at a time; each is tried
}

// Rows that an idle host looks at in a shard, and its waits between looks, as in
// package job.
const (
	jobRows = 4
	minIdle = 200 * time.Millisecond
	maxIdle = 5 * time.Second
)

// jobRun is the outcome of one run.
type jobRun struct {
	calls int // to the table, by idle hosts and claims
	done  int
	waits sample
}

// waitingJob is a job in a shard.
type waitingJob struct {
	submitted time.Duration
	claimed   bool
}

// jobQueue is one run.
type jobQueue struct {
	JobsScenario
	clock  *clockwork
	random *rand.Rand
	shards [][]*waitingJob
	probes int
	run    jobRun
}

func (s JobsScenario) play(seed, shards, probes int) jobRun {
	q := &jobQueue{
		JobsScenario: s, clock: &clockwork{}, random: source(seed, 6), shards: make([][]*waitingJob, shards), probes: min(probes, shards),
	}
	for range s.Hosts * s.Workers {
		q.clock.after(time.Duration(q.random.Int64N(int64(maxIdle))), func() { q.look(minIdle) })
	}
	var submit func()
	submit = func() {
		shard := q.random.IntN(shards)
		q.shards[shard] = append(q.shards[shard], &waitingJob{submitted: q.clock.now})
		q.clock.after(exponential(q.random, s.Rate), submit)
	}
	q.clock.after(0, submit)
	q.clock.run(seconds(s.Length))
	return q.run
}

// look has an idle worker look into random shards, one after the other.
func (q *jobQueue) look(idle time.Duration) {
	q.lookIn(q.random.Perm(len(q.shards))[:q.probes], idle)
}

func (q *jobQueue) lookIn(shards []int, idle time.Duration) {
	if len(shards) == 0 {
		wait := idle/2 + time.Duration(q.random.Int64N(int64(idle)))
		q.clock.after(wait, func() { q.look(min(2*idle, q.longestIdle())) })
		return
	}
	q.run.calls++ // the scan
	seen := append([]*waitingJob(nil), q.shards[shards[0]][:min(jobRows, len(q.shards[shards[0]]))]...)
	q.clock.after(seconds(q.Call), func() { q.claim(seen, shards, idle) })
}

// longestIdle is the longest wait between two looks, as in package job.
func (q *jobQueue) longestIdle() time.Duration {
	const fewHosts = 12
	return maxIdle * time.Duration(max(q.Hosts, fewHosts)) / fewHosts
}

// claim tries the jobs seen, in order; each costs a read and a write.
func (q *jobQueue) claim(seen []*waitingJob, shards []int, idle time.Duration) {
	if len(seen) == 0 {
		q.lookIn(shards[1:], idle)
		return
	}
	q.run.calls += 2
	q.clock.after(2*seconds(q.Call), func() {
		if seen[0].claimed {
			q.claim(seen[1:], shards, idle)
			return
		}
		q.take(seen[0], shards[0])
	})
}

func (q *jobQueue) take(j *waitingJob, shard int) {
	j.claimed = true
	for i, other := range q.shards[shard] {
		if other == j {
			q.shards[shard] = append(q.shards[shard][:i:i], q.shards[shard][i+1:]...)
			break
		}
	}
	q.run.waits = append(q.run.waits, (q.clock.now - j.submitted).Seconds())
	q.clock.after(seconds(q.Service), func() {
		q.run.done++
		q.run.calls++ // its end
		q.look(minIdle)
	})
}

// runJobs compares one shared queue with shards that are probed.
func runJobs(s JobsScenario, options Options) Result {
	seeds := seedsOf(options, s.Seeds)
	result := Result{Seeds: seeds, Columns: []string{"shards", "probes", "table calls per job", "wait p50", "wait p95"}}
	perJob := map[[2]int]float64{}
	waits := map[[2]int]float64{}
	for _, shards := range s.Shards {
		series := Series{Name: decimal(shards) + " shards"}
		for _, probes := range s.Probes {
			if probes > shards {
				continue
			}
			var calls, half, high sample
			for seed := range seeds {
				run := s.play(seed, shards, probes)
				calls = append(calls, float64(run.calls)/float64(max(run.done, 1)))
				half, high = append(half, run.waits.quantile(0.5)), append(high, run.waits.quantile(0.95))
			}
			perJob[[2]int{shards, probes}], waits[[2]int{shards, probes}] = calls.mean(), high.mean()
			series.Points = append(series.Points, Point{float64(probes), calls.mean()})
			result.Rows = append(result.Rows, []string{
				decimal(shards), decimal(probes), calls.spread(1), half.spread(2) + " s", high.spread(2) + " s",
			})
		}
		result.Plot.Series = append(result.Plot.Series, series)
	}
	result.Plot.Title, result.Plot.X, result.Plot.Y = "Finding jobs", "probes", "table calls per job"
	return result
}
