// Package conn keeps the connections of a host to endpoints.
//
// # Usage
//
//	pool := conn.NewPool(conn.Options{})
//	c, err := pool.Get(ctx, "10.0.0.7:8080", limit)
//	answer, err := c.Send(request, accept)
//	...read answer.Body to its end...
//	c.Release(true)
//
// The standard library's client re-sends requests on its own and hides which
// connection broke. Here each request is written once, on a connection that the
// caller holds, so it is known what an endpoint may have seen: ErrNotSent means
// that not a byte left the host; after any other error the request may have run.
package conn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"quaybarrow/internal/clock"
)

// Errors of connections.
var (
	// ErrNotSent means that the endpoint has seen nothing of the request.
	ErrNotSent = errors.New("request was not sent")
	// ErrConnLimit means that the host holds as many connections to the endpoint as
	// it may.
	ErrConnLimit = errors.New("no connection is free")
	// ErrUnexpectedData means that the endpoint sent bytes that belong to no request.
	ErrUnexpectedData = errors.New("stray bytes from the endpoint")
)

// Bounds of connections.
const (
	// dialTimeout is ample for a data hall away: connects take a few
	// milliseconds, and a lost packet is sent again after a second.
	dialTimeout = 1500 * time.Millisecond
	// userTimeout ends a connection whose bytes nobody acknowledges.
	userTimeout = 2 * time.Second
	// keepAliveIdle and probeEvery find a silent peer on a connection at rest, in
	// about three seconds; the kernel counts in whole seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idleTimeoutMargin is taken off what an endpoint says of keeping connections, so
	// that it does not close one as a request is sent on it.
	idleTimeoutMargin = 800 * time.Millisecond
	// defaultIdleTimeout is how long a connection rests where the endpoint says nothing.
	defaultIdleTimeout = 4 * time.Second
	// maxUnexpectedResponses is how many answers to earlier requests are passed over
	// before a connection is given up.
	maxUnexpectedResponses = 3
	// readBuffer holds the head of an answer.
	readBuffer = 4 << 10
)

// Options set up a Pool.
type Options struct {
	// Dial replaces the network in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnOpen is called for each new connection.
	OnOpen func(address string)
}

// Pool keeps idle connections and counts open ones, by endpoint address; safe
// for use at once.
type Pool struct {
	options Options

	mu    sync.Mutex // guards peers
	peers map[string]*peer
}

// peer is what the pool knows of an address.
type peer struct {
	idle []*Conn
	open int
}

// NewPool returns a pool without connections.
func NewPool(options Options) *Pool {
	if options.Dial == nil {
		options.Dial = dial
	}
	return &Pool{options: options, peers: map[string]*peer{}}
}

// dial connects with short probes, so that a peer behind a cut is noticed.
func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         SetUserTimeout,
	}
	return d.DialContext(ctx, "tcp4", address)
}

// SetUserTimeout bounds how long bytes may stay unacknowledged on a socket.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("reach socket: %w", err)
	}
	if setErr != nil {
		return fmt.Errorf("set user timeout: %w", setErr)
	}
	return nil
}

// Get returns a connection to an address: one at rest if its peer has not closed
// it, else a new one. It returns ErrBusy when limit connections are open already
// and ErrNotSent when none can be made.
func (p *Pool) Get(ctx context.Context, address string, limit int) (*Conn, error) {
	for {
		c, err := p.takeIdle(address, limit)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.open(ctx, address)
		}
		if c.alive() {
			return c, nil
		}
		c.Release(false)
	}
}

// takeIdle returns a connection at rest, or nil after counting one to be opened.
func (p *Pool) takeIdle(address string, limit int) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.peers[address]
	if conns == nil {
		conns = &peer{}
		p.peers[address] = conns
	}
	if n := len(conns.idle); n > 0 {
		c := conns.idle[n-1]
		conns.idle = conns.idle[:n-1]
		return c, nil
	}
	if limit > 0 && conns.open >= limit {
		return nil, ErrConnLimit
	}
	conns.open++
	return nil, nil
}

// open makes a connection that take has counted.
func (p *Pool) open(ctx context.Context, address string) (*Conn, error) {
	raw, err := p.options.Dial(ctx, address)
	if err != nil {
		p.uncount(address)
		return nil, fmt.Errorf("connect to %s: %w: %w", address, ErrNotSent, err)
	}
	if p.options.OnOpen != nil {
		p.options.OnOpen(address)
	}
	return &Conn{pool: p, address: address, raw: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// uncount takes a connection out of the count.
func (p *Pool) uncount(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.peers[address]
	conns.open--
	if conns.open == 0 && len(conns.idle) == 0 {
		delete(p.peers, address)
	}
}

// putIdle puts a connection among those at putIdle.
func (p *Pool) putIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conns := p.peers[c.address]; conns != nil {
		conns.idle = append(conns.idle, c)
	}
}

// CloseExpired closes connections that have rested for as long as they may.
func (p *Pool) CloseExpired() { p.closeIdleUntil(clock.Now()) }

// CloseIdle closes the connections at rest to an address: another process answers there
// now, and what is written on them is lost.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	var old []*Conn
	if conns := p.peers[address]; conns != nil {
		old, conns.idle = conns.idle, nil
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Release(false)
	}
}

// Close closes all connections at rest.
func (p *Pool) Close() { p.closeIdleUntil(clock.Now().Add(beyondIdleTimeout)) }

// beyondIdleTimeout is longer than any connection rests.
const beyondIdleTimeout = 24 * time.Hour

func (p *Pool) closeIdleUntil(now clock.Instant) {
	for _, c := range p.takeExpired(now) {
		c.Release(false)
	}
}

func (p *Pool) takeExpired(now clock.Instant) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var old []*Conn
	for _, conns := range p.peers {
		kept := conns.idle[:0]
		for _, c := range conns.idle {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		clear(conns.idle[len(kept):])
		conns.idle = kept
	}
	return old
}

// Conn is a connection that one request at a time holds.
type Conn struct {
	pool      *Pool
	address   string
	raw       net.Conn
	reader    *bufio.Reader
	idleUntil clock.Instant // at rest no longer than this
	close     sync.Once
	response  *http.Response
}

// alive reports whether a connection that rested can be used.
func (c *Conn) alive() bool {
	if !clock.Now().Before(c.idleUntil) || c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, readErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// Accept judges whether an answer belongs to the request that was sent.
type Accept func(h http.Header) bool

// Send writes a request and reads the head of its answer. Answers that belong
// to earlier requests are passed over.
func (c *Conn) Send(request *http.Request, accept Accept) (*http.Response, error) {
	counter := &countingWriter{writer: c.raw}
	buffered := bufio.NewWriterSize(counter, readBuffer)
	err := request.Write(buffered)
	if err == nil {
		err = buffered.Flush()
	}
	if err != nil && counter.sent == 0 {
		return nil, fmt.Errorf("send to %s: %w: %w", c.address, ErrNotSent, err)
	}
	// An endpoint may response before it has read the whole request, so an response
	// is looked for even if the request could not be written to its end.
	response, readErr := c.readHead(request, accept)
	if readErr != nil {
		if err != nil {
			return nil, fmt.Errorf("send to %s: %w", c.address, err)
		}
		return nil, fmt.Errorf("answer of %s: %w", c.address, readErr)
	}
	if err != nil {
		response.Close = true
	}
	c.response = response
	return response, nil
}

// readHead reads heads until one is accepted.
func (c *Conn) readHead(request *http.Request, accept Accept) (*http.Response, error) {
	for range maxUnexpectedResponses {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK {
			continue
		}
		if accept(response.Header) {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return nil, ErrUnexpectedData
		}
	}
	return nil, ErrUnexpectedData
}

// Interrupt makes reads and writes under way fail.
func (c *Conn) Interrupt() { _ = c.raw.SetDeadline(time.Unix(1, 0)) }

// SetDeadline bounds all that follows; the zero time lifts the bound.
func (c *Conn) SetDeadline(t time.Time) { _ = c.raw.SetDeadline(t) }

// SetReadDeadline bounds the reads that follow; the zero time lifts the bound.
func (c *Conn) SetReadDeadline(t time.Time) { _ = c.raw.SetReadDeadline(t) }

// Release ends the use of a connection. It is kept if the answer was read to its
// end and the peer keeps it too, and closed otherwise.
func (c *Conn) Release(readToEnd bool) {
	if readToEnd && c.reusable() {
		c.response = nil
		c.SetDeadline(time.Time{})
		c.pool.putIdle(c)
		return
	}
	c.close.Do(func() {
		_ = c.raw.Close()
		c.pool.uncount(c.address)
	})
}

// reusable reports whether the peer keeps the connection, and notes for how long.
func (c *Conn) reusable() bool {
	if c.response == nil || c.response.Close || c.reader.Buffered() > 0 {
		return false
	}
	if c.response.ContentLength < 0 && len(c.response.TransferEncoding) == 0 {
		return false
	}
	timeout := defaultIdleTimeout
	if stated, ok := parseKeepAlive(c.response.Header); ok {
		timeout = stated - idleTimeoutMargin
	}
	c.idleUntil = clock.Now().Add(timeout)
	return timeout > 0
}

// parseKeepAlive reads how long the peer keeps an idle connection.
func parseKeepAlive(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// countingWriter counts what the network took.
type countingWriter struct {
	writer io.Writer
	sent   int
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.writer.Write(p)
	w.sent += n
	return n, err
}
