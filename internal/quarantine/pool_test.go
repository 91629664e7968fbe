package quarantine

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// pool plays endpoints under requests, of which some crash them, in virtual time of its own:
// hundreds of days a second, to weigh judgements against each other.
type pool struct {
	day    poolDay
	random *rand.Rand
	judge  func(Evidence) map[Fingerprint]Attribution
	now    time.Duration
	events events

	endpoints []*poolEndpoint
	crashes   []Crash // as far as they are known
	finished  map[Fingerprint]time.Duration
	held      map[Fingerprint]time.Duration // in quarantine, and from when on all hosts know
	verdicts  map[Fingerprint]Attribution
	ever      map[Fingerprint]bool // that were in quarantine
	serial    uint64
	sent      int
	next      time.Duration // turn of a request that endpoints may crash under

	result poolResult
	third  map[Fingerprint]time.Duration // crash
	count  map[Fingerprint]int           // crashes
	late   map[Fingerprint]int
}

// poolDay is what happens.
type poolDay struct {
	endpoints int
	running   float64       // requests at an endpoint on average
	takes     time.Duration // a request, on average
	attempts  int
	chance    time.Duration // endpoints crash by themselves, one each so long; 0 for none
	burst     int           // so many at once
	copies    time.Duration // of a crashing request, one each so long; 0 for none
	guilty    int           // such requests
	crashTime time.Duration // of one that has begun to run
	waits     time.Duration // before a request runs, at most
	shared    float64       // part of the other requests that are one and the same
	together  float64       // part of the repeats that go where the crashing request goes
	heads     bool          // answers begin before the endpoint crashes
	told      time.Duration // until all hosts know a verdict
	lasts     time.Duration
	hosts     int           // that see the crashes and tell of them in parts; 0 for all at once
	news      time.Duration // until a host's part of a crash is known, on average
	unproven  float64       // part of the hosts that learn of a crash from the list only
	spread    time.Duration // between hosts' lists, at most
}

// poolResult is how a day went.
type poolResult struct {
	requests int
	lost     int // ordinary ones without an answer
	refused  int // of them, refused for good
	innocent int // ordinary requests in quarantine
	crashes  int // under crashing requests
	late     int // sends of them later than 3 s after their third crash
}

type poolEndpoint struct {
	name    uint64
	up      bool
	running map[*poolRequest]time.Duration // since when
}

type poolRequest struct {
	number   int // in the order of arrival
	print    Fingerprint
	guilty   bool
	attempts int
	at       *poolEndpoint
	began    time.Duration // the run; 0 before
	run      uint64        // counts its runs, so that the end of an earlier one means nothing
}

type event struct {
	at time.Duration
	do func()
}
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func printOf(n uint64) (f Fingerprint) {
	binary.BigEndian.PutUint64(f[:], n)
	return f
}

// playPool plays a day.
func playPool(d poolDay, seed uint64, judge func(Evidence) map[Fingerprint]Attribution) poolResult {
	p := &pool{
		day: d, random: rand.New(rand.NewPCG(seed, 7)), judge: judge, finished: map[Fingerprint]time.Duration{},
		held: map[Fingerprint]time.Duration{}, ever: map[Fingerprint]bool{}, serial: 1000, third: map[Fingerprint]time.Duration{}, count: map[Fingerprint]int{}, late: map[Fingerprint]int{},
	}
	for i := range d.endpoints {
		p.endpoints = append(p.endpoints, &poolEndpoint{name: uint64(i), up: true, running: map[*poolRequest]time.Duration{}})
	}
	rate := d.running * float64(d.endpoints) / d.takes.Seconds()
	p.every(time.Duration(float64(time.Second)/rate), p.arrive)
	if d.chance > 0 {
		p.every(d.chance, func() {
			for range max(d.burst, 1) {
				p.crash(p.endpoints[p.random.IntN(d.endpoints)], Fingerprint{})
			}
		})
	}
	for i := range d.guilty {
		p.every(d.copies, func() { p.send(&poolRequest{print: printOf(uint64(i + 1)), guilty: true}) })
	}
	for len(p.events) > 0 && p.now < d.lasts {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
	for f := range p.ever {
		if binary.BigEndian.Uint64(f[:]) > uint64(d.guilty) {
			p.result.innocent++
		}
	}
	return p.result
}

func (p *pool) after(d time.Duration, do func()) { heap.Push(&p.events, event{p.now + d, do}) }

// every does something again and again, at times by chance.
func (p *pool) every(mean time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		p.after(time.Duration(p.random.ExpFloat64()*float64(mean)), again)
	}
	p.after(time.Duration(p.random.ExpFloat64()*float64(mean)), again)
}

func (p *pool) arrive() {
	p.serial++
	r := &poolRequest{print: printOf(p.serial)}
	if p.random.Float64() < p.day.shared {
		r.print = printOf(999)
	}
	p.result.requests++
	p.send(r)
}

func (p *pool) send(r *poolRequest) {
	if r.number == 0 {
		p.sent++
		r.number = p.sent
	}
	if known, held := p.held[r.print]; held && p.now >= known {
		if !r.guilty {
			p.result.lost++
			p.result.refused++
		}
		return
	}
	if !p.turn(r) {
		return
	}
	e := p.pick()
	if e == nil || r.attempts >= p.day.attempts || p.leftToCaller(r) {
		if !r.guilty {
			p.result.lost++
		}
		return
	}
	r.attempts++
	r.run++
	r.at, r.began = e, 0
	e.running[r] = p.now
	p.run(r, e)
}

// turn reports whether a request may go that endpoints may crash under; one of all such goes a second, and
// the others look again.
func (p *pool) turn(r *poolRequest) bool {
	if p.day.hosts == 0 {
		return true
	}
	s := p.evidence().suspect(r.print, p.crashes)
	if !(Status{Crashed: len(s.crashed)}).IsSuspect() {
		return true
	}
	if p.now >= p.next {
		p.next = p.now + time.Second
		return true
	}
	p.after(poolLook, func() { p.send(r) })
	return false
}

// poolLook is after how long a request that waits for its turn looks again.
const poolLook = 100 * time.Millisecond

// run has a request run at an endpoint, to its end or the endpoint's.
func (p *pool) run(r *poolRequest, e *poolEndpoint) {
	if third, ok := p.third[r.print]; ok && r.guilty && p.now > third+3*time.Second {
		p.late[r.print]++
		p.result.late = max(p.result.late, p.late[r.print])
	}
	run := r.run
	then := func(after time.Duration, do func()) {
		p.after(after, func() {
			if r.run == run && r.at == e {
				do()
			}
		})
	}
	wait := time.Duration(p.random.Float64() * float64(p.day.waits))
	if p.day.heads {
		then(wait+p.day.crashTime/2, func() { r.began = p.now })
	}
	if r.guilty {
		then(wait+p.day.crashTime, func() { p.crash(e, r.print) })
		return
	}
	then(wait+time.Duration(math.Exp(p.random.NormFloat64()*0.7-0.25)*float64(p.day.takes)), func() {
		delete(e.running, r)
		r.at = nil
		p.finished[r.print] = p.now
	})
}

func (p *pool) pick() *poolEndpoint {
	var up []*poolEndpoint
	for _, e := range p.endpoints {
		if e.up {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return nil
	}
	if p.random.Float64() < p.day.together {
		return up[0]
	}
	return up[p.random.IntN(len(up))]
}

func (p *pool) crash(e *poolEndpoint, by Fingerprint) {
	if !e.up {
		return
	}
	e.up = false
	p.serial++
	e.name = p.serial
	c := Crash{Endpoint: printOf(e.name).String(), Service: "s", At: p.now, Runs: map[Fingerprint]Run{}}
	var broken []*poolRequest
	for r, since := range e.running {
		run := Run{Lasted: p.now - since}
		if r.began > 0 {
			run.ResponseLasted = p.now - r.began
		}
		run.Copies = p.copies(r.print) / poolHosts
		c.Runs[r.print] = c.Runs[r.print].Max(run)
		broken = append(broken, r)
		r.at = nil
	}
	if !by.IsZero() {
		p.result.crashes++
		if p.count[by]++; p.count[by] == 3 {
			p.third[by] = p.now
		}
	}
	slices.SortFunc(broken, func(a, b *poolRequest) int { return cmp.Compare(a.number, b.number) })
	e.running = map[*poolRequest]time.Duration{}
	p.tell(c, broken)
	for _, r := range broken {
		p.after(5*time.Millisecond, func() { p.send(r) })
	}
	p.after(3*time.Second, func() { e.up = true })
}

// tell has what hosts saw of a crash become known, in parts if each of them tells its own.
func (p *pool) tell(c Crash, broken []*poolRequest) {
	if p.day.hosts == 0 {
		p.learn(c)
		return
	}
	parts := make([]Crash, p.day.hosts)
	for _, r := range broken {
		part := &parts[r.number%p.day.hosts]
		if part.Runs == nil {
			*part = Crash{Endpoint: c.Endpoint, Service: c.Service, At: c.At, Runs: map[Fingerprint]Run{}}
		}
		part.Runs[r.print] = c.Runs[r.print]
	}
	for _, part := range parts {
		if part.Runs == nil {
			continue
		}
		after := batchDelay + time.Duration(p.random.ExpFloat64()*float64(p.day.news))
		if p.random.Float64() < p.day.unproven {
			after += poolLapse + time.Duration(p.random.Float64()*float64(p.day.spread))
		}
		p.after(after, func() { p.learn(part) })
	}
}

// poolLapse is after how long the list tells a crash.
const poolLapse = 3600 * time.Millisecond

// learn takes in what is told of a crash, and has it weighed, again once it may count.
func (p *pool) learn(c Crash) {
	i := slices.IndexFunc(p.crashes, func(known Crash) bool { return known.Endpoint == c.Endpoint })
	if i < 0 {
		c.UpdatedAt = p.now
		p.crashes = append(p.crashes, c)
	} else {
		known := Crash{Endpoint: c.Endpoint, Service: c.Service, At: c.At, UpdatedAt: p.now, Runs: maps.Clone(p.crashes[i].Runs)}
		maps.Copy(known.Runs, c.Runs)
		p.crashes[i] = known
	}
	p.weigh()
	p.after(settleDelay, p.weigh)
	p.after(lateSettleDelay, p.weigh)
}

// weigh brings the verdicts up to date.
func (p *pool) weigh() {
	p.outlast()
	// What is long over counts no more; a day is short.
	p.verdicts = p.judge(p.evidence())
	maps.DeleteFunc(p.held, func(f Fingerprint, _ time.Duration) bool { _, held := p.verdicts[f]; return !held })
	for f := range p.verdicts {
		p.ever[f] = true
		if _, held := p.held[f]; !held {
			p.held[f] = p.now + p.day.told
		}
	}
}

// evidence is all that is known.
func (p *pool) evidence() Evidence {
	return Evidence{Crashes: p.crashes, Completed: p.finished, CountEndpoints: func(string) int { return p.day.endpoints }, Quarantined: p.verdicts, Now: p.now}
}

// outlast clears requests of which a run goes on for longer than any at a crash.
func (p *pool) outlast() {
	longest := map[Fingerprint]time.Duration{}
	for _, c := range p.crashes {
		for f, run := range c.Runs {
			longest[f] = max(longest[f], run.ResponseLasted)
		}
	}
	for _, e := range p.endpoints {
		for r := range e.running {
			if l, ok := longest[r.print]; ok && e.up && r.began > 0 && p.now-r.began > 2*l+clearMargin {
				p.finished[r.print] = p.now
			}
		}
	}
}

// poolHosts see a part of the requests each.
const poolHosts = 4

// copies counts a request's runs that have begun.
func (p *pool) copies(f Fingerprint) int {
	n := 0
	for _, e := range p.endpoints {
		for r := range e.running {
			if r.print == f && r.began > 0 {
				n++
			}
		}
	}
	return n
}

// leftToCaller reports whether hosts do not repeat a request any more.
func (p *pool) leftToCaller(r *poolRequest) bool {
	s := p.evidence().suspect(r.print, p.crashes)
	return r.attempts > 0 && !Status{Moments: s.moments, Chance: s.Chance}.HostMayRetry(r.attempts)
}
