package gatewayd_test

import (
	"errors"
	"net"
	"sync"
)

// hostConns tracks a host's connections, and cuts them all off when the host is killed. Later
// connections of that host fail.
type hostConns struct {
	mu     sync.Mutex // guards the fields below
	closed bool
	conns  []net.Conn
}

var errHostKilled = errors.New("the host was killed")

func (h *hostConns) track(c net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		_ = c.Close()
		return nil, errHostKilled
	}
	h.conns = append(h.conns, c)
	return c, nil
}

func (h *hostConns) closeAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, c := range h.conns {
		_ = c.Close()
	}
}

// trackedListener accepts connections until the host is killed, and tracks them.
type trackedListener struct {
	net.Listener
	conns *hostConns
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	return l.conns.track(l.Listener.Accept())
}
