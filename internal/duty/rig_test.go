package duty_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"quaybarrow/internal/capacity"
	"quaybarrow/internal/duty"
	"quaybarrow/internal/lease"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/internal/standin/table"
	"quaybarrow/internal/usage"
	"quaybarrow/platform"
	"quaybarrow/platform/standin"
)

// Times and addresses of a rig.
const (
	window        = 5 * time.Second
	handoverDelay = 3 * time.Second
	// leaseLength is the length of the lease on the duties.
	leaseLength = handoverDelay * 4 / 3
	// platformAddress is where the platform receives the holder's calls.
	platformAddress = "10.9.0.2:80"
)

// rig is a test rig of hosts that compete for the duties, a store and the platform.
type rig struct {
	store    *table.Store
	platform *standin.DutyServer
	net      *memnet.Network
	server   *http.Server
	random   *rand.Rand
	running  sync.WaitGroup
	attempts attempts

	mu             sync.Mutex // guards the fields below, and random
	hosts          map[string]*node
	started        map[int64]map[string]int64 // requests that were started, by window and workspace
	endpointCounts map[string]capacity.EndpointCounts
}

// node is one incarnation of a host.
type node struct {
	rig         *rig
	name        string
	door        *table.Door
	tables      *delayedTables // store the usage reports
	renewals    *renewalTables // store the lease
	counter     *usage.Counter
	coordinator *duty.Coordinator
	cancel      context.CancelFunc
	dead        bool
	silent      bool // cut off from all other hosts and the platform
}

var errSilent = errors.New("no answer")

func newRig(hosts int, seed uint64) *rig {
	r := &rig{
		store: table.New(table.Options{}), platform: standin.NewDutyServer(handoverDelay), net: memnet.New(), random: rand.New(rand.NewPCG(seed, 7)),
		hosts: map[string]*node{}, started: map[int64]map[string]int64{}, endpointCounts: map[string]capacity.EndpointCounts{},
	}
	r.server = &http.Server{Handler: r.platform}
	l := r.net.Listen(platformAddress)
	go func() { _ = r.server.Serve(l) }()
	for i := range hosts {
		r.start(fmt.Sprintf("front-%d", i))
	}
	return r
}

// start starts a new incarnation of a host.
func (r *rig) start(name string) {
	incarnation := fmt.Sprint(name, "-", r.randomInt(math.MaxInt))
	n := &node{rig: r, name: name, door: table.NewDoor(r.store), counter: usage.NewCounter(incarnation)}
	n.tables, n.renewals = &delayedTables{Tables: n.door}, &renewalTables{Tables: n.door}
	n.coordinator = duty.New(duty.Options{
		Host: name, Incarnation: incarnation, Window: window, Tables: n.tables, Counter: n.counter, Querier: n,
		Leases: lease.NewManager(lease.Options{
			Tables: n.renewals, Host: name, Incarnation: incarnation, Length: leaseLength, HandoverDelay: handoverDelay, Rank: func() (int, bool) { return r.rank(name), true },
		}),
		Members: func() []duty.Member { return r.members(name) }, Successors: func() []string { return r.successors(name) }, Platform: n, Running: func() map[string]int { return map[string]int{"model": 30} },
		Services: func() []duty.Service {
			return []duty.Service{{Name: "model", Slots: 8, Scaling: capacity.Scaling{Least: 1, Most: 60, SpotPrice: 0.2, Prices: map[string]float64{"ikeja": 1, "lekki": 1, "yaba": 1}}}}
		},
		EndpointCounts: func(string) (map[string]capacity.EndpointCounts, bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			return maps.Clone(r.endpointCounts), false
		},
		EvacuatedHalls: func() []string { return nil }, Logger: log.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	r.mu.Lock()
	r.hosts[name] = n
	r.mu.Unlock()
	r.running.Go(func() { n.coordinator.Run(ctx) })
}

// randomInt returns a random number below n.
func (r *rig) randomInt(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// node returns a host's latest incarnation; nil if it has had none.
func (r *rig) node(name string) *node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts[name]
}

// names returns the names of all hosts, sorted.
func (r *rig) names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.hosts))
}

// setEndpointCounts sets the serving endpoints by data hall.
func (r *rig) setEndpointCounts(counts map[string]capacity.EndpointCounts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpointCounts = counts
}

// kill ends a host's incarnation at once: from now on it neither sends nor receives anything.
func (r *rig) kill(name string) {
	r.mu.Lock()
	n := r.hosts[name]
	n.dead = true
	r.mu.Unlock()
	n.door.Cut(true)
	n.cancel()
}

// terminate stops a host as planned: it resigns from the duties first and runs on for stopDuration.
func (r *rig) terminate(name string) {
	r.node(name).coordinator.Resign(context.Background())
	time.Sleep(stopDuration)
	r.kill(name)
}

// stopDuration is how long a stopping host still answers queries.
const stopDuration = 2500 * time.Millisecond

// successors returns the hosts after the given one.
func (r *rig) successors(name string) []string {
	return slices.DeleteFunc(r.names(), func(other string) bool { return other <= name })
}

// holder returns the name of the host that made the latest call, or of the first host if there was
// none.
func (r *rig) holder() string {
	calls := r.platform.Calls()
	if len(calls) == 0 {
		return "front-0"
	}
	return calls[len(calls)-1].Holder
}

func (r *rig) alive(n *node) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !n.dead && !n.silent
}

// rank returns how many live hosts come before the given one.
func (r *rig) rank(name string) int {
	rank := 0
	for _, other := range r.names() {
		if other < name && r.alive(r.node(other)) {
			rank++
		}
	}
	return rank
}

func (r *rig) members(except string) []duty.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var members []duty.Member
	for name := range r.hosts {
		if name != except {
			members = append(members, duty.Member{Name: name, Address: name})
		}
	}
	return members
}

// Query implements duty.Querier by a direct call to a host of the rig.
func (n *node) Query(ctx context.Context, address string, q duty.Query) ([]duty.HostStatus, error) {
	other := n.rig.node(address)
	if !n.rig.alive(n) || !n.rig.alive(other) {
		<-ctx.Done()
		return nil, errSilent
	}
	return other.coordinator.HandleQuery(ctx, q), nil
}

// Usage implements duty.Platform.
func (n *node) Usage(ctx context.Context, h duty.Holder, report usage.Report) error {
	if !n.rig.alive(n) {
		return errSilent
	}
	n.rig.attempts.add(n.name)
	return platform.NewDutyClient(platformAddress, n.rig.net.Dial).Usage(ctx, h, report)
}

// Scale implements duty.Platform.
func (n *node) Scale(ctx context.Context, h duty.Holder, service string, o capacity.Order) error {
	if !n.rig.alive(n) {
		return errSilent
	}
	n.rig.attempts.add(n.name)
	return platform.NewDutyClient(platformAddress, n.rig.net.Dial).Scale(ctx, h, service, o)
}

// sendRequests starts requests at random live hosts for the given duration.
func (r *rig) sendRequests(duration time.Duration) {
	workspaces := []string{"weavers", "dyers", "carvers"}
	for began := time.Now(); time.Since(began) < duration; time.Sleep(20 * time.Millisecond) {
		names := r.names()
		n := r.node(names[r.randomInt(len(names))])
		if !r.alive(n) {
			continue
		}
		workspace := workspaces[r.randomInt(len(workspaces))]
		n.counter.CountRequest(workspace)
		w := int64(usage.WindowOf(time.Now(), window))
		if r.started[w] == nil {
			r.started[w] = map[string]int64{}
		}
		r.started[w][workspace]++
	}
}

// close stops all hosts.
func (r *rig) close() {
	for _, name := range r.names() {
		r.node(name).cancel()
	}
	r.running.Wait()
	_ = r.server.Close()
	time.Sleep(time.Minute)
}

// maxUsageError is the maximum relative error of a reported count.
const maxUsageError = 0.05

// wrongWindows lists the windows whose report is missing or wrong, of those that ended at least
// minAge ago.
func (r *rig) wrongWindows(minAge time.Duration) []string {
	reports := r.platform.Reports()
	var found []string
	for w, truth := range r.started {
		if time.Since(usage.Window(w).End(window)) < minAge {
			continue
		}
		for workspace, n := range truth {
			deviation := float64(reports[w][workspace]-n) / float64(n)
			if deviation > maxUsageError || deviation < -maxUsageError {
				found = append(found, fmt.Sprintf("window %d of %s: %d of %d", w, workspace, reports[w][workspace], n))
				break
			}
		}
	}
	return found
}
