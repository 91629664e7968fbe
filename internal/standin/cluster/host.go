package cluster

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"go.uber.org/fx"

	"quaybarrow/internal/config"
	"quaybarrow/internal/daemon"
	"quaybarrow/internal/settings"
	"quaybarrow/internal/standin/table"
	"quaybarrow/internal/store"
)

// AddHost starts one more host and lists it.
func (c *Cluster) AddHost(ctx context.Context) (*Host, error) {
	i := len(c.Hosts)
	h := &Host{Name: fmt.Sprintf("entry-%d", i+1), Hall: Halls[i%len(Halls)]}
	c.Hosts = append(c.Hosts, h)
	return h, c.Start(ctx, h)
}

// Start starts a host that is not running, as a new process would: with nothing
// remembered, at new addresses.
func (c *Cluster) Start(ctx context.Context, h *Host) error {
	next := process{door: table.NewDoor(c.Store)}
	for _, address := range []*string{&next.callers, &next.operators, &next.peers} {
		l, text, err := c.listen()
		if err != nil {
			return err
		}
		*address = text
		c.mu.Lock()
		c.listeners[text] = l
		c.mu.Unlock()
	}
	ports := daemon.Ports{
		Tables: next.door, Hosts: next.door, Ratings: next.door, Logger: c.logger, Listen: c.opened,
	}
	if c.options.Memory {
		ports.Link, ports.ServePeer = c.Peers.Link(next.peers), c.Peers.Serve
		ports.Transport = c.Transport()
		ports.Dial = func(ctx context.Context, address string) (net.Conn, error) { return c.Net.Dial(ctx, "tcp", address) }
	}
	next.app = fx.New(daemon.Module(c.settingsOf(h, next), ports), fx.Populate(&next.daemon))
	if err := next.app.Start(ctx); err != nil {
		return fmt.Errorf("start %s: %w", h.Name, err)
	}
	h.set(next)
	c.list(h, store.HostLive)
	return nil
}

// list tells the platform of a host.
func (c *Cluster) list(h *Host, state store.HostState) {
	c.Store.SetHost(store.Host{
		ID: h.Name, Kind: store.HostEntry, DataHall: h.Hall, Region: region, Address: h.Peers(), State: state,
	})
}

// opened hands out a listener that was opened before.
func (c *Cluster) opened(address string) (net.Listener, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.listeners[address]
	delete(c.listeners, address)
	return l, nil
}

func (c *Cluster) settingsOf(h *Host, p process) settings.Settings {
	s := settings.Default()
	s.Host, s.DataHall, s.Region = h.Name, h.Hall, region
	s.Callers, s.Operators, s.Peers = p.callers, p.operators, p.peers
	s.Platform = "http://127.0.0.1:1" // replaced by the ports
	s.SessionKeys = []settings.SessionKey{{ID: "k1", Secret: sessionSecret}}
	s.Bootstrap.OperatorHash = config.HashKey(OperatorKey)
	s.Times = FastTimes()
	if c.options.Times != nil {
		s.Times = *c.options.Times
	}
	if c.options.Limits != nil {
		s.Limits = *c.options.Limits
	}
	return s
}

// Stop drains a host and takes it off the list.
func (c *Cluster) Stop(ctx context.Context, h *Host) error {
	c.list(h, store.HostLeaving)
	err := h.now().app.Stop(ctx)
	c.ended(h)
	c.Store.RemoveHost(h.Name)
	if err != nil {
		return fmt.Errorf("stop %s: %w", h.Name, err)
	}
	return nil
}

// Crash ends a host at once. From this moment nothing of it reaches the store
// or another host. It stays on the platform's list until Unlist.
func (c *Cluster) Crash(h *Host) {
	if h.Daemon() == nil {
		return
	}
	dying := c.sever(h)
	dying.Kill()
}

// CrashSoon is Crash for callers that are part of the host themselves: what it
// was doing goes on, but reaches nobody.
func (c *Cluster) CrashSoon(h *Host) {
	if h.Daemon() == nil {
		return
	}
	dying := c.sever(h)
	c.dying.Go(dying.Kill)
}

// sever cuts a host off from everyone.
func (c *Cluster) sever(h *Host) *daemon.Host {
	c.Isolate(h, true)
	h.Door().Freeze(false)
	if c.Net != nil {
		c.Net.Cut(h.Callers(), true)
	}
	dying := h.Daemon()
	c.ended(h)
	return dying
}

// ended notes that a host runs no more.
func (c *Cluster) ended(h *Host) {
	p := h.now()
	p.daemon = nil
	h.set(p)
}

// Unlist takes a host off the platform's list.
func (c *Cluster) Unlist(h *Host) { c.Store.RemoveHost(h.Name) }

// Isolate cuts a host off from the store and from all other hosts, or joins it
// again. Its callers and the endpoints stay reachable.
func (c *Cluster) Isolate(h *Host, on bool) {
	h.Door().Cut(on)
	if c.Peers == nil {
		return
	}
	for _, other := range c.Hosts {
		if other != h {
			c.Peers.SetPartitioned(h.Peers(), other.Peers(), on)
		}
	}
}

// Client returns an HTTP client of the cluster's network.
func (c *Cluster) Client() *http.Client { return &http.Client{Transport: c.Transport()} }
