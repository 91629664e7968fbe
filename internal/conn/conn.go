// Package conn pools the HTTP connections from a host to endpoints.
//
// # Usage
//
//	pool := conn.NewPool(conn.Options{})
//	c, err := pool.Get(ctx, "10.0.0.7:8080", limit)
//	response, err := c.Send(request, accept)
//	...read response.Body to its end...
//	c.Release(true)
//
// The client of net/http resends requests on its own and hides which connection broke. This package
// writes each request once, on a connection that the caller holds, so the caller knows what an
// endpoint may have received: ErrNotSent means that no byte left the host; after any other error
// the request may have run.
package conn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/bound"
	"quaybarrow/internal/clock"
)

// Errors of connections.
var (
	// ErrNotSent means that the endpoint has received nothing of the request.
	ErrNotSent = errors.New("request was not sent")
	// ErrConnLimit means that the host has reached its limit of open connections to the
	// endpoint.
	ErrConnLimit = errors.New("no connection is free")
	// ErrUnexpectedData means that the endpoint sent data that belongs to no pending request.
	ErrUnexpectedData = errors.New("unexpected data from the endpoint")
	// ErrHeadIncomplete means that the time for a response ended while its head was arriving.
	ErrHeadIncomplete = errors.New("the head of the response is incomplete")
)

// Timeouts and limits of connections.
const (
	// dialTimeout is sufficient for connections to another data hall: they take a few
	// milliseconds, and a lost packet is retransmitted after a second.
	dialTimeout = 1500 * time.Millisecond
	// idleTimeoutMargin is subtracted from the idle timeout that an endpoint states, so that the
	// endpoint does not close a connection while a request is sent on it.
	idleTimeoutMargin = 800 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of a connection whose endpoint states none.
	defaultIdleTimeout = 4 * time.Second
	// readBuffer is large enough for the heads of most responses.
	readBuffer = 4 << 10
)

// Options set up a Pool.
type Options struct {
	// Dial opens connections; nil means TCP. Tests set it.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnOpen is called for each new connection.
	OnOpen func(address string)
}

// Pool keeps idle connections and counts open ones, by endpoint address. It is safe for concurrent
// use.
type Pool struct {
	options Options

	mu     sync.Mutex // guards peers
	peers  map[string]*peer
	lastID atomic.Uint64 // of the connections opened
}

// peer holds the connections to one address.
type peer struct {
	idle []*Conn
	open int
}

// NewPool returns a pool without connections.
func NewPool(options Options) *Pool {
	if options.Dial == nil {
		options.Dial = Dial
	}
	return &Pool{options: options, peers: map[string]*peer{}}
}

// Get returns a connection to an address: an idle one that its peer has not closed, or else a new
// one. It returns none of the connections with the excepted IDs. It returns ErrConnLimit if limit
// connections are open already (0 means no limit), and ErrNotSent if connecting fails.
func (p *Pool) Get(ctx context.Context, address string, limit int, except ...ID) (*Conn, error) {
	for {
		c, err := p.takeIdle(address, limit, except)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.open(ctx, address)
		}
		if !slices.Contains(except, c.id) && c.alive() {
			return c, nil
		}
		c.Release(false)
	}
}

// takeIdle returns an idle connection, or an excepted one to be closed if no other is idle and the limit
// allows no new one. If there is none, it counts one more open connection and returns nil; the caller
// then opens it.
func (p *Pool) takeIdle(address string, limit int, except []ID) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.peers[address]
	if conns == nil {
		conns = &peer{}
		p.peers[address] = conns
	}
	for i := len(conns.idle) - 1; i >= 0; i-- {
		if !slices.Contains(except, conns.idle[i].id) {
			return conns.take(i), nil
		}
	}
	if limit > 0 && conns.open >= limit {
		if len(conns.idle) > 0 {
			return conns.take(0), nil
		}
		return nil, ErrConnLimit
	}
	conns.open++
	return nil, nil
}

// take removes an idle connection.
func (p *peer) take(i int) *Conn {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return c
}

// open opens a connection that takeIdle has counted.
func (p *Pool) open(ctx context.Context, address string) (*Conn, error) {
	raw, err := p.options.Dial(ctx, address)
	if err != nil {
		p.uncount(address)
		return nil, fmt.Errorf("connect to %s: %w: %w", address, ErrNotSent, err)
	}
	if p.options.OnOpen != nil {
		p.options.OnOpen(address)
	}
	return p.newConn(address, raw), nil
}

// uncount removes a closed connection from the count of open ones.
func (p *Pool) uncount(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.peers[address]
	conns.open--
	if conns.open == 0 && len(conns.idle) == 0 {
		delete(p.peers, address)
	}
}

// putIdle adds a connection to the idle ones.
func (p *Pool) putIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conns := p.peers[c.address]; conns != nil {
		conns.idle = append(conns.idle, c)
	}
}

// CloseExpired closes the idle connections whose idle timeout has passed.
func (p *Pool) CloseExpired() { p.closeIdleUntil(clock.Now()) }

// CloseIdle closes the idle connections to an address. It is called when another process serves the
// address, because data written on the old connections is lost.
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

// Close closes all idle connections.
func (p *Pool) Close() { p.closeIdleUntil(clock.Now().Add(beyondIdleTimeout)) }

// beyondIdleTimeout is longer than any idle timeout.
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

// ID identifies a connection of a pool. It is never used again.
type ID uint64

// Conn is a connection that serves one request at a time.
type Conn struct {
	pool      *Pool
	id        ID
	address   string
	netConn   net.Conn
	watch     watched           // nil if the way to the endpoint is not watched
	head      *bound.HeadReader // reads from netConn, by a patientReader
	reader    *bufio.Reader     // reads from head
	idleUntil clock.Instant     // when its idle timeout passes
	closeOnce sync.Once
	response  *http.Response
	onSilence func() bool // see SetOnSilence; nil for none
}

// ID returns the connection's ID.
func (c *Conn) ID() ID { return c.id }

// alive reports whether an idle connection can be used: its idle timeout has not passed, its peer
// has not closed it, and no unexpected data has arrived.
func (c *Conn) alive() bool {
	if !clock.Now().Before(c.idleUntil) || c.reader.Buffered() > 0 {
		return false
	}
	raw := c.netConn
	if c.watch != nil {
		if !c.watch.Usable() {
			return false
		}
		raw = c.watch.Unwrap()
	}
	s, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	socket, err := s.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = socket.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, readErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// Accept reports whether a response belongs to the request that was sent. It must not read the body.
type Accept func(response *http.Response) bool

// Send writes a request and reads the head of its response. It skips responses to earlier requests.
func (c *Conn) Send(request *http.Request, accept Accept) (*http.Response, error) {
	if c.watch != nil {
		c.watch.Expect(true)
	}
	counter := &countingWriter{writer: c.netConn}
	buffered := bufio.NewWriterSize(counter, readBuffer)
	err := request.Write(buffered)
	if err == nil {
		err = buffered.Flush()
	}
	if err != nil && counter.sent == 0 {
		return nil, fmt.Errorf("send to %s: %w: %w", c.address, ErrNotSent, err)
	}
	// An endpoint may respond before it has read the whole request, so Send looks for a response
	// even if the request could not be written completely.
	response, readErr := c.readHead(request, accept)
	if readErr != nil {
		if err != nil {
			return nil, fmt.Errorf("send to %s: %w", c.address, err)
		}
		return nil, fmt.Errorf("read response of %s: %w", c.address, readErr)
	}
	if err != nil {
		response = afterFailedWrite(response, err)
	}
	c.response = response
	return response, nil
}

// Interrupt makes pending and later reads and writes fail, until the deadline is changed.
func (c *Conn) Interrupt() { _ = c.netConn.SetDeadline(time.Unix(1, 0)) }

// SetDeadline sets the deadline of all later reads and writes; the zero time removes it.
func (c *Conn) SetDeadline(t time.Time) { _ = c.netConn.SetDeadline(t) }

// SetReadDeadline sets the deadline of later reads; the zero time removes it.
func (c *Conn) SetReadDeadline(t time.Time) { _ = c.netConn.SetReadDeadline(t) }

// Release ends the use of a connection. The connection becomes idle if the response was read to its
// end and the peer keeps the connection open too; otherwise it is closed.
func (c *Conn) Release(readToEnd bool) {
	if c.watch != nil {
		c.watch.Expect(false)
		c.watch.SetAbandonable(false)
	}
	if readToEnd && c.reusable() {
		c.response, c.onSilence = nil, nil
		c.SetDeadline(time.Time{})
		c.pool.putIdle(c)
		return
	}
	c.closeOnce.Do(func() {
		_ = c.netConn.Close()
		c.pool.uncount(c.address)
	})
}

// reusable reports whether the peer keeps the connection open, and sets its idle timeout.
func (c *Conn) reusable() bool {
	if c.response == nil || c.response.Close || c.reader.Buffered() > 0 || !StatesEnd(c.response) {
		return false
	}
	timeout := defaultIdleTimeout
	if stated, ok := parseKeepAlive(c.response.Header); ok {
		timeout = stated - idleTimeoutMargin
	}
	c.idleUntil = clock.Now().Add(timeout)
	return timeout > 0
}

// parseKeepAlive returns the idle timeout from the peer's Keep-Alive header.
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

// countingWriter counts the bytes that were written to the connection.
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
