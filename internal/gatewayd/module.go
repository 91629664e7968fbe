// Package gatewayd wires a host that serves routed requests on the users'
// platform, and runs its life.
//
// # Usage
//
//	app := fx.New(gatewayd.Module(settings, gatewayd.Ports{}))
//	app.Run()
//
// The host follows the operators' table and the endpoints' table, serves callers
// through a gateway, and tells at two further addresses whether it is ready and
// what its figures are. It keeps nothing: what must last is in the platform's
// store.
package gatewayd

import (
	"context"
	"io"
	"net"
	"os"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"quaybarrow/internal/advice"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/gateway"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/ratelimit"
	"quaybarrow/internal/route"
	"quaybarrow/internal/settings"
	"quaybarrow/internal/spread"
	"quaybarrow/internal/store"
	"quaybarrow/internal/telemetry"
	"quaybarrow/internal/tlsfiles"
	"quaybarrow/internal/upgrade"
	"quaybarrow/internal/usage"
	"quaybarrow/platform"
)

// memoryShare of a host's memory is what the runtime is told to keep to; the
// rest is for stacks of threads, socket buffers and the program itself.
const memoryShare = 0.6

// Ports are the ways to the outside. What is nil is made from the settings.
type Ports struct {
	Store  storeClient
	LogTo  io.Writer
	Dial   platform.Dialer
	Listen func(ctx context.Context, address string) (net.Listener, error)
	// Reload reads the settings again; nil if they never change.
	Reload func() (settings.Settings, error)
	// Hangup tells that the settings have changed.
	Hangup <-chan os.Signal
}

// dialPeer is the way to endpoints and other hosts; nil is the network's.
func (p Ports) dialPeer() func(ctx context.Context, address string) (net.Conn, error) {
	if p.Dial == nil {
		return nil
	}
	return func(ctx context.Context, address string) (net.Conn, error) { return p.Dial(ctx, "tcp", address) }
}

// Module wires a host.
func Module(s settings.Settings, ports Ports) fx.Option {
	return fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s, ports),
		fx.Provide(
			newLines, newLogger, newTelemetry, newTLS, newStore, newWatcher, clock.NewDeadlines, route.NewHolder, newFleet, newPool, newTracker, newAdvisor, newLimits, newQuarantine, newLifetime, newUsage, newDuties, newGateway, newHost,
		),
		fx.Invoke(func(lc fx.Lifecycle, h *Host) {
			lc.Append(fx.Hook{OnStart: h.Start, OnStop: h.Stop})
		}),
	)
}

// limitMemory keeps the runtime within the host's memory.
func limitMemory(megabytes int) {
	debug.SetMemoryLimit(int64(memoryShare * float64(megabytes) * (1 << 20)))
	debug.SetGCPercent(collectPercent)
}

func newLines(p Ports) *telemetry.Lines {
	if p.LogTo != nil {
		return telemetry.NewLines(p.LogTo)
	}
	return telemetry.NewLines(os.Stdout)
}

func newLogger(s settings.Settings, lines *telemetry.Lines) *log.Logger {
	logger := log.NewWithOptions(lines, log.Options{ReportTimestamp: true, Formatter: log.JSONFormatter, TimeFormat: time.RFC3339Nano})
	// The settings' check has refused every other word.
	if level, err := log.ParseLevel(s.Telemetry.LogLevel); err == nil {
		logger.SetLevel(level)
	}
	return logger.With("host", s.Host)
}

func newTelemetry() *telemetry.Telemetry { return telemetry.MetricsOnly() }

func newTLS(s settings.Settings) (*tlsfiles.Files, error) { return tlsfiles.Open(s.TLS) }

// storeClient is the platform's store as this host reaches it.
type storeClient interface {
	store.Tables
	store.Watcher
}

func newStore(s settings.Settings, p Ports, t *telemetry.Telemetry) (storeClient, store.Tables) {
	if p.Store != nil {
		return p.Store, p.Store
	}
	client := platform.NewStore(s.Gateway.Store, nil)
	client.OnCall(func(kind, table string) {
		t.Count("store_calls", 1, telemetry.Label("kind", kind), telemetry.Label("table", table))
	})
	return client, client
}

func newWatcher(s settings.Settings, p Ports, c storeClient, files *tlsfiles.Files, l *log.Logger) (*spread.Watcher, store.Watcher) {
	w := spread.NewWatcher(spread.Options{
		Host: s.Host, Hall: s.DataHall, Regions: s.Gateway.Halls, Address: s.Gateway.Peers, Cores: s.Gateway.Cores, Seeds: s.Gateway.SeedPeers(), FirstStart: s.Gateway.First,
		Wait: time.Duration(waitPart * float64(s.Gateway.Bound())), Tables: c, Store: c, Logger: l,
		Credentials: files.ClientCredentials(), Dial: p.dialPeer(),
	})
	return w, w
}

// waitPart of the time in which a change has to be in force is one wait for changes
// at the store. A feed that falls silent is given up a quarter of a second after
// it, and then there is time to ask four others, a fifth of a second each.
const waitPart = 0.45

func newFleet(s settings.Settings, h *route.Holder, w *spread.Watcher) *fleet.Fleet {
	return fleet.New(fleet.Options{
		Hall: s.DataHall, Regions: s.Gateway.Halls, Choosers: w.Choosers,
		WarmUp: func(service string) fleet.WarmUp { return warming(s.Gateway, h.Table(), service) },
	})
}

// warming is what operators declare of cold endpoints of a service.
func warming(s settings.Gateway, t *route.Table, service string) fleet.WarmUp {
	if t == nil {
		return fleet.WarmUp{}
	}
	declared, ok := t.Service(service)
	if !ok {
		return fleet.WarmUp{}
	}
	return fleet.WarmUp{Duration: declared.ColdFor, MaxRate: s.ColdMost(declared.ColdRate)}
}

func newPool(p Ports, t *telemetry.Telemetry) *conn.Pool {
	return conn.NewPool(conn.Options{
		Opened: func(string) { t.Count("endpoint_connections", 1) }, Dial: p.dialPeer(),
	})
}

func newTracker(s settings.Settings, tables store.Tables, w *spread.Watcher, f *fleet.Fleet, l *log.Logger) *upgrade.Tracker {
	return upgrade.NewTracker(upgrade.Options{
		Host: s.Host, Tables: tables, Watch: w, Fleet: f, Logger: l, Status: platform.UpgradeStatusWrite, Hosts: w.Hosts,
		Exposure: s.Gateway.Exposure,
	})
}

func newAdvisor(s settings.Settings, w *spread.Watcher, f *fleet.Fleet, u *upgrade.Tracker, l *log.Logger) *advice.Advisor {
	a := advice.New(advice.Options{Hall: s.DataHall, Fleet: f, Allowed: u.Allowed, Before: w.PrecedingHosts, Leads: w.Leads, Conn: w.Conn, Logger: l})
	f.OnOutcome(a.Attempted)
	f.OnHead(a.Heard)
	return a
}

func newLimits(s settings.Settings, w *spread.Watcher, f *fleet.Fleet, t *telemetry.Telemetry, l *log.Logger) *ratelimit.Limiter {
	return ratelimit.NewLimiter(ratelimit.Options{
		Host: s.Host, Fleet: f, Caller: ratelimit.NewPeerClient(w.Conn), Telemetry: t, Logger: l,
		Known:   func() bool { return w.Choosers().Hosts > 0 },
		Members: func() []ratelimit.Member { return members[ratelimit.Member](w) },
	})
}

func newQuarantine(s settings.Settings, tables store.Tables, w *spread.Watcher, p *conn.Pool, f *fleet.Fleet, l *log.Logger) *quarantine.Tracker {
	return quarantine.NewTracker(quarantine.Options{
		Host: s.Host, Probe: p.Reach, CountEndpoints: f.Count, Members: func() []quarantine.Member { return members[quarantine.Member](w) }, IsFirstHost: w.Leads,
		Peers: quarantine.NewPeerClient(w.Conn), FreshStart: s.Gateway.First, Tables: tables, SharedNow: sharedClock(w), Logger: l,
	})
}

// members are the other hosts, as a package knows them.
func members[M quarantine.Member | ratelimit.Member](w *spread.Watcher) []M {
	var list []M
	for _, m := range w.Members() {
		list = append(list, M(m))
	}
	return list
}

// sharedClock is the store's as this host knows it.
func sharedClock(w *spread.Watcher) func() (time.Duration, bool) {
	return func() (time.Duration, bool) {
		bounds, known := w.Now()
		return (bounds.Earliest + bounds.Latest) / 2, known
	}
}

func newGateway(s settings.Settings, h *route.Holder, f *fleet.Fleet, p *conn.Pool, u *upgrade.Tracker, a *advice.Advisor,
	q *quarantine.Tracker, limits *ratelimit.Limiter, counter *usage.Counter, w *spread.Watcher, d *clock.Deadlines, t *telemetry.Telemetry, l *log.Logger,
) *gateway.Gateway {
	return gateway.New(gateway.Options{
		Holder: h, Fleet: f, Pool: p, Upgrades: u, Codec: platform.HeaderCodec{}, Advice: a, Quarantine: q, Limits: limits, Deadlines: d, Telemetry: t, Logger: l, Usage: counter, Hosts: w.Hosts,
		RetryRatio: retryPart * s.Gateway.RetryRatio,
	})
}

// retryPart of the ratio that all hosts may repeat is what this one keeps to:
// the window of those who count need not be this host's.
const retryPart = 0.92
