package gatewayd_test

import (
	"errors"
	"net"
	"sync"
)

// hostConns tracks a host's connections, and cuts them all off when the host is killed. Later
// connections of that host fail.
type hostConns struct {
	mu    sync.Mutex // guards the fields below
	ended bool
	conns []net.Conn
}

var errHostKilled = errors.New("the host was killed")

func (l *hostConns) track(c net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		_ = c.Close()
		return nil, errHostKilled
	}
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *hostConns) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	for _, c := range l.conns {
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
