package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got for one request, on a new connection.
type answer struct {
	request  string
	sentAt   time.Time
	endedAt  time.Time
	status   int
	seal     string
	body     string
	complete bool  // the answer ended as HTTP says that it ends
	err      error // why it is not complete
	events   []int // IDs of the events of a stream
}

// clientRequest is a request of a client.
type clientRequest struct {
	id, method, path string
	budgetMs         int
	body             string
	headers          []string
}

// newModelRequest returns a request for a stream of a model.
func newModelRequest(id string) clientRequest {
	return clientRequest{id: id, method: http.MethodPost, path: "/stream/x", budgetMs: 25000, body: "a prompt of " + id,
		headers: []string{"Model: m0", "Token-Counts: 300,60", "Prompt-Prefix: aa01:100,bb" + id + ":200"}}
}

// text returns the request as it is sent.
func (r clientRequest) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: rig.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: key-1\r\n", r.method, r.path, r.id, r.budgetMs)
	for _, h := range r.headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	return b.String()
}

// ask sends a request to a host and reads its answer.
func ask(host string, r clientRequest) answer {
	a := answer{request: r.id, sentAt: time.Now()}
	a.err = a.exchange(host, r)
	a.complete, a.endedAt = a.err == nil, time.Now()
	for line := range strings.SplitSeq(a.body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(id)
			a.events = append(a.events, n)
		}
	}
	return a
}

func (a *answer) exchange(host string, r clientRequest) error {
	c, err := net.DialTimeout("tcp4", host, time.Second)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(a.sentAt.Add(time.Duration(r.budgetMs) * time.Millisecond))
	if _, err := io.WriteString(c, r.text()); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return fmt.Errorf("read head: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.seal = response.StatusCode, response.Header.Get("Server-Seal")
	body, err := io.ReadAll(response.Body)
	a.body = string(body)
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("the host's answer states no length")
	}
	return nil
}

// String describes the answer for the record.
func (a answer) String() string {
	end := "complete"
	if !a.complete {
		end = "incomplete: " + a.err.Error()
	}
	last := 0
	if len(a.events) > 0 {
		last = a.events[len(a.events)-1]
	}
	return fmt.Sprintf("request %s: status %d, seal %q, %d bytes, %d events, last event %d, after %d ms, %s",
		a.request, a.status, a.seal, len(a.body), len(a.events), last, a.endedAt.Sub(a.sentAt).Milliseconds(), end)
}
