package share_test

import (
	"bytes"
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"quaybarrow/internal/share"
	"quaybarrow/internal/telemetry"
)

// Load and endpoints of the rig.
const (
	rigService   = "tagger"
	rigEndpoints = 3
	linkDelay    = time.Millisecond
	// heavyTimes is how many times its usual load the heavy workspace sends.
	heavyTimes = 25
	heavy      = "w0"
)

// kind is the kind of all endpoints of a rig.
type kind struct {
	slots, queue int
	work         time.Duration // in a slot, of each request
	parallel     float64
	prefill      time.Duration // from when a request gets a slot to the head of its response; 0 if that is at its end
	objective    time.Duration // from arrival to the head of the response
}

var (
	plain = kind{slots: 6, queue: 24, work: 15 * time.Millisecond, parallel: 6, objective: 120 * time.Millisecond}
	// engines serve requests that take some seconds each.
	engines = kind{slots: 32, queue: 32, work: 2 * time.Second, parallel: 1, prefill: 100 * time.Millisecond, objective: time.Second}
)

// capacity returns the requests per second that all endpoints serve.
func (k kind) capacity() float64 { return rigEndpoints * float64(k.slots) / k.work.Seconds() }

// cost returns the work of a request in seconds of endpoint time.
func (k kind) cost() float64 { return k.work.Seconds() * k.parallel / float64(k.slots) }

// behaviour is how a host answers reports of others.
type behaviour int

const (
	answers behaviour = iota
	refuses           // no process listens
	silent            // nothing comes back
	older             // its build does not know the call
	garbles           // its replies can't be right
)

// rig is a set of hosts without a network, whose requests go to endpoints with a short queue each.
type rig struct {
	random    *rand.Rand
	hosts     []*share.Shares
	kind      kind
	endpoints [rigEndpoints]rigEndpoint
	ends      endHeap
	log       *syncBuffer
	results   []second // by second since the start
	dead      map[int]bool

	mu     sync.Mutex // guards all below
	state  map[string]behaviour
	apart  func(from, to string) bool // links that are silent
	calls  int
	served map[string]int // replies, by host that gave them
}

// second counts what happened to requests that arrived in one second.
type second struct {
	offered, inTime, refused map[string]int // by workspace
	arrivals, rejections     int            // at endpoints
	busy                     time.Duration  // work of the requests that were served
}

type rigEndpoint struct {
	kind
	present int // running and waiting
	free    []time.Time
}

// end is when an endpoint ends a request, or sends the head of its response.
type end struct {
	at             time.Time
	host, endpoint int
	head, last     bool
}

type endHeap []end

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(end)) }
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func hostName(i int) string { return fmt.Sprintf("host-%d", i) }

// rigPeers is one host's link to the others.
type rigPeers struct {
	*rig
	from string
}

// Report implements share.PeerClient.
func (p rigPeers) Report(ctx context.Context, address string, r share.Report) (share.Reply, error) {
	p.mu.Lock()
	p.calls++
	how := p.state[address]
	if p.apart != nil && p.apart(p.from, address) {
		how = silent
	}
	p.mu.Unlock()
	time.Sleep(linkDelay)
	switch how {
	case refuses:
		return share.Reply{}, errors.New("connection refused")
	case silent:
		<-ctx.Done()
		return share.Reply{}, ctx.Err()
	case older:
		return share.Reply{}, status.Error(codes.Unimplemented, "unknown service")
	case garbles:
		return share.Reply{Fractions: map[share.Class]float64{{Workspace: "w1"}: -1}}, nil
	}
	p.mu.Lock()
	p.served[address]++
	p.mu.Unlock()
	reply, err := p.hosts[p.index(address)].Handle(r)
	time.Sleep(linkDelay)
	return reply, err
}

// newRig returns a rig with a number of hosts.
func newRig(hosts int, k kind) *rig {
	r := &rig{kind: k, random: rand.New(rand.NewPCG(1, 1)), log: &syncBuffer{}, dead: map[int]bool{}, state: map[string]behaviour{}, served: map[string]int{}}
	for i := range r.endpoints {
		r.endpoints[i] = rigEndpoint{kind: k, free: make([]time.Time, k.slots)}
	}
	for i := range hosts {
		random := rand.New(rand.NewPCG(1, uint64(i)+2))
		r.hosts = append(r.hosts, share.New(share.Options{
			Host:    hostName(i),
			Members: func() []share.Member { return othersOf(i, hosts) },
			Peers:   rigPeers{r, hostName(i)},
			Enabled: func() bool { return true },
			Weight:  func(string) float64 { return 1 },
			Supply: func(string) share.Supply {
				return share.Supply{Endpoints: rigEndpoints, Parallel: k.parallel, Pace: 1}
			},
			Random:    random.Float64,
			Telemetry: telemetry.MetricsOnly(),
			Logger:    log.New(r.log),
		}))
	}
	return r
}

func othersOf(host, hosts int) []share.Member {
	var members []share.Member
	for i := range hosts {
		if i != host {
			members = append(members, share.Member{Name: hostName(i), Address: hostName(i)})
		}
	}
	return members
}

// order returns the hosts in the order of the service.
func (r *rig) order() []string {
	names := make([]string, len(r.hosts))
	for i := range names {
		names[i] = hostName(i)
	}
	return sortedByRank(names)
}

// index returns the number of a host.
func (r *rig) index(name string) int {
	i := -1
	_, _ = fmt.Sscanf(name, "host-%d", &i)
	return i
}

// kill lets a host answer no more. Its callers' requests are lost.
func (r *rig) kill(host string) {
	r.set(host, refuses)
	r.dead[r.index(host)] = true
}

func (r *rig) set(host string, b behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state[host] = b
}

func (r *rig) sever(apart func(from, to string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apart = apart
}

func (r *rig) callsMade() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// load is the load of a play.
type load struct {
	workspaces int
	usual      float64 // requests per second of one workspace
	estimate   float64 // of work, as a multiple of the real one; 0 is 1
	from, to   time.Duration
	lasts      time.Duration
	callers    []int // hosts with callers; empty if all have some
	at         map[time.Duration]func()
}

// play plays a load. The heavy workspace sends heavyTimes its usual load between from and to.
func (r *rig) play(l load) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, h := range r.hosts {
		running.Go(func() { h.Run(ctx) })
	}
	start := time.Now()
	for next := start; ; {
		elapsed := next.Sub(start)
		if elapsed >= l.lasts {
			break
		}
		r.endUntil(next)
		time.Sleep(time.Until(next))
		for at, f := range l.at {
			if elapsed >= at {
				f()
				delete(l.at, at)
			}
		}
		rate := l.usual
		if elapsed >= l.from && elapsed < l.to {
			rate *= heavyTimes
		}
		total := rate + l.usual*float64(l.workspaces-1)
		workspace := heavy
		if x := r.random.Float64() * total; x >= rate {
			workspace = fmt.Sprintf("w%d", 1+r.random.IntN(l.workspaces-1))
		}
		r.request(elapsed, workspace, l)
		next = next.Add(time.Duration(r.random.ExpFloat64() / total * float64(time.Second)))
	}
	cancel()
	running.Wait()
}

// request lets one request arrive at a host.
func (r *rig) request(elapsed time.Duration, workspace string, l load) {
	for len(r.results) <= int(elapsed/time.Second) {
		r.results = append(r.results, second{offered: map[string]int{}, inTime: map[string]int{}, refused: map[string]int{}})
	}
	now := &r.results[elapsed/time.Second]
	host := r.random.IntN(len(r.hosts))
	if len(l.callers) > 0 {
		host = l.callers[r.random.IntN(len(l.callers))]
	}
	if r.dead[host] {
		return
	}
	now.offered[workspace]++
	estimate := l.estimate
	if estimate == 0 {
		estimate = 1
	}
	if !r.hosts[host].Admit(rigService, share.Class{Workspace: workspace, Urgency: 1}, time.Duration(estimate*r.kind.cost()*float64(time.Second))).Admitted {
		now.refused[workspace]++
		return
	}
	now.arrivals++
	e := r.random.IntN(rigEndpoints)
	at, ok := r.endpoints[e].take(time.Now())
	if !ok {
		now.rejections++
		r.hosts[host].Responded(rigService, share.Response{Rejected: true, Occupancy: r.endpoints[e].occupancy()})
		return
	}
	now.busy += r.kind.work
	head := at
	if r.kind.prefill > 0 {
		head = at.Add(r.kind.prefill - r.kind.work)
	}
	if time.Until(head) <= r.kind.objective {
		now.inTime[workspace]++
	}
	heap.Push(&r.ends, end{at: at, host: host, endpoint: e, head: head.Equal(at), last: true})
	if head.Before(at) {
		heap.Push(&r.ends, end{at: head, host: host, endpoint: e, head: true})
	}
}

// endUntil ends the requests that endpoints have run by an instant.
func (r *rig) endUntil(limit time.Time) {
	for len(r.ends) > 0 && !r.ends[0].at.After(limit) {
		e := heap.Pop(&r.ends).(end)
		time.Sleep(time.Until(e.at))
		if e.head {
			r.hosts[e.host].Responded(rigService, share.Response{Occupancy: r.endpoints[e.endpoint].occupancy()})
		}
		if e.last {
			r.endpoints[e.endpoint].present--
		}
	}
}

func (e *rigEndpoint) occupancy() float64 { return float64(e.present) / float64(e.slots) }

// take takes a request in unless the queue is full, and returns when it ends.
func (e *rigEndpoint) take(now time.Time) (time.Time, bool) {
	if e.present >= e.slots+e.queue {
		return time.Time{}, false
	}
	e.present++
	first := 0
	for i := range e.free {
		if e.free[i].Before(e.free[first]) {
			first = i
		}
	}
	if e.free[first].Before(now) {
		e.free[first] = now
	}
	e.free[first] = e.free[first].Add(e.work)
	return e.free[first], true
}

// tally adds up the seconds from one to before another.
type tally struct {
	othersOffered, othersInTime, othersRefused int
	heavyRefused, arrivals, rejections         int
	utilisation                                float64
}

func (r *rig) tally(from, to int) tally {
	var t tally
	for _, s := range r.results[from:to] {
		for w, n := range s.offered {
			if w == heavy {
				t.heavyRefused += s.refused[w]
				continue
			}
			t.othersOffered += n
			t.othersInTime += s.inTime[w]
			t.othersRefused += s.refused[w]
		}
		t.arrivals += s.arrivals
		t.rejections += s.rejections
		t.utilisation += s.busy.Seconds()
	}
	t.utilisation /= float64(to-from) * rigEndpoints * float64(r.kind.slots)
	return t
}
