// Package cluster runs whole hosts of the router among stand-ins, in one
// process: for the demonstration and the measurements over real sockets, and
// for failure tests over a network in memory under testing/synctest.
//
// # Usage
//
//	c, err := cluster.New(cluster.Options{Hosts: 3, Engines: 6, Declarations: d})
//	defer c.Close()
//	h := c.Hosts[0]
//	client := c.Operator(h)
//
// The hosts are the daemon's own components; only the ways to the outside are
// replaced.
package cluster

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"quaybarrow/internal/config"
	"quaybarrow/internal/daemon"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/operator/client"
	"quaybarrow/internal/peer"
	"quaybarrow/internal/settings"
	"quaybarrow/internal/standin/engine"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/internal/standin/service"
	"quaybarrow/internal/standin/table"
	"quaybarrow/internal/store"
)

// OperatorKey is the key of the bootstrap operator.
const OperatorKey = "operator-of-the-stand-in-cluster"

// sessionSecret signs the cluster's session tokens.
const sessionSecret = "a-secret-of-the-stand-in-cluster-only"

// Halls are the names of the data halls that hosts and endpoints stand in.
var Halls = []string{"ulemiste", "kadriorg", "mustamae"}

// region of the halls.
const region = "tallinn"

// Options describe a cluster.
type Options struct {
	Memory       bool // network in memory, and no gRPC between hosts
	Hosts        int
	Engines      int
	Engine       engine.Options // of each engine; ID and OnFinish are set
	Profiles     map[declare.Ref]engine.Profile
	Crashing     bool     // engines crash under prompts with that word, and are back after CrashedFor
	Services     []string // plain services, one endpoint each
	ServiceDelay time.Duration
	Store        table.Options
	Times        *settings.Times // nil means fast ones
	Limits       *settings.Limits
	Declarations declare.Declarations
	// Rate makes a rating of a finished run; nil rates nothing.
	Rate func(c *Cluster, run engine.Run)
	Log  io.Writer // nil logs nothing
}

// FastTimes are the times of a cluster that is to show things soon.
func FastTimes() settings.Times {
	t := settings.Default().Times
	t.Poll, t.Backstop, t.Ping = 250*time.Millisecond, 2*time.Second, 250*time.Millisecond
	t.Lease, t.Settle, t.Leave = 3*time.Second, 250*time.Millisecond, 500*time.Millisecond
	t.HostList, t.Load, t.Proven = 250*time.Millisecond, 250*time.Millisecond, time.Second
	t.Drain, t.Request, t.FirstToken = 20*time.Second, 20*time.Second, 5*time.Second
	return t
}

// Cluster is a running cluster.
type Cluster struct {
	Store    *table.Store
	Engines  []*engine.Engine
	Services map[string]*service.Service
	Hosts    []*Host
	Peers    *peer.LocalNetwork // in memory only
	Net      *memnet.Network

	options Options
	logger  *log.Logger
	servers []*http.Server
	serving sync.WaitGroup
	dying   sync.WaitGroup // hosts that CrashSoon ends
	kept    []*http.Transport

	addresses []string // of the engines

	mu        sync.Mutex // guards listeners, next and kept
	listeners map[string]net.Listener
	next      int
}

// Host is one host of the cluster.
type Host struct {
	Name string
	Hall string

	mu  sync.Mutex // guards run
	run process
}

// process is one start of a host.
type process struct {
	callers   string // ip:port
	operators string
	peers     string
	door      *table.Door
	daemon    *daemon.Host // nil when it does not run
	app       *fx.App
}

// now returns the present process.
func (h *Host) now() process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.run
}

// set replaces the present process.
func (h *Host) set(p process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.run = p
}

// Callers returns the address for callers, ip:port.
func (h *Host) Callers() string { return h.now().callers }

// Operators returns the address for operators, ip:port.
func (h *Host) Operators() string { return h.now().operators }

// Peers returns the address for other hosts, ip:port.
func (h *Host) Peers() string { return h.now().peers }

// Door returns the host's way to the store.
func (h *Host) Door() *table.Door { return h.now().door }

// Daemon returns the running daemon, or nil.
func (h *Host) Daemon() *daemon.Host { return h.now().daemon }

// New starts the stand-ins and the hosts and has the declarations accepted.
func New(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{
		Store: table.New(options.Store), Services: map[string]*service.Service{}, options: options,
		listeners: map[string]net.Listener{}, logger: log.NewWithOptions(io.Discard, log.Options{}),
	}
	if options.Memory {
		c.Net, c.Peers = memnet.New(), peer.NewLocalNetwork()
	}
	if options.Log != nil {
		c.logger = log.NewWithOptions(options.Log, log.Options{ReportTimestamp: true, TimeFormat: "15:04:05.000"})
	}
	for i := range options.Engines {
		if err := c.startEngine(i); err != nil {
			return nil, err
		}
	}
	for i, name := range options.Services {
		if err := c.startService(i, name); err != nil {
			return nil, err
		}
	}
	revision, err := config.NewLog(c.Store).Accept(ctx, 0, config.Change{
		CommandID: "first", Operator: "cluster", Command: "apply", Declarations: options.Declarations,
	})
	if err != nil {
		return nil, fmt.Errorf("accept declarations: %w", err)
	}
	for range options.Hosts {
		if _, err := c.AddHost(ctx); err != nil {
			return nil, err
		}
	}
	return c, c.awaitRevision(ctx, revision.Number)
}

// Declared returns the declarations with the bootstrap operator added.
func Declared(d declare.Declarations) declare.Declarations {
	d.Operators = append(d.Operators, declare.Operator{
		Name: "demo", Hash: config.HashKey(OperatorKey), Role: declare.RoleEditor,
	})
	return d
}

// awaitRevision waits until every host has a revision and knows its endpoints.
func (c *Cluster) awaitRevision(ctx context.Context, number int64) error {
	for _, h := range c.Hosts {
		for h.Daemon().Config.Number() < number || !c.knowsEngines(h) {
			if err := ctx.Err(); err != nil {
				return fmt.Errorf("wait for %s: %w", h.Name, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// knowsEngines reports whether a host has a report of every engine.
func (c *Cluster) knowsEngines(h *Host) bool {
	known := 0
	for _, e := range h.Daemon().Fleet.View() {
		if e.Models != nil {
			known++
		}
	}
	others := len(h.Daemon().Membership.View().Members)
	return known >= c.options.Engines && others >= len(c.Hosts)
}

// listen opens a listener and returns it with its address.
func (c *Cluster) listen() (net.Listener, string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	if c.options.Memory {
		address := fmt.Sprintf("10.0.%d.%d:7000", c.next/200, c.next%200+1)
		return c.Net.Listen(address), address, nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("listen: %w", err)
	}
	return l, l.Addr().String(), nil
}

func (c *Cluster) serve(h http.Handler) (string, error) {
	l, address, err := c.listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ErrorLog: nil}
	c.servers = append(c.servers, server)
	c.serving.Go(func() { _ = server.Serve(l) })
	return address, nil
}

// engineName names an engine by its place.
func engineName(i int) string { return fmt.Sprintf("engine-%d", i+1) }

func (c *Cluster) startEngine(i int) error {
	o := c.options.Engine
	o.ID, o.Versions = engineName(i), c.options.Profiles
	if c.options.Crashing {
		o.OnCrash = func() { c.crashEngine(i) }
	}
	if c.options.Rate != nil {
		o.OnFinish = func(r engine.Run) { c.options.Rate(c, r) }
	}
	e := engine.New(o)
	address, err := c.serve(e.Handler())
	if err != nil {
		return err
	}
	c.Engines = append(c.Engines, e)
	c.addresses = append(c.addresses, address)
	c.Store.SetHost(store.Host{
		ID: o.ID, Kind: store.HostEngine, DataHall: Halls[i%len(Halls)], Region: region,
		Address: address, State: store.HostLive,
	})
	return nil
}

func (c *Cluster) startService(i int, name string) error {
	s := service.New(name, c.options.ServiceDelay)
	address, err := c.serve(s.Handler())
	if err != nil {
		return err
	}
	c.Services[name] = s
	c.Store.SetHost(store.Host{
		ID: name + "-1", Kind: store.HostService, Service: name, DataHall: Halls[i%len(Halls)], Region: region,
		Address: address, State: store.HostLive,
	})
	return nil
}

// CutEngine breaks an engine's connections and refuses new ones, as its death
// does, or lets them through again. In memory only.
func (c *Cluster) CutEngine(i int, on bool) { c.Net.Cut(c.addresses[i], on) }

// CrashedFor is how long an engine is away after a crash.
const CrashedFor = 3 * time.Second

// crashEngine has an engine away for a while.
func (c *Cluster) crashEngine(i int) {
	c.CutEngine(i, true)
	c.dying.Go(func() {
		time.Sleep(CrashedFor)
		c.CutEngine(i, false)
	})
}

// EngineAddress returns where an engine listens.
func (c *Cluster) EngineAddress(i int) string { return c.addresses[i] }

// Leave lists an engine as leaving.
func (c *Cluster) Leave(i int) {
	c.Store.SetHost(store.Host{
		ID: engineName(i), Kind: store.HostEngine, DataHall: Halls[i%len(Halls)], Region: region,
		Address: c.addresses[i], State: store.HostLeaving,
	})
}

// Transport returns an HTTP transport of the cluster's network.
func (c *Cluster) Transport() *http.Transport {
	t := &http.Transport{MaxIdleConnsPerHost: 2048}
	if c.options.Memory {
		t = c.Net.Transport()
		t.MaxIdleConnsPerHost = 2048
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = append(c.kept, t)
	return t
}

// Operator returns a client of a host's operators' API.
func (c *Cluster) Operator(h *Host) *client.Client {
	return client.New("http://"+h.Operators(), OperatorKey, c.Transport())
}

// Close stops everything at once.
func (c *Cluster) Close() {
	for _, h := range c.Hosts {
		c.Crash(h)
	}
	c.dying.Wait()
	for _, s := range c.servers {
		_ = s.Close()
	}
	for _, t := range c.kept {
		t.CloseIdleConnections()
	}
	c.serving.Wait()
}
