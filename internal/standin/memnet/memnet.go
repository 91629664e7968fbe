// Package memnet is a network in memory, for tests under testing/synctest and
// for whole clusters in one process: listeners by address, and dials that can
// be cut.
//
// # Usage
//
//	n := memnet.New()
//	go server.Serve(n.Listen("10.0.0.1:80"))
//	client := &http.Client{Transport: n.Transport("caller")}
//	n.Cut("10.0.0.1:80", true)
package memnet

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
)

// errRefused means that nothing listens at an address, or that it is cut off.
var errRefused = os.NewSyscallError("connect", syscall.ECONNREFUSED)

// Network joins listeners and dialers.
type Network struct {
	mu        sync.Mutex // guards all below
	listeners map[string]*listener
	cuts      map[string]bool
	dark      map[string]bool // these say nothing to dials
	conns     map[string][]*conn
}

// New returns an empty network.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{},
		cuts:      map[string]bool{},
		dark:      map[string]bool{},
		conns:     map[string][]*conn{},
	}
}

// Listen opens a listener at an address.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{address: address, network: n, accept: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Cut closes an address to dials and breaks its connections, or opens it again.
func (n *Network) Cut(address string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[address] = on
	if !on {
		return
	}
	for _, c := range n.conns[address] {
		_ = c.Close()
	}
	n.conns[address] = nil
}

// Darken makes dials to an address hang, as to a host without power, or ends that.
func (n *Network) Darken(address string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dark[address] = on
}

// Silence has the open connections to an address say nothing any more, without an error;
// new ones work.
func (n *Network) Silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		c.silent.Store(true)
	}
}

// conn is the dialer's end of a connection.
type conn struct {
	net.Conn
	silent atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Dial connects to an address.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	return n.DialFrom(ctx, "", address)
}

// DialFrom connects to an address. The listener sees the connection come from a host, unless that is
// empty.
func (n *Network) DialFrom(ctx context.Context, host, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	cut, dark := n.cuts[address], n.dark[address]
	n.mu.Unlock()
	if dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil || cut {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: errRefused}
	}
	inner, server := net.Pipe()
	client := &conn{Conn: inner}
	if host != "" {
		server = &namedConn{Conn: server, from: host}
	}
	select {
	case l.accept <- server:
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: errRefused}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.conns[address] = append(n.conns[address], client)
	n.mu.Unlock()
	return client, nil
}

// namedConn is the listener's end of a connection from a host.
type namedConn struct {
	net.Conn
	from string
}

// RemoteAddr implements net.Conn.
func (c *namedConn) RemoteAddr() net.Addr { return address(c.from) }

// Transport returns an HTTP transport over the network.
func (n *Network) Transport() *http.Transport {
	return &http.Transport{DialContext: n.Dial}
}

// listener implements net.Listener.
type listener struct {
	address string
	network *Network
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address implements net.Addr.
type address string

// Network implements net.Addr.
func (a address) Network() string { return "mem" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
