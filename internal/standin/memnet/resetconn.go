package memnet

import (
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ResetConn is a connection whose peer answers while a request is written, and resets it. As a socket does,
// it tells the error once: a write returns it, and reads return the answer and then a plain end of file.
type ResetConn struct {
	takes  int // bytes of the request that are written before the reset
	answer *strings.Reader
	once   sync.Once
	reset  chan struct{}
}

var _ net.Conn = (*ResetConn)(nil)

// NewResetConn returns a connection that takes a number of bytes and has the given answer.
func NewResetConn(takes int, answer string) *ResetConn {
	return &ResetConn{takes: takes, answer: strings.NewReader(answer), reset: make(chan struct{})}
}

// Write implements net.Conn.
func (c *ResetConn) Write(p []byte) (int, error) {
	if len(p) <= c.takes {
		c.takes -= len(p)
		return len(p), nil
	}
	n := c.takes
	c.takes = 0
	c.once.Do(func() { close(c.reset) })
	return n, os.NewSyscallError("write", syscall.ECONNRESET)
}

// Read implements net.Conn. It waits for the reset.
func (c *ResetConn) Read(p []byte) (int, error) {
	<-c.reset
	n, err := c.answer.Read(p)
	if err != nil {
		return n, io.EOF
	}
	return n, nil
}

// Close implements net.Conn.
func (c *ResetConn) Close() error {
	c.once.Do(func() { close(c.reset) })
	return nil
}

// LocalAddr implements net.Conn.
func (c *ResetConn) LocalAddr() net.Addr { return address("10.0.0.9:1") }

// RemoteAddr implements net.Conn.
func (c *ResetConn) RemoteAddr() net.Addr { return address("10.0.0.9:2") }

// SetDeadline implements net.Conn; nothing waits for long.
func (c *ResetConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *ResetConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *ResetConn) SetWriteDeadline(time.Time) error { return nil }
