package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"quaybarrow/internal/clock"
)

// headMost is the longest head that is kept for checking; the server refuses
// longer ones.
const headMost = 64 << 10

// callerConn is a caller's connection that keeps the bytes of the head being
// read. The library drops a length that stands beside a chunked encoding, so
// only the bytes show that a head could be read in two ways.
type callerConn struct {
	net.Conn
	idle func() time.Duration

	mu        sync.Mutex // guards all below
	recording bool
	head      []byte
	resting   bool
}

func newCallerConn(raw net.Conn, idle func() time.Duration) *callerConn {
	return &callerConn{Conn: raw, idle: idle, recording: true}
}

// headEnd separates a head from what follows.
var headEnd = []byte("\r\n\r\n")

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.record(p[:n])
	}
	return n, err
}

func (c *callerConn) record(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.recording {
		return
	}
	from := max(0, len(c.head)-len(headEnd)+1)
	c.head = append(c.head, p...)
	if end := bytes.Index(c.head[from:], headEnd); end >= 0 {
		c.head = c.head[:from+end+len(headEnd)]
		c.recording = false
	} else if len(c.head) > headMost {
		c.recording = false
	}
}

// next starts the recording of the next head.
func (c *callerConn) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = c.head[:0]
	c.recording = true
}

// SetReadDeadline implements net.Conn. The server sets the first deadline of a
// connection at rest; it is replaced by the one that operators declare now.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	resting := c.resting
	c.resting = false
	c.mu.Unlock()
	if idle := c.idle(); resting && idle > 0 {
		t = clock.Now().Add(idle).Time()
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *callerConn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resting = true
}

// connKey is the context key of a caller's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// headFacts are what the bytes of a head tell beyond what the library does.
type headFacts struct {
	bytes   int
	problem string // why the head is refused; "" if it is not
}

// headOf returns the facts of a request's head. A request whose head came
// together with the end of the one before can't be told from a hidden one.
func headOf(r *http.Request) headFacts {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return headFacts{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	f := headFacts{bytes: len(c.head)}
	if len(c.head) == 0 || !bytes.HasPrefix(c.head, []byte(r.Method+" ")) {
		f.problem = "request came inside another"
		return f
	}
	f.problem = framingProblem(c.head)
	return f
}

// framingProblem tells why a head's length can be read in two ways.
func framingProblem(head []byte) string {
	lengths, encodings := 0, 0
	for i, line := range bytes.Split(head, []byte("\r\n")) {
		if i == 0 || len(line) == 0 {
			continue
		}
		if line[0] == ' ' || line[0] == '\t' {
			return "folded header field"
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || bytes.ContainsAny(name, " \t\n") || bytes.ContainsAny(value, "\n\x00") {
			return "malformed header field"
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	if lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0) {
		return "two lengths"
	}
	return ""
}

// headDone notes that a request is read to its end: what comes is another.
func headDone(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		c.next()
	}
}
