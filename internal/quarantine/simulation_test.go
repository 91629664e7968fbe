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

// simulation simulates endpoints and requests, some of which crash endpoints, in its own virtual
// time. It runs hundreds of scenarios per second, to compare attribution functions.
type simulation struct {
	scenario  scenario
	random    *rand.Rand
	attribute func(Evidence) map[Fingerprint]Attribution
	now       time.Duration
	events    events

	endpoints       []*simEndpoint
	crashes         []Crash // those known so far
	completed       map[Fingerprint]time.Duration
	quarantined     map[Fingerprint]time.Duration // quarantined requests, and the time from which on all hosts know
	attributions    map[Fingerprint]Attribution
	everQuarantined map[Fingerprint]bool // requests that have been in quarantine
	serial          uint64
	sentCount       int
	nextSuspectSend time.Duration // when the next suspect request may be sent

	result     simResult
	thirdCrash map[Fingerprint]time.Duration // time of a request's third crash
	crashCount map[Fingerprint]int
	lateSends  map[Fingerprint]int
}

// scenario describes what happens in a simulation.
type scenario struct {
	endpoints           int
	load                float64       // requests at an endpoint on average
	meanDuration        time.Duration // of a request
	maxAttempts         int
	randomCrashInterval time.Duration // mean time between crashes that no request causes; 0 for none
	randomCrashBurst    int           // endpoints that crash at once in such a crash
	copyInterval        time.Duration // mean time between sends of a crashing request; 0 for none
	crashingRequests    int           // number of requests that crash endpoints
	crashAfter          time.Duration // time from the start of a crashing request's run to the crash
	maxQueueWait        time.Duration // maximum time before a request runs
	identicalFraction   float64       // fraction of the other requests that are the same request
	affinityFraction    float64       // fraction of the requests that go to the first endpoint that is up
	headsBeforeCrash    bool          // responses begin before the endpoint crashes
	quarantineDelay     time.Duration // until all hosts know of a quarantined request
	duration            time.Duration
	hosts               int           // hosts that see the crashes and report them separately; 0 for one common report
	reportDelay         time.Duration // mean time until a host's report of a crash is known
	lateReportFraction  float64       // fraction of the hosts that learn of a crash only from the endpoint list
	lateReportSpread    time.Duration // maximum difference between the times of hosts' endpoint lists
}

// simResult is the outcome of a simulation.
type simResult struct {
	requests           int
	lost               int // requests that crash nothing and got no response
	refused            int // those of them that were refused because of quarantine
	wronglyQuarantined int // requests in quarantine that crash nothing
	crashes            int // caused by crashing requests
	lateSends          int // highest number of sends of one of them later than 3 s after its third crash
}

type simEndpoint struct {
	name    uint64
	up      bool
	running map[*simRequest]time.Duration // requests and when they were sent there
}

type simRequest struct {
	number        int // in order of arrival
	fingerprint   Fingerprint
	crashing      bool
	attempts      int
	endpoint      *simEndpoint
	responseBegan time.Duration // 0 before the header
	run           uint64        // number of the run, to ignore events of earlier runs
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

// simulate runs a scenario.
func simulate(d scenario, seed uint64, attribute func(Evidence) map[Fingerprint]Attribution) simResult {
	sim := &simulation{
		scenario: d, random: rand.New(rand.NewPCG(seed, 7)), attribute: attribute, completed: map[Fingerprint]time.Duration{},
		quarantined: map[Fingerprint]time.Duration{}, everQuarantined: map[Fingerprint]bool{}, serial: 1000, thirdCrash: map[Fingerprint]time.Duration{}, crashCount: map[Fingerprint]int{}, lateSends: map[Fingerprint]int{},
	}
	for i := range d.endpoints {
		sim.endpoints = append(sim.endpoints, &simEndpoint{name: uint64(i), up: true, running: map[*simRequest]time.Duration{}})
	}
	rate := d.load * float64(d.endpoints) / d.meanDuration.Seconds()
	sim.every(time.Duration(float64(time.Second)/rate), sim.arrive)
	if d.randomCrashInterval > 0 {
		sim.every(d.randomCrashInterval, func() {
			for range max(d.randomCrashBurst, 1) {
				sim.crash(sim.endpoints[sim.random.IntN(d.endpoints)], Fingerprint{})
			}
		})
	}
	for i := range d.crashingRequests {
		sim.every(d.copyInterval, func() { sim.send(&simRequest{fingerprint: fingerprintOf(uint64(i + 1)), crashing: true}) })
	}
	for len(sim.events) > 0 && sim.now < d.duration {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	for f := range sim.everQuarantined {
		if binary.BigEndian.Uint64(f[:]) > uint64(d.crashingRequests) {
			sim.result.wronglyQuarantined++
		}
	}
	return sim.result
}

func (sim *simulation) after(d time.Duration, do func()) {
	heap.Push(&sim.events, event{sim.now + d, do})
}

// every calls do repeatedly, at exponentially distributed intervals.
func (sim *simulation) every(mean time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		sim.after(time.Duration(sim.random.ExpFloat64()*float64(mean)), again)
	}
	sim.after(time.Duration(sim.random.ExpFloat64()*float64(mean)), again)
}

func (sim *simulation) arrive() {
	sim.serial++
	r := &simRequest{fingerprint: fingerprintOf(sim.serial)}
	if sim.random.Float64() < sim.scenario.identicalFraction {
		r.fingerprint = fingerprintOf(999)
	}
	sim.result.requests++
	sim.send(r)
}

func (sim *simulation) send(r *simRequest) {
	if r.number == 0 {
		sim.sentCount++
		r.number = sim.sentCount
	}
	if known, quarantined := sim.quarantined[r.fingerprint]; quarantined && sim.now >= known {
		if !r.crashing {
			sim.result.lost++
			sim.result.refused++
		}
		return
	}
	if !sim.maySend(r) {
		return
	}
	e := sim.pick()
	if e == nil || r.attempts >= sim.scenario.maxAttempts || sim.hostsStopRetrying(r) {
		if !r.crashing {
			sim.result.lost++
		}
		return
	}
	r.attempts++
	r.run++
	r.endpoint, r.responseBegan = e, 0
	e.running[r] = sim.now
	sim.run(r, e)
}

// maySend reports whether a request may be sent now. One suspect is sent per second; others wait.
func (sim *simulation) maySend(r *simRequest) bool {
	if sim.scenario.hosts == 0 {
		return true
	}
	s := sim.evidence().assess(r.fingerprint, sim.crashes)
	if !(Status{Crashed: len(s.crashed)}).IsSuspect() {
		return true
	}
	if sim.now >= sim.nextSuspectSend {
		sim.nextSuspectSend = sim.now + time.Second
		return true
	}
	sim.after(suspectRetryDelay, func() { sim.send(r) })
	return false
}

// suspectRetryDelay is the time after which a request that waits as a suspect tries again.
const suspectRetryDelay = 100 * time.Millisecond

// run runs a request at an endpoint, until the request ends or the endpoint crashes.
func (sim *simulation) run(r *simRequest, e *simEndpoint) {
	if thirdAt, ok := sim.thirdCrash[r.fingerprint]; ok && r.crashing && sim.now > thirdAt+3*time.Second {
		sim.lateSends[r.fingerprint]++
		sim.result.lateSends = max(sim.result.lateSends, sim.lateSends[r.fingerprint])
	}
	run := r.run
	ifStillRunning := func(after time.Duration, do func()) {
		sim.after(after, func() {
			if r.run == run && r.endpoint == e {
				do()
			}
		})
	}
	wait := time.Duration(sim.random.Float64() * float64(sim.scenario.maxQueueWait))
	if sim.scenario.headsBeforeCrash {
		ifStillRunning(wait+sim.scenario.crashAfter/2, func() { r.responseBegan = sim.now })
	}
	if r.crashing {
		ifStillRunning(wait+sim.scenario.crashAfter, func() { sim.crash(e, r.fingerprint) })
		return
	}
	ifStillRunning(wait+time.Duration(math.Exp(sim.random.NormFloat64()*0.7-0.25)*float64(sim.scenario.meanDuration)), func() {
		delete(e.running, r)
		r.endpoint = nil
		sim.completed[r.fingerprint] = sim.now
	})
}

func (sim *simulation) pick() *simEndpoint {
	var up []*simEndpoint
	for _, e := range sim.endpoints {
		if e.up {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return nil
	}
	if sim.random.Float64() < sim.scenario.affinityFraction {
		return up[0]
	}
	return up[sim.random.IntN(len(up))]
}

func (sim *simulation) crash(e *simEndpoint, by Fingerprint) {
	if !e.up {
		return
	}
	e.up = false
	sim.serial++
	e.name = sim.serial
	c := Crash{Endpoint: fingerprintOf(e.name).String(), Service: "s", At: sim.now, Runs: map[Fingerprint]Run{}}
	var broken []*simRequest
	for r, sentAt := range e.running {
		run := Run{Lasted: sim.now - sentAt}
		if r.responseBegan > 0 {
			run.ResponseLasted = sim.now - r.responseBegan
		}
		run.Copies = sim.countOngoing(r.fingerprint) / hostCount
		c.Runs[r.fingerprint] = c.Runs[r.fingerprint].Max(run)
		broken = append(broken, r)
		r.endpoint = nil
	}
	if !by.IsZero() {
		sim.result.crashes++
		if sim.crashCount[by]++; sim.crashCount[by] == 3 {
			sim.thirdCrash[by] = sim.now
		}
	}
	slices.SortFunc(broken, func(a, b *simRequest) int { return cmp.Compare(a.number, b.number) })
	e.running = map[*simRequest]time.Duration{}
	sim.report(c, broken)
	for _, r := range broken {
		sim.after(5*time.Millisecond, func() { sim.send(r) })
	}
	sim.after(3*time.Second, func() { e.up = true })
}

// report makes the crash known, in parts if each host reports its own requests.
func (sim *simulation) report(c Crash, broken []*simRequest) {
	if sim.scenario.hosts == 0 {
		sim.receiveReport(c)
		return
	}
	parts := make([]Crash, sim.scenario.hosts)
	for _, r := range broken {
		part := &parts[r.number%sim.scenario.hosts]
		if part.Runs == nil {
			*part = Crash{Endpoint: c.Endpoint, Service: c.Service, At: c.At, Runs: map[Fingerprint]Run{}}
		}
		part.Runs[r.fingerprint] = c.Runs[r.fingerprint]
	}
	for _, part := range parts {
		if part.Runs == nil {
			continue
		}
		after := batchDelay + time.Duration(sim.random.ExpFloat64()*float64(sim.scenario.reportDelay))
		if sim.random.Float64() < sim.scenario.lateReportFraction {
			after += listDelay + time.Duration(sim.random.Float64()*float64(sim.scenario.lateReportSpread))
		}
		sim.after(after, func() { sim.receiveReport(part) })
	}
}

// listDelay is the time after which the endpoint list shows a crash.
const listDelay = 3600 * time.Millisecond

// receiveReport merges a report of a crash and evaluates the evidence, and does so again once the
// crash may settle.
func (sim *simulation) receiveReport(c Crash) {
	i := slices.IndexFunc(sim.crashes, func(known Crash) bool { return known.Endpoint == c.Endpoint })
	if i < 0 {
		c.UpdatedAt = sim.now
		sim.crashes = append(sim.crashes, c)
	} else {
		known := Crash{Endpoint: c.Endpoint, Service: c.Service, At: c.At, UpdatedAt: sim.now, Runs: maps.Clone(sim.crashes[i].Runs)}
		maps.Copy(known.Runs, c.Runs)
		sim.crashes[i] = known
	}
	sim.refresh()
	sim.after(settleDelay, sim.refresh)
	sim.after(lateSettleDelay, sim.refresh)
}

// refresh brings the quarantine up to date.
func (sim *simulation) refresh() {
	sim.clearOutlasting()
	// Evidence does not expire here, since a scenario is short.
	sim.attributions = sim.attribute(sim.evidence())
	maps.DeleteFunc(sim.quarantined, func(f Fingerprint, _ time.Duration) bool { _, attributed := sim.attributions[f]; return !attributed })
	for f := range sim.attributions {
		sim.everQuarantined[f] = true
		if _, quarantined := sim.quarantined[f]; !quarantined {
			sim.quarantined[f] = sim.now + sim.scenario.quarantineDelay
		}
	}
}

// evidence returns all evidence that is known.
func (sim *simulation) evidence() Evidence {
	return Evidence{Crashes: sim.crashes, Completed: sim.completed, CountEndpoints: func(string) int { return sim.scenario.endpoints }, Quarantined: sim.attributions, Now: sim.now}
}

// clearOutlasting clears requests with a run that has outlasted all their runs that ended in a crash.
func (sim *simulation) clearOutlasting() {
	longest := map[Fingerprint]time.Duration{}
	for _, c := range sim.crashes {
		for f, run := range c.Runs {
			longest[f] = max(longest[f], run.ResponseLasted)
		}
	}
	for _, e := range sim.endpoints {
		for r := range e.running {
			if l, ok := longest[r.fingerprint]; ok && e.up && r.responseBegan > 0 && sim.now-r.responseBegan > 2*l+clearMargin {
				sim.completed[r.fingerprint] = sim.now
			}
		}
	}
}

// hostCount is the number of hosts, each of which sees a part of the requests.
const hostCount = 4

// countOngoing returns the number of runs of a request whose responses have begun.
func (sim *simulation) countOngoing(f Fingerprint) int {
	n := 0
	for _, e := range sim.endpoints {
		for r := range e.running {
			if r.fingerprint == f && r.responseBegan > 0 {
				n++
			}
		}
	}
	return n
}

// hostsStopRetrying reports whether hosts no longer retry a request.
func (sim *simulation) hostsStopRetrying(r *simRequest) bool {
	s := sim.evidence().assess(r.fingerprint, sim.crashes)
	return r.attempts > 0 && !Status{Moments: s.moments, Chance: s.Chance}.HostMayRetry(r.attempts)
}
