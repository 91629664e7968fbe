package reach_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"quaybarrow/internal/reach"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/telemetry"
)

// endpointAddress is the address of the only endpoint.
const endpointAddress = "10.1.0.1:80"

// host is a host with its tracker.
type host struct {
	*reach.Tracker
	address string
	server  *grpc.Server
	link    *memnet.Link

	unwanted atomic.Bool                      // the endpoint wants nothing from the host
	next     atomic.Pointer[memnet.ResetConn] // its next connection to the endpoint; nil for a usual one

	mu    sync.Mutex // guards the fields below
	conns map[string]*grpc.ClientConn
	told  []reach.Notice
}

// set changes the state of the host's link to the endpoint.
func (h *host) set(s memnet.LinkState) {
	h.link.Set(s, func(address string) bool { return address == endpointAddress })
}

// rig is a number of hosts and an endpoint that echoes what it receives.
type rig struct {
	net      *memnet.Network
	hosts    []*host
	listener net.Listener
	ended    chan time.Time // receives the times at which connections to the endpoint ended
	maxRelay int
}

// withHosts runs body with hosts under a paused clock.
func withHosts(n int, body func(r *rig)) { withBusyHosts(n, 10, body) }

func withBusyHosts(n, maxRelay int, body func(r *rig)) {
	suite.Paused(func() {
		r := &rig{net: memnet.New(), ended: make(chan time.Time, 100), maxRelay: maxRelay}
		r.startEndpoint()
		for i := range n {
			r.hosts = append(r.hosts, r.newHost(fmt.Sprintf("10.0.0.%d:83", i+1)))
		}
		body(r)
		time.Sleep(2 * time.Second) // checks in the background end
		for _, h := range r.hosts {
			for _, c := range h.conns {
				_ = c.Close()
			}
			h.server.Stop()
		}
		r.stopEndpoint()
		time.Sleep(time.Minute)
	})
}

func (r *rig) newHost(address string) *host {
	h := &host{address: address, server: grpc.NewServer(), link: &memnet.Link{Network: r.net}, conns: map[string]*grpc.ClientConn{}}
	h.Tracker = reach.NewTracker(reach.Options{
		Hall: "ikeja", MaxRelayed: r.maxRelay, Telemetry: telemetry.MetricsOnly(), Logger: log.New(io.Discard),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if c := h.next.Swap(nil); c != nil {
				return c, nil
			}
			return h.link.Dial(ctx, "tcp", address)
		},
		Endpoint: func(address string) (service, hall string) {
			if address == endpointAddress {
				return "plain", "ikeja"
			}
			return "", ""
		},
		Helpers: func() []reach.Helper {
			var list []reach.Helper
			for _, o := range r.hosts {
				if o != h {
					list = append(list, reach.Helper{Address: o.address, Hall: "ikeja"})
				}
			}
			return list
		},
		Takes: func(string) bool { return !h.unwanted.Load() },
		OnNotice: func(told reach.Notice) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.told = append(h.told, told)
		},
		Connect: func(address string) (grpc.ClientConnInterface, error) { return h.conn(r.net, address), nil },
	})
	reach.Register(h.server, h.Tracker)
	l := r.net.Listen(address)
	go func() { _ = h.server.Serve(l) }()
	return h
}

func (h *host) conn(n *memnet.Network, address string) *grpc.ClientConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conns[address] == nil {
		c, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) { return n.Dial(ctx, "tcp", address) }))
		Expect(err).NotTo(HaveOccurred())
		h.conns[address] = c
	}
	return h.conns[address]
}

// startEndpoint makes the endpoint accept connections and echo what it receives.
func (r *rig) startEndpoint() {
	l := r.net.Listen(endpointAddress)
	r.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
				r.ended <- time.Now()
			}()
		}
	}()
}

// stopEndpoint makes the endpoint refuse connections and ends the open ones.
func (r *rig) stopEndpoint() {
	_ = r.listener.Close()
	r.net.Cut(endpointAddress, true)
	r.net.Cut(endpointAddress, false)
}

// echo sends a text and returns what comes back.
func echo(c net.Conn, text string) (string, error) {
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(c, buffer)
	return string(buffer), err
}

// lineOf returns the connection as one whose way is watched.
func lineOf(c net.Conn) *reach.Conn { return c.(*reach.Conn) }
