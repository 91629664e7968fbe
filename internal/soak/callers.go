package soak

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"quaybarrow/platform/standin"
)

// Parameters of callers.
const (
	callerPause   = 20 * time.Millisecond
	callerPatient = 12 * time.Second // longer than any route takes
	keptRequests  = 20               // on one connection
	connectTime   = time.Second
	// sameShare of the requests are one and the same of each kind: they run beside all crashes.
	sameShare = 0.3
)

// serial numbers requests of all callers.
var serial atomic.Int64

// call sends requests until the context ends, on connections that it keeps.
func (w *world) call(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		p := w.hosts[random.IntN(len(w.hosts))]
		w.session(ctx, p, random)
		sleep(ctx, callerPause)
	}
}

// session sends requests on one connection until it can't be used any more.
func (w *world) session(ctx context.Context, p *process, random *rand.Rand) {
	c, err := net.DialTimeout("tcp4", p.callers, connectTime)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for range keptRequests {
		if ctx.Err() != nil || !w.ask(c, reader, p, random) {
			return
		}
		sleep(ctx, callerPause)
	}
}

// ask sends one request; false if the connection can't be used any more.
func (w *world) ask(c net.Conn, reader *bufio.Reader, p *process, random *rand.Rand) bool {
	paths := []string{pathOnce, pathAgain, pathStream, ""}
	path := paths[random.IntN(len(paths))]
	if path == "" {
		return w.probe(c, reader, p)
	}
	id := w.name("r")
	w.sends(id, p)
	end := id
	if w.crashing && random.Float64() < sameShare {
		end = "same"
	}
	q := standin.NewRequest("POST", path+end, "body").WithID(id)
	if path == pathStream {
		q = q.WithPrompt()
	}
	w.history.mu.Lock()
	judging := w.history.judging
	w.history.mu.Unlock()
	_ = c.SetDeadline(time.Now().Add(callerPatient))
	if _, err := io.WriteString(c, q.Text()); err != nil {
		return false
	}
	a := standin.ReadResponse(reader)
	w.notePassedOn(a, p)
	w.history.add(outcome{id: id, path: path, answer: a}, judging)
	return a.Err == nil && !a.Close
}

// probe asks which configuration a host has in force.
func (w *world) probe(c net.Conn, reader *bufio.Reader, p *process) bool {
	w.mu.Lock()
	version := w.version - w.random.IntN(2)
	w.mu.Unlock()
	id := w.name("p")
	w.sends(id, p)
	life, sent := p.life(), time.Now()
	_ = c.SetDeadline(sent.Add(callerPatient))
	if _, err := io.WriteString(c, standin.NewRequest("POST", standin.VersionPath(version), "x").WithID(id).Text()); err != nil {
		return false
	}
	a := standin.ReadResponse(reader)
	if a.Err == nil && a.Status == 200 && p.life() == life {
		w.history.showVersion(life, version, sent, time.Now())
	}
	return a.Err == nil && !a.Close
}
