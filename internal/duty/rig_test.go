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

// Times of a rig.
const (
	window        = 5 * time.Second
	handoverDelay = 3 * time.Second
	// leaseLength is that of the lease on the duties.
	leaseLength = handoverDelay * 4 / 3
	// platformAddress is where the platform takes what is one host's duty.
	platformAddress = "10.9.0.2:80"
)

// rig is hosts that keep duties, before a store and the platform.
type rig struct {
	store    *table.Store
	platform    *standin.Duties
	net      *memnet.Network
	server   *http.Server
	random   *rand.Rand
	running  sync.WaitGroup
	attempts attempts

	mu      sync.Mutex // guards all below, and random
	hosts   map[string]*node
	started map[int64]map[string]int64 // what truly began, by window and workspace
	stocks  map[string]capacity.Stock
}

// node is a life of a host.
type node struct {
	rig      *rig
	name     string
	door     *table.Door
	tables   *delayedTables // what the duties keep goes there
	renewals *renewalTables // and their lease there
	counter  *usage.Counter
	coordinator   *duty.Coordinator
	cancel   context.CancelFunc
	dead     bool
	silent   bool // it answers nobody
}

var errSilent = errors.New("no answer")

func newRig(hosts int, seed uint64) *rig {
	r := &rig{
		store: table.New(table.Options{}), platform: standin.NewDuties(handoverDelay), net: memnet.New(), random: rand.New(rand.NewPCG(seed, 7)),
		hosts: map[string]*node{}, started: map[int64]map[string]int64{}, stocks: map[string]capacity.Stock{},
	}
	r.server = &http.Server{Handler: r.platform}
	l := r.net.Listen(platformAddress)
	go func() { _ = r.server.Serve(l) }()
	for i := range hosts {
		r.start(fmt.Sprintf("front-%d", i))
	}
	return r
}

// start starts a life of a host.
func (r *rig) start(name string) {
	lifetime := fmt.Sprint(name, "-", r.randomInt(math.MaxInt))
	n := &node{rig: r, name: name, door: table.NewDoor(r.store), counter: usage.NewCounter(lifetime)}
	n.tables, n.renewals = &delayedTables{Tables: n.door}, &renewalTables{Tables: n.door}
	n.coordinator = duty.New(duty.Options{
		Host: name, Incarnation: lifetime, Window: window, Tables: n.tables, Counter: n.counter, Querier: n,
		Leases: lease.NewManager(lease.Options{
			Tables: n.renewals, Host: name, Incarnation: lifetime, Length: leaseLength, HandoverDelay: handoverDelay, Rank: func() (int, bool) { return r.rank(name), true },
		}),
		Members: func() []duty.Member { return r.members(name) }, Successors: func() []string { return r.successors(name) }, Platform: n, Running: func() map[string]int { return map[string]int{"model": 30} },
		Services: func() []duty.Service {
			return []duty.Service{{Name: "model", Slots: 8, Scaling: capacity.Scaling{Least: 1, Most: 60, SpotPrice: 0.2, Prices: map[string]float64{"ikeja": 1, "lekki": 1, "yaba": 1}}}}
		},
		Stocks: func(string) (map[string]capacity.Stock, bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			return maps.Clone(r.stocks), false
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

// randomInt is a number below n.
func (r *rig) randomInt(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// node is a host's newest life; nil if it has had none.
func (r *rig) node(name string) *node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts[name]
}

// names are those of all hosts, in order.
func (r *rig) names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.hosts))
}

// setStocks sets what setStocks in the data halls.
func (r *rig) setStocks(stocks map[string]capacity.Stock) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stocks = stocks
}

// kill ends a life at once: from this moment on it reaches nobody, and nobody it.
func (r *rig) kill(name string) {
	r.mu.Lock()
	n := r.hosts[name]
	n.dead = true
	r.mu.Unlock()
	n.door.Cut(true)
	n.cancel()
}

// terminate ends a life as planned: it gives the duties up first, and lives on for a while.
func (r *rig) terminate(name string) {
	r.node(name).coordinator.Resign(context.Background())
	time.Sleep(stopDuration)
	r.kill(name)
}

// stopDuration is how long a host that stops still answers.
const stopDuration = 2500 * time.Millisecond

// successors are the hosts after one.
func (r *rig) successors(name string) []string {
	return slices.DeleteFunc(r.names(), func(other string) bool { return other <= name })
}

// holder is the name of the host that made the newest call; the first host before there is one.
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

// rank is how many hosts that live come before one.
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

// Query implements duty.Asker: it asks a host of the rig by way of what goes over the wire.
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
	return platform.NewDuties(platformAddress, n.rig.net.Dial).Usage(ctx, h, report)
}

// Scale implements duty.Platform.
func (n *node) Scale(ctx context.Context, h duty.Holder, service string, o capacity.Order) error {
	if !n.rig.alive(n) {
		return errSilent
	}
	n.rig.attempts.add(n.name)
	return platform.NewDuties(platformAddress, n.rig.net.Dial).Scale(ctx, h, service, o)
}

// sendRequests has requests begin at hosts that live, for a while.
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

// close ends all hosts.
func (r *rig) close() {
	for _, name := range r.names() {
		r.node(name).cancel()
	}
	r.running.Wait()
	_ = r.server.Close()
	time.Sleep(time.Minute)
}

// maxUsageError is how far a window's count may be from the truth.
const maxUsageError = 0.05

// wrongWindows lists the windows, of those that ended a time ago, whose report is missing or off.
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
