package gatewayd_test

import (
	"errors"
	"net"
	"sync"
)

// lifeline cuts a killed host off for good: what is left of it reaches nobody.
type lifeline struct {
	mu    sync.Mutex // guards all below
	ended bool
	conns []net.Conn
}

var errDead = errors.New("the host was killed")

func (l *lifeline) wrap(c net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		_ = c.Close()
		return nil, errDead
	}
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *lifeline) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// lifeListener takes connections as long as the host lives.
type lifeListener struct {
	net.Listener
	life *lifeline
}

// Accept implements net.Listener.
func (l lifeListener) Accept() (net.Conn, error) {
	return l.life.wrap(l.Listener.Accept())
}
