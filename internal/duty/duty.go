// Package duty does the work that one host does on behalf of all hosts, called the duties: it reports
// usage to the platform and orders endpoints.
//
// # Usage
//
//	c := duty.New(duty.Options{Leases: leases, Platform: client, Querier: duty.NewQuerier(connect), ...})
//	c.Register(server) // so that another host can query this one
//	go c.Run(ctx)
//
// One host holds the lease, whose epoch is sent with each call as the fencing token. The platform
// may ignore the token, so a host calls it only while the lease stays valid for longer than the
// call takes, and waits first if it acquired a released lease. The report of a window is stored
// before it is sent, and resent as stored: two different reports of a window would bill somebody
// twice.
package duty

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"quaybarrow/internal/capacity"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/duty/dutypb"
	"quaybarrow/internal/lease"
	"quaybarrow/internal/store"
	"quaybarrow/internal/usage"
)

// leaseName is the name of the lease that covers all duties.
const leaseName = "duties"

const (
	// queryInterval is the time between the holder's queries of the other hosts.
	queryInterval = time.Second
	// callTimeout limits one call to the platform. A call is not started unless the lease stays
	// valid for longer than that.
	callTimeout = 1200 * time.Millisecond
)

// Errors returned by a Platform.
var (
	// ErrNoneAvailable means that no more endpoints of the ordered kind are available in the data
	// hall at present.
	ErrNoneAvailable = errors.New("no more endpoints are available")
	// ErrRefused means that the platform rejected a call.
	ErrRefused = errors.New("the platform rejected the call")
)

// Holder identifies the host that holds the lease on the duties.
type Holder struct {
	Host  string
	Token int64 // fencing token; increases with each acquisition of the lease
}

// Platform receives the holder's calls.
type Platform interface {
	// Usage reports the usage of a window.
	Usage(ctx context.Context, h Holder, r usage.Report) error
	// Scale orders endpoints of a service. It returns ErrNoneAvailable if no more are available.
	Scale(ctx context.Context, h Holder, service string, o capacity.Order) error
}

// Service is a service whose endpoints are ordered from the platform.
type Service struct {
	Name    string
	Scaling capacity.Scaling
	Slots   int // requests that an endpoint runs concurrently
}

// Options configure a Coordinator.
type Options struct {
	Host        string
	Incarnation string        // identifies one run of a host's process; unique
	Window      time.Duration // length of a usage window; 0 disables usage reports
	Leases      *lease.Manager
	Tables      store.Tables
	Members     func() []Member // the other hosts
	Successors  func() []string // addresses of the hosts to take over the duties, in order
	Querier     Querier
	Platform    Platform // nil if this host never does duties
	Counter     *usage.Counter
	Running     func() map[string]int // requests in progress, by service
	Services    func() []Service
	// EndpointCounts returns the serving endpoints by data hall, and whether an upgrade is in progress.
	EndpointCounts func(service string) (counts map[string]capacity.EndpointCounts, upgrading bool)
	EvacuatedHalls func() []string // data halls that get no requests and no orders for now
	Logger         *log.Logger
}

// Coordinator does the duties while this host holds the lease on them, and answers the queries of
// the host that holds it.
type Coordinator struct {
	options Options

	stopRequested chan struct{} // closed when the host should give up the duties
	stopOnce      sync.Once
	stopped       chan struct{} // closed when Run has returned

	mu       sync.Mutex // guards the fields below
	orders   []ActiveOrder
	isHolder bool
	backups  []HostStatus // counts of holders, oldest first
}

// ActiveOrder is an order in force, as shown to operators.
type ActiveOrder struct {
	Service string `json:"service"`
	Hall    string `json:"hall"`
	Spot    bool   `json:"spot"`
	Count   int    `json:"count"`
	Peak    int    `json:"peak_requests"` // peak of concurrent requests for which it was placed
}

// New returns a coordinator that does not hold the lease.
func New(options Options) *Coordinator {
	return &Coordinator{options: options, stopRequested: make(chan struct{}), stopped: make(chan struct{})}
}

// Register registers the gRPC service that answers other hosts.
func (c *Coordinator) Register(s grpc.ServiceRegistrar) {
	dutypb.RegisterDutyServer(s, &server{coordinator: c})
}

// Run competes for the duties until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	defer close(c.stopped)
	if c.options.Platform == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-c.stopRequested:
			cancel()
		case <-ctx.Done():
		}
	}()
	c.options.Leases.Run(ctx, leaseName, c.hold)
}

// Resign gives up the duties for good and tells a successor that the lease was released. A stopping
// host calls it first, so that its successor can still query its counts.
func (c *Coordinator) Resign(ctx context.Context) {
	_, held := c.Orders()
	c.stopOnce.Do(func() { close(c.stopRequested) })
	select {
	case <-c.stopped:
	case <-ctx.Done():
		return
	}
	if !held {
		return
	}
	successors := c.options.Successors()
	for _, address := range successors[:min(maxSuccessorTries, len(successors))] {
		queryContext, cancel := context.WithTimeout(ctx, queryTimeout)
		_, err := c.options.Querier.Query(queryContext, address, Query{Released: true})
		cancel()
		if err == nil {
			return
		}
		c.options.Logger.Info("could not tell host that the duties were released", "address", address, "error", err)
	}
}

// maxSuccessorTries is the maximum number of hosts to tell, until one answers, that the duties were
// released.
const maxSuccessorTries = 3

// Orders returns this host's orders in force, and whether it holds the duties.
func (c *Coordinator) Orders() ([]ActiveOrder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.orders), c.isHolder
}

// hold does the duties while the lease is valid.
func (c *Coordinator) hold(ctx context.Context, l *lease.Lease) {
	c.options.Logger.Info("duties taken", "token", l.Epoch(), "rest_ms", max(l.UnfencedWait(), 0).Milliseconds())
	c.setHolding(true)
	defer func() {
		c.setHolding(false)
		c.options.Logger.Info("duties left", "token", l.Epoch(), "left_ms", l.Remaining().Milliseconds())
	}()
	t := newTerm(c, l)
	for l.Valid() && ctx.Err() == nil {
		t.round(ctx)
		clock.Sleep(ctx, queryInterval)
	}
}

func (c *Coordinator) setHolding(isHolder bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHolder, c.orders = isHolder, nil
}

// term is the state of one tenure of the duties, from acquiring the lease to losing it.
type term struct {
	coordinator *Coordinator
	lease       *lease.Lease
	medianClock usage.MedianClock
	ledger      *usage.Ledger
	reports     reportState
	planners    map[string]*capacity.Planner
	running     map[string]map[string]int // requests in progress, by host and service
}

func newTerm(c *Coordinator, l *lease.Lease) *term {
	return &term{
		coordinator: c, lease: l, ledger: usage.NewLedger(max(c.options.Window, time.Millisecond)),
		planners: map[string]*capacity.Planner{}, running: map[string]map[string]int{},
	}
}

// round queries all hosts, reports the usage that is due and orders endpoints.
func (t *term) round(ctx context.Context) {
	t.queryHosts(ctx)
	t.reportUsage(ctx)
	t.orderEndpoints(ctx)
}

// mayCall reports whether a call to the platform may be started: no other host may act before it has
// ended.
func (t *term) mayCall(ctx context.Context) bool {
	return ctx.Err() == nil && t.lease.UnfencedWait() <= 0 && t.lease.Remaining() > callTimeout
}

func (t *term) holder() Holder {
	return Holder{Host: t.coordinator.options.Host, Token: t.lease.Epoch()}
}

// queryHosts queries all hosts and records their answers.
func (t *term) queryHosts(ctx context.Context) {
	o := t.coordinator.options
	now, known := t.medianClock.Now()
	q := Query{Window: o.Window, NowKnown: known, Now: now}
	if known {
		q.Since = t.ledger.FirstUnreported(now)
	}
	members := o.Members()
	statuses := append(t.coordinator.queryAll(ctx, q, members), t.coordinator.HandleQuery(ctx, q)...)
	var readings []usage.ClockReading
	clear(t.running)
	for _, host := range statuses {
		if host.FromBackup {
			t.ledger.MergeBackup(host.Usage)
			continue
		}
		readings = append(readings, usage.ClockReading{At: host.readAt, Time: host.WallTime})
		t.running[host.Host] = host.Running
		if known {
			t.ledger.SetHostUsage(host.Host, host.Usage, now)
		}
	}
	t.medianClock = t.medianClock.With(readings, len(members)+1)
}

// orderEndpoints orders endpoints for the services whose load requires more or fewer.
func (t *term) orderEndpoints(ctx context.Context) {
	o := t.coordinator.options
	evacuated := o.EvacuatedHalls()
	var active []ActiveOrder
	for _, s := range o.Services() {
		p, ok := t.planners[s.Name]
		if !ok {
			p = capacity.NewPlanner()
			t.planners[s.Name] = p
		}
		running := 0
		for _, byService := range t.running {
			running += byService[s.Name]
		}
		counts, upgrading := o.EndpointCounts(s.Name)
		state := capacity.State{
			Scaling: s.Scaling, Slots: s.Slots, Running: float64(running), Serving: withEmptyHalls(counts, s.Scaling), Upgrading: upgrading, ExcludedHalls: evacuated,
		}
		for _, order := range p.Orders(clock.Now(), state) {
			t.sendOrder(ctx, s.Name, p, order, state)
		}
		for lot, count := range p.AcceptedOrders() {
			active = append(active, ActiveOrder{Service: s.Name, Hall: lot.Hall, Spot: lot.Spot, Count: count, Peak: int(p.Peak())})
		}
	}
	t.coordinator.mu.Lock()
	defer t.coordinator.mu.Unlock()
	t.coordinator.orders = active
}

// withEmptyHalls adds empty counts for data halls in which a service may run but has no endpoints.
func withEmptyHalls(counts map[string]capacity.EndpointCounts, s capacity.Scaling) map[string]capacity.EndpointCounts {
	all := map[string]capacity.EndpointCounts{}
	for hall := range s.Prices {
		all[hall] = capacity.EndpointCounts{}
	}
	maps.Copy(all, counts)
	return all
}

// sendOrder sends an order to the platform and records the result in the planner.
func (t *term) sendOrder(ctx context.Context, service string, p *capacity.Planner, order capacity.Order, s capacity.State) {
	if !t.mayCall(ctx) {
		return
	}
	callContext, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := t.coordinator.options.Platform.Scale(callContext, t.holder(), service, order)
	fields := []any{
		"service", service, "hall", order.Hall, "spot", order.Spot, "count", order.Count, "serving", s.Serving[order.Hall],
		"running", s.Running, "peak", int(p.Peak()), "token", t.lease.Epoch(),
	}
	switch {
	case err == nil:
		p.RecordAccepted(order)
		t.coordinator.options.Logger.Info("endpoints ordered", fields...)
	case errors.Is(err, ErrNoneAvailable):
		p.RecordUnavailable(order, clock.Now())
		t.coordinator.options.Logger.Info("endpoints not to be had", fields...)
	default:
		t.coordinator.options.Logger.Warn("endpoints not ordered", append(fields, "error", err)...)
	}
}
