package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/declare"
)

// OverloadScenario is what admission is tried on.
type OverloadScenario struct {
	Seeds    int     `yaml:"seeds"`
	Slots    int     `yaml:"slots"`   // requests that all workers run at once
	Service  float64 `yaml:"service"` // mean seconds of a request
	Patience float64 `yaml:"patience"`
	Limit    int     `yaml:"limit"` // of the host's requests in flight
	Queue    int     `yaml:"queue"`
	Burst    float64 `yaml:"burst"`    // times the capacity
	Calm     float64 `yaml:"calm"`     // part of the capacity before and after
	Length   float64 `yaml:"length"`   // seconds of the burst
	Small    float64 `yaml:"small"`    // part of the requests that the small workspace sends
	Batch    float64 `yaml:"batch"`    // part of the requests that may wait
	Share    int     `yaml:"share"`    // concurrency of each workspace
	Comeback int     `yaml:"comeback"` // how often a caller that was not served in time asks again
}

// overload is one run.
type overload struct {
	OverloadScenario
	clock     *clockwork
	random    *rand.Rand
	scheduler *admission.Scheduler // nil: no admission
	waiting   map[int64]func()

	running int
	backlog []func() // of the workers, first come first served

	good      []int // answers in time, by second of their arrival
	offered   []int
	smallGood int
	smallAll  int
	sent      int
}

// overloadRequest is one request of a caller.
type overloadRequest struct {
	request admission.Request
	arrived time.Duration
	first   time.Duration // when the caller first asked
	tries   int
}

// capacity is requests a second.
func (s OverloadScenario) capacity() float64 { return float64(s.Slots) / s.Service }

// quiet is how long it is calm before and after the burst.
const quiet = 30 * time.Second

func (s OverloadScenario) play(seed int, admitted bool) *overload {
	o := &overload{OverloadScenario: s, clock: &clockwork{}, random: source(seed, 4), waiting: map[int64]func(){}}
	if admitted {
		o.scheduler = admission.NewScheduler(admission.Options{Limit: s.Limit, Queue: s.Queue})
	}
	total := 2*quiet + seconds(s.Length)
	o.good, o.offered = make([]int, int(total.Seconds())+1), make([]int, int(total.Seconds())+1)
	var arrive func()
	arrive = func() {
		if o.clock.now >= total {
			return
		}
		o.request()
		rate := s.capacity() * s.Calm
		if o.clock.now >= quiet && o.clock.now < quiet+seconds(s.Length) {
			rate = s.capacity() * s.Burst
		}
		o.clock.after(exponential(o.random, rate), arrive)
	}
	o.clock.after(0, arrive)
	o.clock.run(total + quiet)
	return o
}

func (o *overload) request() {
	a := overloadRequest{arrived: o.clock.now, first: o.clock.now}
	a.request = admission.Request{Workspace: "large", WorkspaceLimit: o.Share, Priority: declare.PriorityInteractive}
	if o.random.Float64() < o.Small {
		a.request.Workspace = "small"
		o.smallAll++
	}
	if o.random.Float64() < o.Batch {
		a.request.Priority = declare.PriorityBatch
	}
	o.offered[int(a.first.Seconds())]++
	o.send(a)
}

// send offers a request to the line, or straight to the workers.
func (o *overload) send(a overloadRequest) {
	o.sent++
	a.request.Deadline = o.clock.instant().Add(seconds(o.Patience))
	if o.scheduler == nil {
		o.work(a)
		return
	}
	verdict, id, _ := o.scheduler.Offer(a.request, o.clock.instant())
	switch verdict {
	case admission.VerdictStart:
		o.work(a)
	case admission.VerdictWait:
		o.waiting[id] = func() { o.work(a) }
		o.clock.after(seconds(o.Patience)-o.scheduler.StartMargin(seconds(o.Patience)), func() {
			if o.scheduler.Cancel(id) {
				delete(o.waiting, id)
				o.again(a)
			}
		})
	case admission.VerdictRefuse:
		o.again(a)
	}
}

// again has a caller that was not served ask once more, a second later.
func (o *overload) again(a overloadRequest) {
	if a.tries >= o.Comeback {
		return
	}
	a.tries++
	o.clock.after(time.Second, func() {
		a.arrived = o.clock.now
		o.send(a)
	})
}

// work gives a request to the workers.
func (o *overload) work(a overloadRequest) {
	begun := o.clock.now
	start := func() {
		o.running++
		first := o.clock.now - begun
		if o.scheduler != nil {
			o.wake(o.scheduler.Observe(admission.Kind{}, first+seconds(o.Service/10)))
		}
		length := seconds(o.Service * (0.5 + o.random.Float64()))
		inTime := o.clock.now-a.arrived <= seconds(o.Patience)
		if !inTime {
			o.again(a)
		}
		o.clock.after(length, func() { o.finish(a, inTime, o.clock.now-begun) })
	}
	if o.running < o.Slots {
		start()
		return
	}
	o.backlog = append(o.backlog, start)
}

func (o *overload) finish(a overloadRequest, inTime bool, held time.Duration) {
	o.running--
	if inTime {
		o.good[min(int(o.clock.now.Seconds()), len(o.good)-1)]++
		if a.request.Workspace == "small" {
			o.smallGood++
		}
	}
	if len(o.backlog) > 0 {
		next := o.backlog[0]
		o.backlog = o.backlog[1:]
		next()
	}
	if o.scheduler != nil {
		o.wake(o.scheduler.Finish(a.request, held))
	}
}

func (o *overload) wake(ids []int64) {
	for _, id := range ids {
		start := o.waiting[id]
		delete(o.waiting, id)
		start()
	}
}

// during is the rate of answers in time over the last part of the burst.
func (o *overload) during() float64 {
	end := int((quiet + seconds(o.Length)).Seconds())
	from := end - int(o.Length*2/3)
	sum := 0
	for _, g := range o.good[from:end] {
		sum += g
	}
	return float64(sum) / float64(end-from)
}

// recovered is how many seconds after the burst the answers in time came back to
// nine tenths of what is offered, over three seconds.
func (o *overload) recovered() float64 {
	end := int((quiet + seconds(o.Length)).Seconds())
	want := 0.9 * o.capacity() * o.Calm * 3
	for i := end; i+3 < len(o.good); i++ {
		if float64(o.good[i]+o.good[i+1]+o.good[i+2]) >= want {
			return float64(i - end)
		}
	}
	return float64(len(o.good) - end)
}

// runOverload compares admission with none.
func runOverload(s OverloadScenario, options Options) Result {
	seeds := seedsOf(options, s.Seeds)
	result := Result{Seeds: seeds, Columns: []string{
		"policy", "answers in time during the burst", "of capacity", "seconds to recover", "small workspace served", "requests sent per asked",
	}}
	var ofPeak, recover, small sample
	for _, policy := range []struct {
		name     string
		admitted bool
	}{{"no admission", false}, {"quaybarrow", true}} {
		var during, back, served, sent sample
		series := Series{Name: policy.name}
		for seed := range seeds {
			run := s.play(seed, policy.admitted)
			during = append(during, run.during())
			back = append(back, run.recovered())
			served = append(served, ratio(float64(run.smallGood), float64(run.smallAll)))
			asked := 0
			for _, n := range run.offered {
				asked += n
			}
			sent = append(sent, float64(run.sent)/float64(asked))
			if seed == 0 {
				for i, g := range run.good {
					series.Points = append(series.Points, Point{float64(i), float64(g)})
				}
			}
		}
		result.Plot.Series = append(result.Plot.Series, series)
		result.Rows = append(result.Rows, []string{
			policy.name, during.spread(1) + "/s", share(during.mean() / s.capacity()), back.spread(0), share(served.mean()), sent.spread(2),
		})
		if policy.admitted {
			ofPeak, recover, small = during, back, served
		}
	}
	result.Plot.Title, result.Plot.X, result.Plot.Y = "Overload: answers in time", "second", "answers"
	goodput := ofPeak.quantile(0) / s.capacity()
	result.Goals = []Goal{
		{fmt.Sprintf("goodput over 90%% of capacity at %g times the capacity", s.Burst), share(goodput) + " in the worst seed", goodput >= 0.9},
		{"recovers within 10 s", fmt.Sprintf("%.0f s in the worst seed", recover.quantile(1)), recover.quantile(1) <= 10},
		{"a small workspace is not starved: more than half of its requests served", share(small.quantile(0)) + " in the worst seed", small.quantile(0) > 0.5},
	}
	return result
}
