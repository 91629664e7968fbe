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

// simulation plays endpoints under requests, of which some crash them, in virtual time of its own:
// hundreds of days a second, to weigh judgements against each other.
type simulation struct {
	scenario  scenario
	random    *rand.Rand
	attribute func(Evidence) map[Fingerprint]Attribution
	now       time.Duration
	events    events

	endpoints       []*simEndpoint
	crashes         []Crash // as far as they are known
	completed       map[Fingerprint]time.Duration
	quarantined     map[Fingerprint]time.Duration // in quarantine, and from when on all hosts know
	attributions    map[Fingerprint]Attribution
	everQuarantined map[Fingerprint]bool // that were in quarantine
	serial          uint64
	sentCount       int
	nextSuspectSend time.Duration // turn of a request that endpoints may crash under

	result     simResult
	thirdCrash map[Fingerprint]time.Duration // crash
	crashCount map[Fingerprint]int           // crashes
	lateSends  map[Fingerprint]int
}

// scenario is what happens.
type scenario struct {
	endpoints           int
	load                float64       // requests at an endpoint on average
	meanDuration        time.Duration // a request, on average
	maxAttempts         int
	randomCrashInterval time.Duration // endpoints crash by themselves, one each so long; 0 for none
	randomCrashBurst    int           // so many at once
	copyInterval        time.Duration // of a crashing request, one each so long; 0 for none
	crashingRequests    int           // such requests
	crashAfter          time.Duration // of one that has begun to run
	maxQueueWait        time.Duration // before a request runs, at most
	identicalFraction   float64       // part of the other requests that are one and the same
	affinityFraction    float64       // part of the repeats that go where the crashing request goes
	headsBeforeCrash    bool          // answers begin before the endpoint crashes
	quarantineDelay     time.Duration // until all hosts know a verdict
	duration            time.Duration
	hosts               int           // that see the crashes and tell of them in parts; 0 for all at once
	reportDelay         time.Duration // until a host's part of a crash is known, on average
	lateReportFraction  float64       // part of the hosts that learn of a crash from the list only
	lateReportSpread    time.Duration // between hosts' lists, at most
}

// simResult is how a day went.
type simResult struct {
	requests           int
	lost               int // ordinary ones without an answer
	refused            int // of them, refused for good
	wronglyQuarantined int // ordinary requests in quarantine
	crashes            int // under crashing requests
	lateSends          int // sends of them later than 3 s after their third crash
}

type simEndpoint struct {
	name    uint64
	up      bool
	running map[*simRequest]time.Duration // since when
}

type simRequest struct {
	number        int // in the order of arrival
	fingerprint   Fingerprint
	crashing      bool
	attempts      int
	endpoint      *simEndpoint
	responseBegan time.Duration // the run; 0 before
	run           uint64        // counts its runs, so that the end of an earlier one means nothing
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

func fingerprintOf(n uint64) (f Fingerprint) {
	binary.BigEndian.PutUint64(f[:], n)
	return f
}

// simulate plays a day.
func simulate(d scenario, seed uint64, attribute func(Evidence) map[Fingerprint]Attribution) simResult {
	s := &simulation{
		scenario: d, random: rand.New(rand.NewPCG(seed, 7)), attribute: attribute, completed: map[Fingerprint]time.Duration{},
		quarantined: map[Fingerprint]time.Duration{}, everQuarantined: map[Fingerprint]bool{}, serial: 1000, thirdCrash: map[Fingerprint]time.Duration{}, crashCount: map[Fingerprint]int{}, lateSends: map[Fingerprint]int{},
	}
	for i := range d.endpoints {
		s.endpoints = append(s.endpoints, &simEndpoint{name: uint64(i), up: true, running: map[*simRequest]time.Duration{}})
	}
	rate := d.load * float64(d.endpoints) / d.meanDuration.Seconds()
	s.every(time.Duration(float64(time.Second)/rate), s.arrive)
	if d.randomCrashInterval > 0 {
		s.every(d.randomCrashInterval, func() {
			for range max(d.randomCrashBurst, 1) {
				s.crash(s.endpoints[s.random.IntN(d.endpoints)], Fingerprint{})
			}
		})
	}
	for i := range d.crashingRequests {
		s.every(d.copyInterval, func() { s.send(&simRequest{fingerprint: fingerprintOf(uint64(i + 1)), crashing: true}) })
	}
	for len(s.events) > 0 && s.now < d.duration {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	for f := range s.everQuarantined {
		if binary.BigEndian.Uint64(f[:]) > uint64(d.crashingRequests) {
			s.result.wronglyQuarantined++
		}
	}
	return s.result
}

func (p *simulation) after(d time.Duration, do func()) { heap.Push(&p.events, event{p.now + d, do}) }

// every does something again and again, at times by chance.
func (p *simulation) every(mean time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		p.after(time.Duration(p.random.ExpFloat64()*float64(mean)), again)
	}
	p.after(time.Duration(p.random.ExpFloat64()*float64(mean)), again)
}

func (p *simulation) arrive() {
	p.serial++
	r := &simRequest{fingerprint: fingerprintOf(p.serial)}
	if p.random.Float64() < p.scenario.identicalFraction {
		r.fingerprint = fingerprintOf(999)
	}
	p.result.requests++
	p.send(r)
}

func (p *simulation) send(r *simRequest) {
	if r.number == 0 {
		p.sentCount++
		r.number = p.sentCount
	}
	if known, held := p.quarantined[r.fingerprint]; held && p.now >= known {
		if !r.crashing {
			p.result.lost++
			p.result.refused++
		}
		return
	}
	if !p.maySend(r) {
		return
	}
	e := p.pick()
	if e == nil || r.attempts >= p.scenario.maxAttempts || p.leftToCaller(r) {
		if !r.crashing {
			p.result.lost++
		}
		return
	}
	r.attempts++
	r.run++
	r.endpoint, r.responseBegan = e, 0
	e.running[r] = p.now
	p.run(r, e)
}

// maySend reports whether a request may go that endpoints may crash under; one of all such goes a second, and
// the others look again.
func (p *simulation) maySend(r *simRequest) bool {
	if p.scenario.hosts == 0 {
		return true
	}
	s := p.evidence().assess(r.fingerprint, p.crashes)
	if !(Status{Crashed: len(s.crashed)}).IsSuspect() {
		return true
	}
	if p.now >= p.nextSuspectSend {
		p.nextSuspectSend = p.now + time.Second
		return true
	}
	p.after(suspectRetryDelay, func() { p.send(r) })
	return false
}

// suspectRetryDelay is after how long a request that waits for its turn looks again.
const suspectRetryDelay = 100 * time.Millisecond

// run has a request run at an endpoint, to its end or the endpoint's.
func (p *simulation) run(r *simRequest, e *simEndpoint) {
	if third, ok := p.thirdCrash[r.fingerprint]; ok && r.crashing && p.now > third+3*time.Second {
		p.lateSends[r.fingerprint]++
		p.result.lateSends = max(p.result.lateSends, p.lateSends[r.fingerprint])
	}
	run := r.run
	then := func(after time.Duration, do func()) {
		p.after(after, func() {
			if r.run == run && r.endpoint == e {
				do()
			}
		})
	}
	wait := time.Duration(p.random.Float64() * float64(p.scenario.maxQueueWait))
	if p.scenario.headsBeforeCrash {
		then(wait+p.scenario.crashAfter/2, func() { r.responseBegan = p.now })
	}
	if r.crashing {
		then(wait+p.scenario.crashAfter, func() { p.crash(e, r.fingerprint) })
		return
	}
	then(wait+time.Duration(math.Exp(p.random.NormFloat64()*0.7-0.25)*float64(p.scenario.meanDuration)), func() {
		delete(e.running, r)
		r.endpoint = nil
		p.completed[r.fingerprint] = p.now
	})
}

func (p *simulation) pick() *simEndpoint {
	var up []*simEndpoint
	for _, e := range p.endpoints {
		if e.up {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return nil
	}
	if p.random.Float64() < p.scenario.affinityFraction {
		return up[0]
	}
	return up[p.random.IntN(len(up))]
}

func (p *simulation) crash(e *simEndpoint, by Fingerprint) {
	if !e.up {
		return
	}
	e.up = false
	p.serial++
	e.name = p.serial
	c := Crash{Endpoint: fingerprintOf(e.name).String(), Service: "s", At: p.now, Runs: map[Fingerprint]Run{}}
	var broken []*simRequest
	for r, since := range e.running {
		run := Run{Lasted: p.now - since}
		if r.responseBegan > 0 {
			run.ResponseLasted = p.now - r.responseBegan
		}
		run.Copies = p.countOngoing(r.fingerprint) / hostCount
		c.Runs[r.fingerprint] = c.Runs[r.fingerprint].Max(run)
		broken = append(broken, r)
		r.endpoint = nil
	}
	if !by.IsZero() {
		p.result.crashes++
		if p.crashCount[by]++; p.crashCount[by] == 3 {
			p.thirdCrash[by] = p.now
		}
	}
	slices.SortFunc(broken, func(a, b *simRequest) int { return cmp.Compare(a.number, b.number) })
	e.running = map[*simRequest]time.Duration{}
	p.report(c, broken)
	for _, r := range broken {
		p.after(5*time.Millisecond, func() { p.send(r) })
	}
	p.after(3*time.Second, func() { e.up = true })
}

// report has what hosts saw of a crash become known, in parts if each of them tells its own.
func (p *simulation) report(c Crash, broken []*simRequest) {
	if p.scenario.hosts == 0 {
		p.receiveReport(c)
		return
	}
	parts := make([]Crash, p.scenario.hosts)
	for _, r := range broken {
		part := &parts[r.number%p.scenario.hosts]
		if part.Runs == nil {
			*part = Crash{Endpoint: c.Endpoint, Service: c.Service, At: c.At, Runs: map[Fingerprint]Run{}}
		}
		part.Runs[r.fingerprint] = c.Runs[r.fingerprint]
	}
	for _, part := range parts {
		if part.Runs == nil {
			continue
		}
		after := batchDelay + time.Duration(p.random.ExpFloat64()*float64(p.scenario.reportDelay))
		if p.random.Float64() < p.scenario.lateReportFraction {
			after += listDelay + time.Duration(p.random.Float64()*float64(p.scenario.lateReportSpread))
		}
		p.after(after, func() { p.receiveReport(part) })
	}
}

// listDelay is after how long the list tells a crash.
const listDelay = 3600 * time.Millisecond

// receiveReport takes in what is told of a crash, and has it weighed, again once it may count.
func (p *simulation) receiveReport(c Crash) {
	i := slices.IndexFunc(p.crashes, func(known Crash) bool { return known.Endpoint == c.Endpoint })
	if i < 0 {
		c.UpdatedAt = p.now
		p.crashes = append(p.crashes, c)
	} else {
		known := Crash{Endpoint: c.Endpoint, Service: c.Service, At: c.At, UpdatedAt: p.now, Runs: maps.Clone(p.crashes[i].Runs)}
		maps.Copy(known.Runs, c.Runs)
		p.crashes[i] = known
	}
	p.refresh()
	p.after(settleDelay, p.refresh)
	p.after(lateSettleDelay, p.refresh)
}

// refresh brings the verdicts up to date.
func (p *simulation) refresh() {
	p.clearOutlasting()
	// What is long over counts no more; a day is short.
	p.attributions = p.attribute(p.evidence())
	maps.DeleteFunc(p.quarantined, func(f Fingerprint, _ time.Duration) bool { _, held := p.attributions[f]; return !held })
	for f := range p.attributions {
		p.everQuarantined[f] = true
		if _, held := p.quarantined[f]; !held {
			p.quarantined[f] = p.now + p.scenario.quarantineDelay
		}
	}
}

// evidence is all that is known.
func (p *simulation) evidence() Evidence {
	return Evidence{Crashes: p.crashes, Completed: p.completed, CountEndpoints: func(string) int { return p.scenario.endpoints }, Quarantined: p.attributions, Now: p.now}
}

// clearOutlasting clears requests of which a run goes on for longer than any at a crash.
func (p *simulation) clearOutlasting() {
	longest := map[Fingerprint]time.Duration{}
	for _, c := range p.crashes {
		for f, run := range c.Runs {
			longest[f] = max(longest[f], run.ResponseLasted)
		}
	}
	for _, e := range p.endpoints {
		for r := range e.running {
			if l, ok := longest[r.fingerprint]; ok && e.up && r.responseBegan > 0 && p.now-r.responseBegan > 2*l+clearMargin {
				p.completed[r.fingerprint] = p.now
			}
		}
	}
}

// hostCount see a part of the requests each.
const hostCount = 4

// countOngoing counts a request's runs that have begun.
func (p *simulation) countOngoing(f Fingerprint) int {
	n := 0
	for _, e := range p.endpoints {
		for r := range e.running {
			if r.fingerprint == f && r.responseBegan > 0 {
				n++
			}
		}
	}
	return n
}

// leftToCaller reports whether hosts do not repeat a request any more.
func (p *simulation) leftToCaller(r *simRequest) bool {
	s := p.evidence().assess(r.fingerprint, p.crashes)
	return r.attempts > 0 && !Status{Moments: s.moments, Chance: s.Chance}.HostMayRetry(r.attempts)
}
