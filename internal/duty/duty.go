// Package duty does what one host does for all: it reports usage to the platform and orders
// endpoints.
//
// # Usage
//
//	k := duty.New(duty.Options{Leases: leases, Platform: client, Asker: duty.NewAsker(connect), ...})
//	k.Register(server) // so that another host can ask this one
//	go k.Run(ctx)
//
// One host holds the lease, whose epoch goes with each call as the fencing token. The platform
// may ignore it, so a host calls only while its lease is good for longer than the call takes, and
// who takes a released lease waits first. What is reported of a window is kept in the store
// before it is sent, and sent again as it was kept: two reports of a window that differ would
// bill somebody twice.
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

// leaseName is that of the lease on all duties.
const leaseName = "duties"

// Times of a host that does the duties.
const (
	// queryInterval is how often it asks the others.
	queryInterval = time.Second
	// callTimeout is what one call to the platform takes at most. It is not begun unless the lease
	// is good for longer.
	callTimeout = 1200 * time.Millisecond
)

// Errors of the platform.
var (
	// ErrNoneAvailable means that there are no more endpoints of the kind to be had there now.
	ErrNoneAvailable = errors.New("no more endpoints are to be had")
	// ErrRefused means that the platform did not take a call.
	ErrRefused = errors.New("the platform did not take the call")
)

// Holder is who holds the duties.
type Holder struct {
	Host  string
	Token int64 // rises with each holder
}

// Platform takes what the holder does.
type Platform interface {
	// Usage reports a window.
	Usage(ctx context.Context, h Holder, r usage.Report) error
	// Scale orders endpoints of a service; ErrNone if there are none to be had.
	Scale(ctx context.Context, h Holder, service string, o capacity.Order) error
}

// Service is one whose endpoints are ordered.
type Service struct {
	Name    string
	Scaling capacity.Scaling
	Slots   int // requests that an endpoint runs at once
}

// Options set up a Keeper.
type Options struct {
	Host        string
	Incarnation string        // of the host, which no other life of any host has
	Window      time.Duration // of usage; 0 reports none
	Leases      *lease.Manager
	Tables      store.Tables
	Members     func() []Member // the other hosts
	Successors  func() []string // addresses of hosts that should take the duties after this one
	Querier     Querier
	Platform    Platform // nil where there are no duties
	Counter     *usage.Counter
	Running     func() map[string]int // requests in hand, by service
	Services    func() []Service
	// Stocks counts what serves, by data hall, and tells whether an upgrade is under way.
	Stocks         func(service string) (stocks map[string]capacity.Stock, upgrading bool)
	EvacuatedHalls func() []string // data halls that get nothing
	Logger         *log.Logger
}

// Coordinator does the duties of a host while it holds them, and answers the one that does.
type Coordinator struct {
	options Options

	stopRequested chan struct{} // closed once the duties are to be given up
	stopOnce      sync.Once
	stopped       chan struct{} // closed once they are

	mu      sync.Mutex // guards all below
	orders  []ActiveOrder
	isHolder   bool
	backups []HostStatus // of what holders had counted, oldest first
}

// ActiveOrder is an order in force, as operators see it.
type ActiveOrder struct {
	Service string `json:"service"`
	Hall    string `json:"hall"`
	Spot    bool   `json:"spot"`
	Count   int    `json:"count"`
	Peak    int    `json:"peak_requests"` // for which it was made
}

// New returns a keeper that holds nothing.
func New(options Options) *Coordinator {
	return &Coordinator{options: options, stopRequested: make(chan struct{}), stopped: make(chan struct{})}
}

// Register serves other hosts.
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

// Resign gives the duties up for good, as the first thing that a stopping host does: its successor
// can still ask it what it has counted.
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
		c.options.Logger.Info("host not told that it may take the duties", "address", address, "error", err)
	}
}

// maxSuccessorTries is how many hosts are told, until one answers, that the duties are free.
const maxSuccessorTries = 3

// Orders lists what this host has ordered, and whether it holds the duties.
func (c *Coordinator) Orders() ([]ActiveOrder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.orders), c.isHolder
}

// hold does the duties while the lease lasts.
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

// term is a time in which a host does the duties.
type term struct {
	coordinator *Coordinator
	lease       *lease.Lease
	wallClock   usage.MedianClock
	ledger      *usage.Ledger
	reports     reportState
	planners    map[string]*capacity.Planner
	running     map[string]map[string]int // requests in hand, by host and service
}

func newTerm(c *Coordinator, l *lease.Lease) *term {
	return &term{
		coordinator: c, lease: l, ledger: usage.NewLedger(max(c.options.Window, time.Millisecond)),
		planners: map[string]*capacity.Planner{}, running: map[string]map[string]int{},
	}
}

// round asks all hosts and does what is due.
func (t *term) round(ctx context.Context) {
	t.queryHosts(ctx)
	t.reportUsage(ctx)
	t.orderEndpoints(ctx)
}

// mayCall reports whether a call mayCall be made: nobody else mayCall act before it has ended.
func (t *term) mayCall(ctx context.Context) bool {
	return ctx.Err() == nil && t.lease.UnfencedWait() <= 0 && t.lease.Remaining() > callTimeout
}

func (t *term) holder() Holder {
	return Holder{Host: t.coordinator.options.Host, Token: t.lease.Epoch()}
}

// queryHosts takes in what all hosts tell.
func (t *term) queryHosts(ctx context.Context) {
	o := t.coordinator.options
	now, known := t.wallClock.Now()
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
	t.wallClock = t.wallClock.With(readings, len(members)+1)
}

// orderEndpoints orders endpoints where the work asks for more or fewer.
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
		stocks, upgrading := o.Stocks(s.Name)
		state := capacity.State{
			Scaling: s.Scaling, Slots: s.Slots, Running: float64(running), Stocks: withEmptyHalls(stocks, s.Scaling), Upgrading: upgrading, Away: evacuated,
		}
		for _, order := range p.Orders(clock.Now(), state) {
			t.sendOrder(ctx, s.Name, p, order, state)
		}
		for lot, count := range p.InForce() {
			active = append(active, ActiveOrder{Service: s.Name, Hall: lot.Hall, Spot: lot.Spot, Count: count, Peak: int(p.Peak())})
		}
	}
	t.coordinator.mu.Lock()
	defer t.coordinator.mu.Unlock()
	t.coordinator.orders = active
}

// withEmptyHalls adds the data halls in which a service may run and has nothing.
func withEmptyHalls(stocks map[string]capacity.Stock, s capacity.Scaling) map[string]capacity.Stock {
	all := map[string]capacity.Stock{}
	for hall := range s.Prices {
		all[hall] = capacity.Stock{}
	}
	maps.Copy(all, stocks)
	return all
}

// sendOrder sends an order.
func (t *term) sendOrder(ctx context.Context, service string, p *capacity.Planner, order capacity.Order, s capacity.State) {
	if !t.mayCall(ctx) {
		return
	}
	callContext, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := t.coordinator.options.Platform.Scale(callContext, t.holder(), service, order)
	fields := []any{
		"service", service, "hall", order.Hall, "spot", order.Spot, "count", order.Count, "serving", s.Stocks[order.Hall],
		"running", s.Running, "peak", int(p.Peak()), "token", t.lease.Epoch(),
	}
	switch {
	case err == nil:
		p.Ordered(order)
		t.coordinator.options.Logger.Info("endpoints ordered", fields...)
	case errors.Is(err, ErrNoneAvailable):
		p.Refused(order, clock.Now())
		t.coordinator.options.Logger.Info("endpoints not to be had", fields...)
	default:
		t.coordinator.options.Logger.Warn("endpoints not ordered", append(fields, "error", err)...)
	}
}
