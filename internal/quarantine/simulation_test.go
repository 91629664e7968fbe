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

// every does something again and again, at times by chance.
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
	if known, held := sim.quarantined[r.fingerprint]; held && sim.now >= known {
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

// maySend reports whether a request may go that endpoints may crash under; one of all such goes a second, and
// the others look again.
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

// suspectRetryDelay is after how long a request that waits for its turn looks again.
const suspectRetryDelay = 100 * time.Millisecond

// run has a request run at an endpoint, to its end or the endpoint's.
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

// report has what hosts saw of a crash become known, in parts if each of them tells its own.
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

// listDelay is after how long the list tells a crash.
const listDelay = 3600 * time.Millisecond

// receiveReport takes in what is told of a crash, and has it weighed, again once it may count.
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

// refresh brings the verdicts up to date.
func (sim *simulation) refresh() {
	sim.clearOutlasting()
	// What is long over counts no more; a day is short.
	sim.attributions = sim.attribute(sim.evidence())
	maps.DeleteFunc(sim.quarantined, func(f Fingerprint, _ time.Duration) bool { _, held := sim.attributions[f]; return !held })
	for f := range sim.attributions {
		sim.everQuarantined[f] = true
		if _, held := sim.quarantined[f]; !held {
			sim.quarantined[f] = sim.now + sim.scenario.quarantineDelay
		}
	}
}

// evidence is all that is known.
func (sim *simulation) evidence() Evidence {
	return Evidence{Crashes: sim.crashes, Completed: sim.completed, CountEndpoints: func(string) int { return sim.scenario.endpoints }, Quarantined: sim.attributions, Now: sim.now}
}

// clearOutlasting clears requests of which a run goes on for longer than any at a crash.
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

// hostCount see a part of the requests each.
const hostCount = 4

// countOngoing counts a request's runs that have begun.
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

// hostsStopRetrying reports whether hosts do not repeat a request any more.
func (sim *simulation) hostsStopRetrying(r *simRequest) bool {
	s := sim.evidence().assess(r.fingerprint, sim.crashes)
	return r.attempts > 0 && !Status{Moments: s.moments, Chance: s.Chance}.HostMayRetry(r.attempts)
}
