//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for a worker. It answers each request by its behavior.
type worker struct {
	rig     *rig
	id      string
	service string
	zone    string
	slots   int
	address string
	engine  bool
	behave  func(w *worker, c *call)

	mu      sync.Mutex // guards the fields below
	runs    map[string]int
	arrived map[string]bool
	seen    int
}

// call is a request that has arrived at a worker, and its connection.
type call struct {
	worker *worker
	conn   net.Conn
	req    *http.Request
	body   []byte
	id     string
	n      int // of this worker's requests, from 0
	closed bool
}

// startWorker starts a worker and lists it.
func (r *rig) startWorker(w *worker) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.rig, w.address, w.runs, w.arrived = r, l.Addr().String(), map[string]int{}, map[string]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	w.enlist()
	return nil
}

// enlist writes the worker's entry. Its heartbeats change only seq, which the store shows to nobody.
func (w *worker) enlist() {
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready", "cold_left_ms": 0, "seq": 1,
	}
	if w.engine {
		entry["stage"] = "both"
		entry["models"] = []map[string]any{{"name": "small", "version": 1, "adapters": []any{}}, {"name": "large", "version": 1, "adapters": []any{}}}
	}
	data, _ := json.Marshal(entry)
	w.rig.store.Put("servers", w.id, data)
}

func (w *worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.mu.Lock()
		cl := &call{worker: w, conn: c, req: r, body: body, id: r.Header.Get("Attempt-Id"), n: w.seen}
		w.seen++
		w.mu.Unlock()
		if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != w.id {
			w.rig.note("worker %s: request %s expects %s: 421", w.id, cl.id, expect)
			cl.answer(http.StatusMisdirectedRequest, false, nil, "")
			continue
		}
		w.behave(w, cl)
		if cl.closed {
			return
		}
	}
}

// begin notes that the worker begins to run the request.
func (c *call) begin() {
	c.worker.mu.Lock()
	c.worker.runs[c.id]++
	c.worker.mu.Unlock()
	c.worker.rig.note("worker %s: runs %s (%s %s, model %q)", c.worker.id, c.id, c.req.Method, c.req.RequestURI, c.req.Header.Get("Model"))
}

// answer sends a whole answer; a request that was not run gets no seal.
func (c *call) answer(status int, ran bool, fields []string, body string) {
	_, _ = io.WriteString(c.conn, c.text(status, ran, fields, body))
}

// text returns a whole answer.
func (c *call) text(status int, ran bool, fields []string, body string) string {
	var b strings.Builder
	running := 1
	if !ran {
		running = c.worker.slots
	}
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nServer-Load: %d,0,%d\r\n", status, http.StatusText(status), c.id, running, c.worker.slots)
	if ran {
		fmt.Fprintf(&b, "Server-Seal: seal.%s.%s\r\n", c.worker.id, c.id)
	} else {
		b.WriteString("Not-Executed: 1\r\n")
	}
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// stream sends a stream of events, each after a pause.
func (c *call) stream(events int, pause time.Duration, fields ...string) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Load: 1,0,%d\r\nServer-Seal: seal.%s.%s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", c.id, c.worker.slots, c.worker.id, c.id)
	for _, f := range fields {
		head += f + "\r\n"
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"); err != nil {
		c.closed = true
		return
	}
	for i := 1; i <= events; i++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: of %s\n\n", i, c.req.Header.Get("Model"))
		if _, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			c.worker.rig.note("worker %s: the channel of %s was closed", c.worker.id, c.id)
			c.closed = true
			return
		}
	}
	_, _ = io.WriteString(c.conn, "0\r\n\r\n")
}

// countRuns returns how often each request began to run, at all workers.
func countRuns(workers []*worker) map[string]int {
	runs := map[string]int{}
	for _, w := range workers {
		w.mu.Lock()
		for id, n := range w.runs {
			runs[id] += n
		}
		w.mu.Unlock()
	}
	return runs
}
