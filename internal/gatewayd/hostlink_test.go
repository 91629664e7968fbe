package gatewayd_test

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// linkState is the state of a host's links to endpoints.
type linkState int32

const (
	linkUp      linkState = iota
	linkSilent            // dials hang, and nothing passes on open connections
	linkReset             // dials are refused, and open connections are reset
	linkRefuses           // dials are refused, and open connections live on
	linkOneWay            // dials hang, and no data from endpoints arrives on open connections
)

// hostLink is a host's link to endpoints, which can be cut. Data that is lost during a cut does not
// arrive later.
type hostLink struct {
	mu    sync.Mutex // guards the fields below
	state linkState
	cuts  func(address string) bool // reports whether the state concerns an address
	conns []*linkConn
}

// dialer returns a dialer that connects through the link.
func (l *hostLink) dialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		switch l.stateFor(address) {
		case linkSilent, linkOneWay:
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: "mem", Err: os.ErrDeadlineExceeded}
		case linkReset, linkRefuses:
			return nil, &net.OpError{Op: "dial", Net: "mem", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		}
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		inLink := &linkConn{Conn: c, address: address}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns = append(l.conns, inLink)
		return inLink, nil
	}
}

// connectTimeout is how long a dial takes that nobody answers.
const connectTimeout = 1500 * time.Millisecond

// stateFor returns the state of the link to an address.
func (l *hostLink) stateFor(address string) linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts == nil || !l.cuts(address) {
		return linkUp
	}
	return l.state
}

// set changes the state of the link to the addresses that cuts selects, and with it that of the open
// connections there.
func (l *hostLink) set(s linkState, cuts func(address string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state, l.cuts = s, cuts
	for _, c := range l.conns {
		if !cuts(c.address) {
			continue
		}
		switch s {
		case linkSilent:
			c.lostOut.Store(true)
			c.lostIn.Store(true)
		case linkOneWay:
			c.lostIn.Store(true)
		case linkReset:
			c.reset.Store(true)
			_ = c.Close()
		case linkUp, linkRefuses:
		}
	}
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	address                string
	lostIn, lostOut, reset atomic.Bool
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		switch {
		case c.reset.Load():
			return 0, &net.OpError{Op: "read", Net: "mem", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
		case err != nil || !c.lostIn.Load():
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *linkConn) Write(b []byte) (int, error) {
	switch {
	case c.reset.Load():
		return 0, &net.OpError{Op: "write", Net: "mem", Err: os.NewSyscallError("write", syscall.EPIPE)}
	case c.lostOut.Load():
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}
