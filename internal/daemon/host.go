package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/billing"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/config"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/endpoint"
	"quaybarrow/internal/entry"
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
	"quaybarrow/internal/settings"
	"quaybarrow/internal/telemetry"
	"quaybarrow/internal/tlsfiles"
	"quaybarrow/internal/traffic"
)

// Limits of the HTTP servers, the interval of connection sweeps and the bound of a shutdown.
const (
	headerTimeout     = 10 * time.Second
	connSweepInterval = 500 * time.Millisecond
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	stopTimeout       = 5 * time.Second
)

// parts are the components of a host.
type parts struct {
	fx.In
	Settings    settings.Settings
	Ports       Ports
	Logger      *log.Logger
	State       *State
	Config      *config.Holder
	Distributor *config.Distributor
	Membership  *membership.Membership
	Leases      *lease.Manager
	Watch       *endpoint.Watch
	Fleet       *fleet.Fleet
	Conns       *conn.Pool
	Quarantine  *quarantine.Tracker
	Admission   *admission.Controller
	Ledger      *billing.Ledger
	Guard       *once.Guard
	Keyrings    *keyrings
	Credits     *rollout.Credits
	Rollout     *rollout.Controller
	Estimates   *estimate.Aggregator
	Orders      *order.Reconciler
	Jobs        *job.Queue
	Worker      *job.Worker
	Pipeline    *pipeline.Pipeline
	Deadlines   *clock.Deadlines
	Commands    *operator.Commands
	Queries     *operator.Queries
	Traffic     *traffic.Log
	Telemetry   *telemetry.Telemetry
	Link        peer.Link
	TLS         *tlsfiles.Files
}

// Host is a running host of the router.
type Host struct {
	*parts

	callers   *http.Server
	operators *http.Server
	peers     *grpc.Server

	cancel     context.CancelFunc // cancels the background tasks
	background sync.WaitGroup     // background tasks
	jobs       sync.WaitGroup     // job workers
	serving    sync.WaitGroup     // servers
}

func newHost(p parts) *Host {
	h := &Host{parts: &p}
	if p.Ports.Listen == nil {
		h.Ports.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	api := entry.New(entry.Options{
		Pipeline: p.Pipeline, Config: p.Config, Jobs: p.Jobs, Telemetry: p.Telemetry, BodyBytes: p.Settings.Limits.BodyBytes,
	})
	h.callers = newServer(api.Handler())
	console := operator.New(operator.Options{
		Commands: p.Commands, Queries: p.Queries, Config: p.Config, Telemetry: p.Telemetry,
		Bootstrap: p.Settings.Bootstrap.OperatorHash, Ready: h.notReadyReason, Status: h.statusPage(),
	})
	h.operators = newServer(console.Handler())
	return h
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// notReadyReason returns why the host accepts no work, or "" if it does.
func (h *Host) notReadyReason() string {
	switch {
	case h.State.draining.Load():
		return "draining"
	case h.Config.Current() == nil:
		return "no configuration yet"
	default:
		return ""
	}
}

// Start starts the servers and the background tasks.
func (h *Host) Start(context.Context) error {
	if err := h.servePeers(); err != nil {
		return err
	}
	if err := h.serve(h.operators, h.Settings.Operators); err != nil {
		return err
	}
	if err := h.serve(h.callers, h.Settings.Callers); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	for _, work := range h.backgroundTasks() {
		h.background.Go(func() { work(ctx) })
	}
	h.jobs.Go(func() { h.Worker.Run(ctx) })
	h.Logger.Info("started", "callers", h.Settings.Callers, "operators", h.Settings.Operators, "peers", h.Settings.Peers)
	return nil
}

// backgroundTasks returns the functions that run in the background until the host stops.
func (h *Host) backgroundTasks() []func(context.Context) {
	return []func(context.Context){
		h.Membership.Run, h.Distributor.Run, h.Watch.Run, h.Ledger.Run, h.Guard.Run, h.Estimates.Run, h.Rollout.Run,
		func(ctx context.Context) { h.Leases.Run(ctx, estimate.LeaseName, h.Estimates.Sum) },
		func(ctx context.Context) { h.Leases.Run(ctx, sweepLease, h.sweep) },
		h.runHallOrders, h.housekeeping, h.sweepConns, h.Quarantine.Run,
		func(ctx context.Context) { telemetry.WatchSuspensions(ctx, h.Deadlines, h.Telemetry, h.Logger) },
	}
}

// sweepConns periodically closes connections to endpoints that exceed their idle time.
func (h *Host) sweepConns(ctx context.Context) {
	for clock.Sleep(ctx, connSweepInterval) {
		h.Conns.CloseExpired()
	}
}

func (h *Host) serve(server *http.Server, address string) error {
	listener, err := h.Ports.Listen(address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	h.serving.Go(func() { _ = server.Serve(listener) })
	return nil
}

func (h *Host) servePeers() error {
	handler := &peerHandler{host: h}
	if h.Ports.ServePeer != nil {
		h.Ports.ServePeer(h.Settings.Peers, handler)
		return nil
	}
	listener, err := h.Ports.Listen(h.Settings.Peers)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", h.Settings.Peers, err)
	}
	h.peers = rpc.NewServer(handler, h.TLS.ServerCredentials())
	h.serving.Go(func() { _ = h.peers.Serve(listener) })
	return nil
}

// Stop drains the host: it leaves the load balancer, accepts no new work, finishes the
// requests in flight, settles bills, releases leases and then closes the servers.
func (h *Host) Stop(ctx context.Context) error {
	h.Logger.Info("draining")
	h.State.draining.Store(true)
	h.Worker.Drain()
	h.Membership.PingAll(ctx)
	clock.Sleep(ctx, h.Settings.Times.Leave)
	drained := h.Admission.Drain()
	limit := time.NewTimer(h.Settings.Times.Drain)
	defer limit.Stop()
	select {
	case <-drained:
	case <-limit.C:
		h.Logger.Warn("requests are still in flight at the drain limit")
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	_ = h.callers.Shutdown(stopping)
	h.jobs.Wait()
	if err := h.Ledger.Drain(stopping); err != nil {
		h.Logger.Error("bills were left behind", "error", err)
	}
	if err := h.Guard.Flush(stopping); err != nil {
		h.Logger.Error("outcomes of calls were not written", "error", err)
	}
	h.Kill()
	h.Logger.Info("stopped")
	return h.Telemetry.Shutdown(stopping)
}

// Kill stops everything at once, as if the process died, except that leases are
// released.
func (h *Host) Kill() {
	h.cancel()
	h.background.Wait()
	h.Conns.Close()
	h.jobs.Wait()
	_ = h.callers.Close()
	_ = h.operators.Close()
	if h.peers != nil {
		h.peers.Stop()
	}
	if h.Ports.ServePeer != nil {
		h.Ports.ServePeer(h.Settings.Peers, nil)
	}
	if link, ok := h.Link.(*rpc.Link); ok {
		_ = link.Close()
	}
	h.serving.Wait()
}
