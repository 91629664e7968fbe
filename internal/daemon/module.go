// Package daemon wires and runs a host of the router.
//
// # Usage
//
//	app := fx.New(daemon.Module(settings, daemon.Ports{}))
//	app.Run()
//
// Module provides one constructor for each component. Ports replaces the connections
// to the environment, which lets tests and the demonstration run several hosts in
// one process. Host holds the running components and stops them in an order that cuts
// off no request.
package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/billing"
	"quaybarrow/internal/bound"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/config"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/dispatch"
	"quaybarrow/internal/endpoint"
	"quaybarrow/internal/estimate"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/job"
	"quaybarrow/internal/lease"
	"quaybarrow/internal/membership"
	"quaybarrow/internal/once"
	"quaybarrow/internal/operator"
	"quaybarrow/internal/order"
	"quaybarrow/internal/peer"
	"quaybarrow/internal/peer/rpc"
	"quaybarrow/internal/pipeline"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/rollout"
	"quaybarrow/internal/session"
	"quaybarrow/internal/settings"
	"quaybarrow/internal/store"
	"quaybarrow/internal/store/httpapi"
	"quaybarrow/internal/telemetry"
	"quaybarrow/internal/tlsfiles"
	"quaybarrow/internal/traffic"
)

// Sizes of a host's buffers and connection pools.
const (
	trafficRecords  = 10_000
	idlePerEndpoint = 16 // connections for load reports and orders
	outcomesWaiting = 10_000
)

// dialTimeout bounds connecting; it is ample between data halls.
const dialTimeout = 2 * time.Second

// Ports are the host's connections to its environment. Fields that are nil are built from the settings.
type Ports struct {
	Tables    store.Tables
	Hosts     store.Hosts
	Ratings   store.Ratings
	Link      peer.Link
	ServePeer func(address string, h peer.Handler) // replaces the gRPC server
	Transport http.RoundTripper                    // for load reports of engines and orders to them
	Dial      func(ctx context.Context, address string) (net.Conn, error)
	Listen    func(address string) (net.Listener, error)
	Logger    *log.Logger
}

// identity identifies this start of the process.
type identity struct {
	host        string
	incarnation string
}

// Module wires a host.
func Module(s settings.Settings, ports Ports) fx.Option {
	return fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s, ports, identity{host: s.Host, incarnation: uuid.NewString()}),
		fx.Provide(
			newLogger, newPlatform, newTelemetry, newTLS, newLink, newTransport, newConns,
			config.NewHolder, config.NewLog, newKeyrings, newState, newMembership, newDistributor,
			newWatch, clock.NewDeadlines, newQuarantine, newDispatcher, newAdmission, newLeases, newLedger, newGuard,
			session.NewNamedSessions, job.NewQueue, newCredits, newTraffic, estimate.NewAggregator,
			newPipeline, newWorker, operator.NewCommands, newQueries, newRollout, newOrders, newHost,
		),
		fx.Invoke(func(lc fx.Lifecycle, h *Host) {
			lc.Append(fx.Hook{OnStart: h.Start, OnStop: h.Stop})
		}),
	)
}

func newLogger(s settings.Settings, p Ports) *log.Logger {
	if p.Logger != nil {
		return p.Logger.With("host", s.Host)
	}
	logger := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, Formatter: log.JSONFormatter, TimeFormat: time.RFC3339Nano})
	if level, err := log.ParseLevel(s.Telemetry.LogLevel); err == nil {
		logger.SetLevel(level)
	}
	return logger.With("host", s.Host)
}

// platformPorts are the clients of the platform.
type platformPorts struct {
	fx.Out
	Tables  store.Tables
	Hosts   store.Hosts
	Ratings store.Ratings
}

func newPlatform(s settings.Settings, p Ports) platformPorts {
	if p.Tables != nil {
		return platformPorts{Tables: p.Tables, Hosts: p.Hosts, Ratings: p.Ratings}
	}
	client := httpapi.NewClient(s.Platform, conn.CheckedTransport{Base: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: bound.HeadBytes}})
	return platformPorts{Tables: client, Hosts: client, Ratings: client}
}

func newTelemetry(s settings.Settings) (*telemetry.Telemetry, error) {
	return telemetry.New(context.Background(), telemetry.Options{
		Host: s.Host, OTLP: s.Telemetry.OTLP, Traces: s.Telemetry.Traces,
	})
}

func newTLS(s settings.Settings) (*tlsfiles.Files, error) { return tlsfiles.Open(s.TLS) }

func newLink(p Ports, files *tlsfiles.Files) peer.Link {
	if p.Link != nil {
		return p.Link
	}
	return rpc.NewLink(files.ClientCredentials())
}

// newTransport returns the HTTP transport for load reports and orders.
func newTransport(p Ports) http.RoundTripper {
	if p.Transport != nil {
		return p.Transport
	}
	return conn.CheckedTransport{Base: &http.Transport{
		MaxIdleConnsPerHost: idlePerEndpoint, IdleConnTimeout: time.Minute, DisableCompression: true,
		MaxResponseHeaderBytes: bound.HeadBytes,
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}}
}

// newConns returns the pool of connections on which requests are sent to endpoints.
func newConns(p Ports) *conn.Pool { return conn.NewPool(conn.Options{Dial: p.Dial}) }

func newCredits(s settings.Settings, h *config.Holder, tables store.Tables) *rollout.Credits {
	return rollout.NewCredits(h, tables, s.Host)
}

func newTraffic() *traffic.Log { return traffic.NewLog(trafficRecords) }

func newMembership(s settings.Settings, hosts store.Hosts, link peer.Link, state *State) *membership.Membership {
	return membership.New(membership.Options{
		Hosts: hosts, Link: link, Self: state.Status, Observe: state.observe,
		PingPeriod: s.Times.Ping, ListPeriod: s.Times.HostList,
	})
}

func newDistributor(s settings.Settings, l *config.Log, h *config.Holder, link peer.Link, m *membership.Membership, state *State) *config.Distributor {
	distributor := config.NewDistributor(config.DistributorOptions{
		Log: l, Holder: h, Link: link, View: m.View, Poll: s.Times.Poll, Backstop: s.Times.Backstop,
	})
	state.distributor.Store(distributor)
	return distributor
}

func newWatch(s settings.Settings, m *membership.Membership, t http.RoundTripper, l *log.Logger) (*endpoint.Watch, *fleet.Fleet) {
	w := endpoint.NewWatch(endpoint.Options{
		Host: s.Host, Hall: s.DataHall, Period: s.Times.Load, List: m.Listed, Fetch: endpoint.HTTPFetcher(t),
		CountHosts: func() int { return len(m.View().Members) },
	})
	w.Fleet().OnNotice(func(n fleet.Notice) { n.Log(l) })
	return w, w.Fleet()
}

func newQuarantine(s settings.Settings, f *fleet.Fleet, conns *conn.Pool, m *membership.Membership, link peer.Link, tables store.Tables, l *log.Logger) *quarantine.Tracker {
	return quarantine.NewTracker(quarantine.Options{
		Host: s.Host, Probe: conns.Probe, CountEndpoints: f.Count, Members: func() []quarantine.Member { return otherMembers(m.View()) },
		Peers: link, IsFirstHost: func() bool { return isFirstHost(m.View()) }, Tables: tables, Logger: l,
	})
}

// quarantineRankKey is the key by which hosts are ranked for the storage of crash records.
const quarantineRankKey = "crashes"

// otherMembers returns the other live hosts in rank order, starting after this host and wrapping around.
func otherMembers(v membership.View) []quarantine.Member {
	ranked := membership.Rank(v.Live(), quarantineRankKey)
	self := slices.IndexFunc(ranked, func(m membership.Member) bool { return m.Host == v.Self })
	var members []quarantine.Member
	for _, m := range slices.Concat(ranked[self+1:], ranked[:max(self, 0)]) {
		members = append(members, quarantine.Member{Name: m.Host, Address: m.Address})
	}
	return members
}

// isFirstHost reports whether this host ranks first among the live hosts.
func isFirstHost(v membership.View) bool {
	ranked := membership.Rank(v.Live(), quarantineRankKey)
	return len(ranked) > 0 && ranked[0].Host == v.Self
}

func newDispatcher(s settings.Settings, f *fleet.Fleet, conns *conn.Pool, q *quarantine.Tracker, tel *telemetry.Telemetry, l *log.Logger) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Options{Fleet: f, Conns: conns, FirstTokenTimeout: s.Times.FirstToken, Telemetry: tel, Quarantine: q, Logger: l})
}

// modelReady returns a function that reports whether an endpoint serves a version and accepts new work.
func modelReady(f *fleet.Fleet) func(declare.Ref) bool {
	return func(ref declare.Ref) bool { return f.HasModel(endpoint.EngineService, ref.String()) }
}

func newAdmission(s settings.Settings) *admission.Controller {
	return admission.NewController(admission.Options{Limit: s.Limits.Requests, Queue: s.Limits.Queue})
}

func newLeases(s settings.Settings, id identity, tables store.Tables, m *membership.Membership) *lease.Manager {
	return lease.NewManager(lease.Options{
		Tables: tables, Host: id.host, Incarnation: id.incarnation, Length: s.Times.Lease,
		AssignedHost: func(duty string) string { return m.View().Owner(duty) },
	})
}

func newLedger(s settings.Settings, id identity, tables store.Tables, link peer.Link, m *membership.Membership) *billing.Ledger {
	return billing.New(billing.Options{
		Tables: tables, Link: link, View: m.View, Host: id.host, Incarnation: id.incarnation, Address: s.Peers,
		Limit: s.Limits.OpenBills, Settle: s.Times.Settle, Keepalive: s.Times.Ping,
	})
}

func newGuard(id identity, tables store.Tables, ledger *billing.Ledger) *once.Guard {
	return once.NewGuard(once.Options{
		Tables: tables, Host: id.host, Incarnation: id.incarnation, MayBeRunning: ledger.MayBeRunning, Limit: outcomesWaiting,
	})
}

func newPipeline(s settings.Settings, h *config.Holder, a *admission.Controller, k *keyrings, n *session.NamedSessions, f *fleet.Fleet,
	d *dispatch.Dispatcher, q *quarantine.Tracker, l *billing.Ledger, g *once.Guard, c *rollout.Credits, e *estimate.Aggregator,
	tel *telemetry.Telemetry, tr *traffic.Log, deadlines *clock.Deadlines,
) *pipeline.Pipeline {
	return pipeline.New(pipeline.Options{
		Host: s.Host, Config: h, Admission: a, Keyring: k.current, Names: n, Ready: modelReady(f), Dispatcher: d, Quarantine: q, Ledger: l,
		Guard: g, Credits: c, Estimates: e.Current, Telemetry: tel, Traffic: tr, Deadlines: deadlines,
		StaleAfter: s.Times.Stale, Proven: s.Times.Proven, MaxTimeout: s.Times.Request,
	})
}

func newWorker(s settings.Settings, q *job.Queue, m *membership.Membership, p *pipeline.Pipeline) *job.Worker {
	hosts := func() int { return len(m.View().Members) }
	return job.NewWorker(q, s.Host, s.Limits.Jobs, hosts, jobRunner(p))
}

func newQueries(h *config.Holder, l *config.Log, tables store.Tables, m *membership.Membership, link peer.Link,
	f *fleet.Fleet, tr *traffic.Log, tel *telemetry.Telemetry, c *rollout.Credits, tracker *quarantine.Tracker,
) *operator.Queries {
	return operator.NewQueries(operator.QueryOptions{
		Config: h, Log: l, Tables: tables, View: m.View, Link: link, Fleet: f, Traffic: tr, Telemetry: tel, Credits: c, Quarantine: tracker,
	})
}

func newRollout(tables store.Tables, ratings store.Ratings, h *config.Holder, leases *lease.Manager, link peer.Link,
	m *membership.Membership, commands *operator.Commands, credits *rollout.Credits, f *fleet.Fleet,
) *rollout.Controller {
	return rollout.NewController(rollout.Options{
		Tables: tables, Ratings: ratings, Config: h, Leases: leases, Link: link, View: m.View,
		Move: commands.MoveForPlan, GrantSelf: credits.Grant, Ready: modelReady(f),
	})
}

func newOrders(h *config.Holder, m *membership.Membership, t http.RoundTripper) *order.Reconciler {
	return order.New(order.Options{
		Config: h, List: m.Listed, Fetch: endpoint.HTTPFetcher(t), Transport: t,
	})
}
