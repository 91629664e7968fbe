// Package gatewayd wires and runs a host that serves routed requests on the users'
// platform.
//
// # Usage
//
//	app := fx.New(gatewayd.Module(settings, gatewayd.Ports{}))
//	app.Run()
//
// The host follows the operators' table and the endpoints table, serves callers
// through a gateway, and serves a readiness probe and a control API with its metrics
// at two further addresses. It keeps no durable state of its own: that is in the
// platform's store.
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
	"quaybarrow/internal/reach"
	"quaybarrow/internal/route"
	"quaybarrow/internal/settings"
	"quaybarrow/internal/share"
	"quaybarrow/internal/spread"
	"quaybarrow/internal/store"
	"quaybarrow/internal/telemetry"
	"quaybarrow/internal/tlsfiles"
	"quaybarrow/internal/upgrade"
	"quaybarrow/internal/usage"
	"quaybarrow/platform"
)

// memoryShare is the part of a host's memory that is set as the Go runtime's memory limit;
// the rest is for thread stacks, socket buffers and the program itself.
const memoryShare = 0.6

// Ports are the host's connections to its environment. Fields that are nil are built from the settings.
type Ports struct {
	Store  storeClient
	LogTo  io.Writer
	Dial   platform.Dialer
	Listen func(ctx context.Context, address string) (net.Listener, error)
	// Reload reads the settings again; nil if the settings never change.
	Reload func() (settings.Settings, error)
	// Hangup receives a signal when the settings have changed.
	Hangup <-chan os.Signal
}

// dialPeer returns the function that connects to endpoints and other hosts, or nil for the default dialer.
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
			newLines, newLogger, newTelemetry, newTLS, newStore, newWatcher, clock.NewDeadlines, clock.NewStalls, route.NewHolder, newFleet, newReach, newPool, newUpgradeTracker, newAdvisor, newLimits, newSharePolicy, newShares, newQuarantine, newIncarnation, newUsage, newDuties, newGateway, newHost,
		),
		fx.Invoke(heedNotices),
		fx.Invoke(func(lc fx.Lifecycle, h *Host) {
			lc.Append(fx.Hook{OnStart: h.Start, OnStop: h.Stop})
		}),
	)
}

// limitMemory sets the runtime's memory limit from the host's memory, and the initial GC percentage.
func limitMemory(megabytes int) {
	debug.SetMemoryLimit(int64(memoryShare * float64(megabytes) * (1 << 20)))
	debug.SetGCPercent(maxGCPercent)
}

func newLines(p Ports) *telemetry.LogWriter {
	if p.LogTo != nil {
		return telemetry.NewLogWriter(p.LogTo)
	}
	return telemetry.NewLogWriter(os.Stdout)
}

func newLogger(s settings.Settings, lines *telemetry.LogWriter) *log.Logger {
	logger := log.NewWithOptions(lines, log.Options{ReportTimestamp: true, Formatter: log.JSONFormatter, TimeFormat: time.RFC3339Nano})
	// The check of the settings has already refused invalid levels.
	if level, err := log.ParseLevel(s.Telemetry.LogLevel); err == nil {
		logger.SetLevel(level)
	}
	return logger.With("host", s.Host)
}

func newTelemetry() *telemetry.Telemetry { return telemetry.MetricsOnly() }

func newTLS(s settings.Settings) (*tlsfiles.Files, error) { return tlsfiles.Open(s.TLS) }

// storeClient is the interface of the client for the platform's store.
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
		Wait: time.Duration(waitFraction * float64(s.Gateway.MaxStoreLag())), Tables: c, Store: c, Logger: l,
		Credentials: files.ClientCredentials(), Dial: p.dialPeer(),
	})
	return w, w
}

// waitFraction is the length of one wait for changes at the store, as a fraction of the time within
// which a change has to be in force. A silent feed is abandoned a quarter of a second after the wait,
// which leaves time to ask four others, a fifth of a second each.
const waitFraction = 0.45

func newFleet(s settings.Settings, h *route.Holder, w *spread.Watcher) *fleet.Fleet {
	return fleet.New(fleet.Options{
		Hall: s.DataHall, Regions: s.Gateway.Halls, Choosers: w.Choosers,
		WarmUp: func(service string) fleet.WarmUp { return declaredWarmUp(s.Gateway, h.Table(), service) },
	})
}

// declaredWarmUp returns the warm-up that operators declare for cold endpoints of a service.
func declaredWarmUp(s settings.Gateway, t *route.Table, service string) fleet.WarmUp {
	if t == nil {
		return fleet.WarmUp{}
	}
	declared, ok := t.Service(service)
	if !ok {
		return fleet.WarmUp{}
	}
	return fleet.WarmUp{Duration: declared.ColdDuration, MaxRate: s.ColdRateLimit(declared.ColdRate)}
}

// relayedPerMB bounds how many connections a host relays for others, for each MB of its memory. A
// relayed connection takes some tens of KB.
const relayedPerMB = 4

func newReach(s settings.Settings, p Ports, w *spread.Watcher, f *fleet.Fleet, t *telemetry.Telemetry, l *log.Logger) *reach.Tracker {
	return reach.NewTracker(reach.Options{
		Dial: p.dialPeer(), Hall: s.DataHall, Helpers: func() []reach.Helper { return helpers(w) }, Connect: w.Conn,
		Endpoint: f.At, Takes: f.TakesAt, OnNotice: func(n reach.Notice) { noteRelayed(f, n) },
		MaxRelayed: relayedPerMB * s.Gateway.MemoryMB, Telemetry: t, Logger: l,
	})
}

// helpers returns the other hosts, as those that may relay connections.
func helpers(w *spread.Watcher) []reach.Helper {
	var list []reach.Helper
	for _, m := range w.LocatedMembers() {
		list = append(list, reach.Helper(m))
	}
	return list
}

func newPool(r *reach.Tracker, t *telemetry.Telemetry) *conn.Pool {
	return conn.NewPool(conn.Options{
		OnOpen: func(string) { t.Count("endpoint_connections", 1) }, Dial: r.Dial,
	})
}

func newUpgradeTracker(s settings.Settings, tables store.Tables, w *spread.Watcher, f *fleet.Fleet, l *log.Logger) *upgrade.Tracker {
	return upgrade.NewTracker(upgrade.Options{
		Host: s.Host, Tables: tables, Watch: w, Fleet: f, Logger: l, Status: platform.UpgradeStatusWrite, Hosts: w.Hosts,
		Exposure: s.Gateway.Exposure,
	})
}

func newAdvisor(s settings.Settings, w *spread.Watcher, f *fleet.Fleet, u *upgrade.Tracker, l *log.Logger) *advice.Advisor {
	a := advice.New(advice.Options{Hall: s.DataHall, Fleet: f, Allowed: u.Allowed, Focus: u.Focus, PrecedingHosts: w.PrecedingHosts, Leads: w.Leads, Conn: w.Conn, Logger: l})
	f.OnOutcome(a.AddOutcome)
	f.OnHead(a.ObserveHead)
	f.OnEjected(func(e fleet.Ejection) {
		l.Info("endpoint ejected", "endpoint", e.Endpoint, "service", e.Service, "source", e.Source, "outcome", e.Outcome, "for_ms", e.For.Milliseconds())
	})
	return a
}

func newLimits(s settings.Settings, w *spread.Watcher, f *fleet.Fleet, t *telemetry.Telemetry, l *log.Logger) *ratelimit.Limiter {
	peers := ratelimit.NewPeerClient(w.Conn)
	return ratelimit.NewLimiter(ratelimit.Options{
		Host: s.Host, Fleet: f, Peers: peers, Places: peers, Refuses: w.Refuses, Telemetry: t, Logger: l,
		MembersKnown: func() bool { return w.Choosers().Hosts > 0 },
		Members:      func() []ratelimit.Member { return members[ratelimit.Member](w) },
	})
}

func newQuarantine(s settings.Settings, tables store.Tables, w *spread.Watcher, p *conn.Pool, f *fleet.Fleet, l *log.Logger) *quarantine.Tracker {
	return quarantine.NewTracker(quarantine.Options{
		Host: s.Host, Probe: p.Probe, CountEndpoints: f.Count, Members: func() []quarantine.Member { return members[quarantine.Member](w) }, IsFirstHost: w.Leads,
		Peers: quarantine.NewPeerClient(w.Conn), FreshStart: s.Gateway.First, Tables: tables, SharedNow: storeClock(w), Logger: l,
	})
}

// members returns the other hosts, converted to the member type of a package.
func members[M quarantine.Member | ratelimit.Member | share.Member](w *spread.Watcher) []M {
	var list []M
	for _, m := range w.Members() {
		list = append(list, M(m))
	}
	return list
}

// storeClock returns a function that estimates the time of the store's clock.
func storeClock(w *spread.Watcher) func() (time.Duration, bool) {
	return func() (time.Duration, bool) {
		bounds, known := w.Now()
		return (bounds.Earliest + bounds.Latest) / 2, known
	}
}

func newGateway(s settings.Settings, sharing *sharePolicy, h *route.Holder, f *fleet.Fleet, p *conn.Pool, u *upgrade.Tracker, a *advice.Advisor,
	q *quarantine.Tracker, limits *ratelimit.Limiter, shares *share.Shares, relays *reach.Tracker, counter *usage.Counter, w *spread.Watcher, d *clock.Deadlines, stalls *clock.Stalls, t *telemetry.Telemetry, l *log.Logger,
) *gateway.Gateway {
	return gateway.New(gateway.Options{
		Holder: h, Fleet: f, Pool: p, Upgrades: u, Codec: platform.HeaderCodec{}, Advice: a, Quarantine: q, RateLimits: limits, Shares: shares, Relays: relays, Deadlines: d, Stalls: stalls, Telemetry: t, Logger: l, Usage: counter, HostCount: w.Hosts,
		SharesCapacity: sharing.enabled, RetryRatio: retryFraction * s.Gateway.RetryRatio,
	})
}

// retryFraction is the part of the configured retry ratio that this host uses. The margin is needed
// because the ratio may be measured over other time windows than this host's.
const retryFraction = 0.92
