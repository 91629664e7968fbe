package memnet

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// LinkState is the state of a Link.
type LinkState int

// States of a Link.
const (
	LinkUp      LinkState = iota
	LinkSilent            // dials hang, and nothing passes on open connections
	LinkReset             // dials are refused, and open connections are reset
	LinkRefuses           // dials are refused, and open connections live on
	LinkOneWay            // dials hang, and nothing arrives on open connections
)

// connectTimeout is how long a dial takes that nobody answers.
const connectTimeout = 1500 * time.Millisecond

// Link is one dialer's link to the network, which can be cut while others reach the same addresses.
// Data that is lost during a cut does not arrive later. The zero value with a Network is up.
type Link struct {
	Network *Network
	Host    string // that dials, as listeners see it; empty for none

	mu    sync.Mutex // guards the fields below
	state LinkState
	cuts  func(address string) bool // reports whether the state concerns an address
	conns []*linkConn
}

// Set changes the state of the link to the addresses that cuts selects, and with it that of the open
// connections there.
func (l *Link) Set(s LinkState, cuts func(address string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state, l.cuts = s, cuts
	for _, c := range l.conns {
		if !cuts(c.address) {
			continue
		}
		switch s {
		case LinkSilent:
			c.lostOut.Store(true)
			c.lostIn.Store(true)
		case LinkOneWay:
			c.lostIn.Store(true)
		case LinkReset:
			c.reset.Store(true)
			_ = c.Close()
		case LinkUp, LinkRefuses:
		}
	}
}

// stateFor returns the state of the link to an address.
func (l *Link) stateFor(address string) LinkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts == nil || !l.cuts(address) {
		return LinkUp
	}
	return l.state
}

// Dial connects to an address over the link.
func (l *Link) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	switch l.stateFor(address) {
	case LinkSilent, LinkOneWay:
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: os.ErrDeadlineExceeded}
	case LinkReset, LinkRefuses:
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: errRefused}
	case LinkUp:
	}
	c, err := l.Network.DialFrom(ctx, l.Host, address)
	if err != nil {
		return nil, err
	}
	over := &linkConn{Conn: c, address: address}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, over)
	return over, nil
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
