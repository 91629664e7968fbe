//go:build review

package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// outcome is what a consumer saw of a request.
type outcome struct {
	status int // 0 if the channel ended without an answer
	header http.Header
	body   string
	err    error
	took   time.Duration
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %v, after %d ms", o.status, len(o.body), o.err, o.took.Milliseconds())
	}
	return fmt.Sprintf("status %d, %d bytes, seal %q, after %d ms", o.status, len(o.body), o.header.Get("Server-Seal"), o.took.Milliseconds())
}

// request is a consumer's attempt.
type request struct {
	id, method, host, path string
	fields                 []string
	body                   string
	key                    string // of the tenant; that of the cases with one tenant if empty
	deadline               time.Duration
}

// head returns the bytes of the request's head.
func (q request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds(), cmp.Or(q.key, "key-of-one"))
	for _, f := range q.fields {
		b.WriteString(f + "\r\n")
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	return b.String()
}

// send sends a request on a new channel and reads its answer.
func (r *rig) send(h *host, q request) outcome {
	begun := time.Now()
	c, err := net.DialTimeout("tcp4", h.front(), time.Second)
	if err != nil {
		return outcome{err: err, took: time.Since(begun)}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(begun.Add(q.deadline + 2*time.Second))
	if _, err := io.WriteString(c, q.head()+q.body); err != nil {
		return outcome{err: err, took: time.Since(begun)}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return outcome{err: err, took: time.Since(begun)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return outcome{status: resp.StatusCode, header: resp.Header, body: string(body), err: err, took: time.Since(begun)}
}
