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
	// every is how often it asks the others.
	every = time.Second
	// callLimit is what one call to the platform takes at most. It is not begun unless the lease
	// is good for longer.
	callLimit = 1200 * time.Millisecond
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
	Host     string
	Incarnation string        // of the host, which no other life of any host has
	Window   time.Duration // of usage; 0 reports none
	Leases   *lease.Manager
	Tables   store.Tables
	Members  func() []Member // the other hosts
	Successors     func() []string // addresses of hosts that should take the duties after this one
	Querier    Querier
	Platform Platform // nil where there are no duties
	Counter  *usage.Counter
	Running  func() map[string]int // requests in hand, by service
	Services func() []Service
	// Stocks counts what serves, by data hall, and tells whether an upgrade is under way.
	Stocks func(service string) (stocks map[string]capacity.Stock, upgrading bool)
	EvacuatedHalls   func() []string // data halls that get nothing
	Logger *log.Logger
}

// Coordinator does the duties of a host while it holds them, and answers the one that does.
type Coordinator struct {
	options Options

	leave   chan struct{} // closed once the duties are to be given up
	leaving sync.Once
	left    chan struct{} // closed once they are

	mu     sync.Mutex // guards all below
	orders []ActiveOrder
	holds  bool
	copies []Answer // of what holders had counted, oldest first
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
	return &Coordinator{options: options, leave: make(chan struct{}), left: make(chan struct{})}
}

// Register serves other hosts.
func (k *Coordinator) Register(s grpc.ServiceRegistrar) { dutypb.RegisterDutyServer(s, &server{keeper: k}) }

// Run competes for the duties until the context ends.
func (k *Coordinator) Run(ctx context.Context) {
	defer close(k.left)
	if k.options.Platform == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-k.leave:
			cancel()
		case <-ctx.Done():
		}
	}()
	k.options.Leases.Run(ctx, leaseName, k.hold)
}

// Resign gives the duties up for good, as the first thing that a stopping host does: its successor
// can still ask it what it has counted.
func (k *Coordinator) Resign(ctx context.Context) {
	_, held := k.Orders()
	k.leaving.Do(func() { close(k.leave) })
	select {
	case <-k.left:
	case <-ctx.Done():
		return
	}
	if !held {
		return
	}
	next := k.options.Successors()
	for _, address := range next[:min(nextTries, len(next))] {
		limited, cancel := context.WithTimeout(ctx, askLimit)
		_, err := k.options.Querier.Ask(limited, address, Question{Free: true})
		cancel()
		if err == nil {
			return
		}
		k.options.Logger.Info("host not told that it may take the duties", "address", address, "error", err)
	}
}

// nextTries is how many hosts are told, until one answers, that the duties are free.
const nextTries = 3

// Orders lists what this host has ordered, and whether it holds the duties.
func (k *Coordinator) Orders() ([]ActiveOrder, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.orders), k.holds
}

// hold does the duties while the lease lasts.
func (k *Coordinator) hold(ctx context.Context, l *lease.Lease) {
	k.options.Logger.Info("duties taken", "token", l.Epoch(), "rest_ms", max(l.UnfencedWait(), 0).Milliseconds())
	k.holding(true)
	defer func() {
		k.holding(false)
		k.options.Logger.Info("duties left", "token", l.Epoch(), "left_ms", l.Remaining().Milliseconds())
	}()
	t := newTerm(k, l)
	for l.Valid() && ctx.Err() == nil {
		t.round(ctx)
		clock.Sleep(ctx, every)
	}
}

func (k *Coordinator) holding(holds bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holds, k.orders = holds, nil
}

// term is a time in which a host does the duties.
type term struct {
	keeper   *Coordinator
	lease    *lease.Lease
	timeIs   usage.MedianClock
	ledger   *usage.Ledger
	reports  reports
	planners map[string]*capacity.Planner
	running  map[string]map[string]int // requests in hand, by host and service
}

func newTerm(k *Coordinator, l *lease.Lease) *term {
	return &term{
		keeper: k, lease: l, ledger: usage.NewLedger(max(k.options.Window, time.Millisecond)),
		planners: map[string]*capacity.Planner{}, running: map[string]map[string]int{},
	}
}

// round asks all hosts and does what is due.
func (t *term) round(ctx context.Context) {
	t.ask(ctx)
	t.report(ctx)
	t.order(ctx)
}

// may reports whether a call may be made: nobody else may act before it has ended.
func (t *term) may(ctx context.Context) bool {
	return ctx.Err() == nil && t.lease.UnfencedWait() <= 0 && t.lease.Remaining() > callLimit
}

func (t *term) holder() Holder { return Holder{Host: t.keeper.options.Host, Token: t.lease.Epoch()} }

// ask takes in what all hosts tell.
func (t *term) ask(ctx context.Context) {
	o := t.keeper.options
	now, known := t.timeIs.Now()
	q := Question{Window: o.Window, Known: known, Now: now}
	if known {
		q.Since = t.ledger.FirstUnreported(now)
	}
	members := o.Members()
	answers := append(t.keeper.gather(ctx, q, members), t.keeper.Tell(ctx, q)...)
	var shown []usage.ClockReading
	clear(t.running)
	for _, a := range answers {
		if a.Copied {
			t.ledger.MergeBackup(a.Account)
			continue
		}
		shown = append(shown, usage.ClockReading{At: a.at, Time: a.Shown})
		t.running[a.Host] = a.Running
		if known {
			t.ledger.SetHostUsage(a.Host, a.Account, now)
		}
	}
	t.timeIs = t.timeIs.With(shown, len(members)+1)
}

// order orders endpoints where the work asks for more or fewer.
func (t *term) order(ctx context.Context) {
	o := t.keeper.options
	away := o.EvacuatedHalls()
	var standing []ActiveOrder
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
			Scaling: s.Scaling, Slots: s.Slots, Running: float64(running), Stocks: withHalls(stocks, s.Scaling), Upgrading: upgrading, Away: away,
		}
		for _, order := range p.Orders(clock.Now(), state) {
			t.send(ctx, s.Name, p, order, state)
		}
		for lot, count := range p.InForce() {
			standing = append(standing, ActiveOrder{Service: s.Name, Hall: lot.Hall, Spot: lot.Spot, Count: count, Peak: int(p.Peak())})
		}
	}
	t.keeper.mu.Lock()
	defer t.keeper.mu.Unlock()
	t.keeper.orders = standing
}

// withHalls adds the data halls in which a service may run and has nothing.
func withHalls(stocks map[string]capacity.Stock, s capacity.Scaling) map[string]capacity.Stock {
	all := map[string]capacity.Stock{}
	for hall := range s.Prices {
		all[hall] = capacity.Stock{}
	}
	maps.Copy(all, stocks)
	return all
}

// send sends an order.
func (t *term) send(ctx context.Context, service string, p *capacity.Planner, order capacity.Order, s capacity.State) {
	if !t.may(ctx) {
		return
	}
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	err := t.keeper.options.Platform.Scale(limited, t.holder(), service, order)
	fields := []any{
		"service", service, "hall", order.Hall, "spot", order.Spot, "count", order.Count, "serving", s.Stocks[order.Hall],
		"running", s.Running, "peak", int(p.Peak()), "token", t.lease.Epoch(),
	}
	switch {
	case err == nil:
		p.Ordered(order)
		t.keeper.options.Logger.Info("endpoints ordered", fields...)
	case errors.Is(err, ErrNoneAvailable):
		p.Refused(order, clock.Now())
		t.keeper.options.Logger.Info("endpoints not to be had", fields...)
	default:
		t.keeper.options.Logger.Warn("endpoints not ordered", append(fields, "error", err)...)
	}
}
