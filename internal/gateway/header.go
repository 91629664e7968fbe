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

// maxHeaderBytes is the longest request header that is kept for checking. The server refuses longer
// ones.
const maxHeaderBytes = 64 << 10

// callerConn is a caller's connection that records the bytes of the request header being read.
// net/http drops a Content-Length that accompanies a chunked Transfer-Encoding, so only the raw
// bytes show that the length of a request is ambiguous.
type callerConn struct {
	net.Conn
	idleTimeout func() time.Duration

	mu           sync.Mutex // guards all below
	recording    bool
	header       []byte
	enteringIdle bool
}

func newCallerConn(raw net.Conn, idleTimeout func() time.Duration) *callerConn {
	return &callerConn{Conn: raw, idleTimeout: idleTimeout, recording: true}
}

// headerEnd separates a header from the bytes that follow it.
var headerEnd = []byte("\r\n\r\n")

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
	from := max(0, len(c.header)-len(headerEnd)+1)
	c.header = append(c.header, p...)
	if end := bytes.Index(c.header[from:], headerEnd); end >= 0 {
		c.header = c.header[:from+end+len(headerEnd)]
		c.recording = false
	} else if len(c.header) > maxHeaderBytes {
		c.recording = false
	}
}

// startNextHeader starts recording the header of the next request.
func (c *callerConn) startNextHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header = c.header[:0]
	c.recording = true
}

// SetReadDeadline implements net.Conn. The server sets the first deadline of an idle connection,
// which is replaced by the idle timeout that operators currently declare.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	enteringIdle := c.enteringIdle
	c.enteringIdle = false
	c.mu.Unlock()
	if idle := c.idleTimeout(); enteringIdle && idle > 0 {
		t = clock.Now().Add(idle).Time()
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *callerConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enteringIdle = true
}

// connKey is the context key of a caller's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// headerInfo holds what the raw bytes of a request header show beyond what net/http reports.
type headerInfo struct {
	bytes   int
	problem string // why the request is refused; "" if it is not
}

// inspectHeader returns information about a request's header. A request whose header arrived
// together with the end of the previous request can't be told from a smuggled one.
func inspectHeader(r *http.Request) headerInfo {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return headerInfo{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	info := headerInfo{bytes: len(c.header)}
	if len(c.header) == 0 || !bytes.HasPrefix(c.header, []byte(r.Method+" ")) {
		info.problem = "request came inside another"
		return info
	}
	info.problem = framingProblem(c.header)
	return info
}

// framingProblem returns why a header is malformed or the length of its request ambiguous; "" if it
// is neither.
func framingProblem(header []byte) string {
	lengths, encodings := 0, 0
	for i, line := range bytes.Split(header, []byte("\r\n")) {
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

// markRequestRead notes that a request has been read to its end, so that the next bytes belong to
// another request.
func markRequestRead(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		c.startNextHeader()
	}
}
