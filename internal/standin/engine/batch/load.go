package batch

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"quaybarrow/internal/fleet"
)

// Kind is a kind of callers.
type Kind struct {
	Name             string
	Workspaces       int                // among which requests are spread evenly; each has its own shared part for each model
	Rate             float64            // requests a second of all workspaces
	Shared, Own, Out int                // mean tokens of both parts of the prompt and of the response; log-normal
	EventTokens      int                // tokens of an event
	Objective        time.Duration      // in which the response should begin
	Deadline         time.Duration      // after which a caller without a response leaves
	Urgency          int                // the lowest first
	Worth            float64            // of a request in time
	Models           map[string]float64 // the fraction of requests for each model; the fractions add up to 1
}

// Caller identifies the callers of a kind in a workspace.
type Caller struct {
	Kind      string
	Workspace int
}

// Count counts requests by what became of them, and attempts at engines. A refused caller retries once;
// InTime is counted from the first arrival, so a retry is usually late.
type Count struct {
	Sent, InTime, Late, Refused, Unanswered int
	Broken                                  int // responses that began and did not end
	InTimeOnRetry                           int // part of Late: in time counted from the retry
	Attempts, Rejected                      int // at engines
	Worth                                   float64
	LongestPause                            time.Duration // between two events, or the head and the first one
}

// Plus returns the sum of two counts.
func (n Count) Plus(o Count) Count {
	return Count{
		n.Sent + o.Sent, n.InTime + o.InTime, n.Late + o.Late, n.Refused + o.Refused, n.Unanswered + o.Unanswered, n.Broken + o.Broken,
		n.InTimeOnRetry + o.InTimeOnRetry, n.Attempts + o.Attempts, n.Rejected + o.Rejected, n.Worth + o.Worth, max(n.LongestPause, o.LongestPause),
	}
}

// InTimeShare returns the share of requests that are in time.
func (n Count) InTimeShare() float64 { return float64(n.InTime) / float64(max(n.Sent, 1)) }

// String returns the count for a report.
func (n Count) String() string {
	return fmt.Sprintf("%d sent, in time %.3f (%d), late %d (on retry %d), refused %d, unanswered %d, broken %d, %d of %d attempts rejected, longest pause %v",
		n.Sent, n.InTimeShare(), n.InTime, n.Late, n.InTimeOnRetry, n.Refused, n.Unanswered, n.Broken, n.Rejected, n.Attempts, n.LongestPause.Round(time.Millisecond))
}

// Results are the counts of a load.
type Results struct {
	Counts           map[Caller]Count
	Idle, EngineTime time.Duration // that engines were up without any request, and in all, while arrivals were counted
}

// Of returns the count of a kind.
func (r Results) Of(kind string) Count {
	var sum Count
	for c, n := range r.Counts {
		if c.Kind == kind {
			sum = sum.Plus(n)
		}
	}
	return sum
}

// Plus returns the sum of the results of two runs.
func (r Results) Plus(o Results) Results {
	sum := Results{Counts: map[Caller]Count{}, Idle: r.Idle + o.Idle, EngineTime: r.EngineTime + o.EngineTime}
	for _, counts := range []map[Caller]Count{r.Counts, o.Counts} {
		for c, n := range counts {
			sum.Counts[c] = sum.Counts[c].Plus(n)
		}
	}
	return sum
}

// IdleShare returns the share of the engines' time that they were up without any request.
func (r Results) IdleShare() float64 { return r.Idle.Seconds() / r.EngineTime.Seconds() }

// LoadOptions are the parameters of a Load.
type LoadOptions struct {
	Engines int
	Engine  Options
	Kinds   []Kind
	Seed    uint64
}

// Load is a load of callers of several kinds on engines, which they reach through one fleet.
type Load struct {
	Clock   Clock
	Engines []*Engine
	options LoadOptions
	fleet   *fleet.Fleet
	random  *rand.Rand
	streams []*stream
	counts  map[Caller]Count
	counted bool // requests that arrive now are counted
	since   time.Duration
	idle    time.Duration // of all engines when counting began
}

// shortestObjective returns the shortest objective of all kinds.
func (l *Load) shortestObjective() time.Duration {
	return slices.MinFunc(l.options.Kinds, func(a, b Kind) int { return cmp.Compare(a.Objective, b.Objective) }).Objective
}

// stream is the arrivals of a kind.
type stream struct {
	Kind
	factor float64
	serial int // of the last change of the factor
}

// spread is the standard deviation of the logarithm of numbers of tokens.
const spread = 0.5

const loadService = "engines"

// NewLoad returns a load whose callers arrive as soon as it is run.
func NewLoad(options LoadOptions) *Load {
	l := &Load{options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), counts: map[Caller]Count{}}
	l.fleet = fleet.New(fleet.Options{Now: l.Clock.Instant, Random: rand.New(rand.NewPCG(options.Seed, 2)).Float64})
	for i := range options.Engines {
		l.Engines = append(l.Engines, New(&l.Clock, options.Engine))
		l.fleet.Put(l.endpoint(i))
	}
	for _, k := range options.Kinds {
		s := &stream{Kind: k, factor: 1}
		l.streams = append(l.streams, s)
		l.next(s)
	}
	return l
}

// Run lets a time pass.
func (l *Load) Run(d time.Duration) { l.Clock.Run(l.Clock.Now() + d) }

// Count starts to count the requests that arrive from now on, and the engines' idle time.
func (l *Load) Count() {
	l.counted, l.since, l.idle = true, l.Clock.Now(), l.idleTime()
}

// SetRate sets the rate of a kind to a multiple of its usual rate.
func (l *Load) SetRate(kind string, factor float64) {
	for _, s := range l.streams {
		if s.Name == kind {
			s.factor = factor
			l.next(s)
		}
	}
}

// Finish stops the arrivals, waits for all requests to end and returns the results.
func (l *Load) Finish() Results {
	took, idle := l.Clock.Now()-l.since, l.idleTime()-l.idle
	for _, s := range l.streams {
		s.serial++
	}
	for len(l.Clock.events) > 0 {
		l.Clock.Run(l.Clock.events[0].at)
	}
	return Results{Counts: l.counts, Idle: idle, EngineTime: took * time.Duration(len(l.Engines))}
}

// unlistDelay is the time until the list of endpoints no longer has an engine that is gone.
const unlistDelay = time.Second

// Lose crashes an engine for a time, after which it starts again and is listed anew.
func (l *Load) Lose(index int, d time.Duration) {
	e, listed := l.Engines[index], l.endpoint(index)
	e.Crash()
	l.Clock.After(min(unlistDelay, d), func() { l.fleet.Remove(listed.ID) })
	l.Clock.After(d, func() {
		e.Restart()
		l.fleet.Put(listed.WithStart(l.Clock.Now().Milliseconds()))
	})
}

func (l *Load) endpoint(index int) fleet.Endpoint {
	return fleet.Endpoint{ID: strconv.Itoa(index), Service: loadService, Slots: l.options.Engine.Slots}
}

func (l *Load) idleTime() time.Duration {
	var sum time.Duration
	for _, e := range l.Engines {
		sum += e.Idle()
	}
	return sum
}

// next schedules the next arrival of a kind and cancels the one scheduled before.
func (l *Load) next(s *stream) {
	s.serial++
	serial := s.serial
	l.Clock.After(time.Duration(l.random.ExpFloat64()/(s.Rate*s.factor)*float64(time.Second)), func() {
		if s.serial != serial {
			return
		}
		l.arrive(s.Kind)
		l.next(s)
	})
}

// tokens draws a log-normal number of tokens.
func tokens(random *rand.Rand, mean int) int {
	return max(1, int(math.Round(float64(mean)*math.Exp(spread*random.NormFloat64()-spread*spread/2))))
}

// model draws the model of a request.
func (l *Load) model(k Kind) string {
	draw := l.random.Float64()
	names := make([]string, 0, len(k.Models))
	for name := range k.Models {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if draw -= k.Models[name]; draw < 0 {
			return name
		}
	}
	return names[len(names)-1]
}
