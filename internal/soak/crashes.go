package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"quaybarrow/platform/standin"
)

// Parameters of requests under which endpoints crash.
const (
	// crashMark is in their paths, or begins the parts of their prompts.
	crashMark = "crash-"
	// crashesOfRequest and crashesOfPart are how many endpoints may crash under a request, and under
	// requests with one part, until hosts have to know.
	crashesOfRequest = 3
	crashesOfPart    = 5
	// crashStream sets their numbers apart from those of a seed's other faults.
	crashStream = 43
	// comesFor is how long one comes again and again: long enough for hosts to know it.
	comesFor = 6 * time.Second
	// comesEvery is how long it takes at most to come again.
	comesEvery = 400 * time.Millisecond
	// crashTime is how long it takes at most to crash an endpoint.
	crashTime = 100 * time.Millisecond
	// knownWithin the last of these hosts that nothing has happened to may send it on, and later
	// lateMost times all together, as the users tell.
	knownWithin = 3 * time.Second
	lateMost    = 3
	// restartTime is how long it takes until another endpoint is there after a crash, and
	// lapseTime until the entry of the one that crashed goes.
	restartTime = 3 * time.Second
	lapseTime   = 3600 * time.Millisecond
)

// crasher is a request under which endpoints crash, or all requests with a part under which they do,
// with where and when it was sent.
type crasher struct {
	path string
	part string // "" for a request; then its path is its own

	mu    sync.Mutex // guards hosts
	hosts map[string]*process
}

// crashScript is how an endpoint crashes under a request; false if it does not.
func (w *world) crashScript(service string, r *http.Request) (standin.Script, bool) {
	if !strings.Contains(r.RequestURI, crashMark) && !standin.HasPartLike(r.Header, crashMark) {
		return nil, false
	}
	return standin.Crash{After: time.Duration(w.crashDice.number(int(crashTime))), Head: service == "model" && w.crashDice.number(2) == 0}, true
}

// watch lets an endpoint that crashes go as one does: nobody listens there at once, another
// comes after a while, and its entry stays until its heartbeats are missed.
func (w *world) watch(e *endpoint) {
	select {
	case <-e.gone:
		return
	case <-e.Crashed():
	}
	e.end()
	w.mu.Lock()
	listed := w.endpoints[e.ID] == e
	delete(w.endpoints, e.ID)
	w.mu.Unlock()
	if !listed {
		return // it was to go in any case, and another is there
	}
	time.Sleep(restartTime)
	if err := w.addEndpoint(e.service); err != nil {
		w.history.mu.Lock()
		defer w.history.mu.Unlock()
		w.history.violate("no endpoint could be started: %s", err)
	}
	time.Sleep(lapseTime - restartTime)
	w.store.Delete(standin.TableEndpoints, e.ID)
}

// dice are drawn for one kind of trouble, apart from all else, so that a seed without it stays what
// it is; safe for use at once.
type dice struct {
	mu     sync.Mutex // guards random
	random *rand.Rand
}

// number draws a number below n.
func (d *dice) number(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

// sendCrashers has requests come under which endpoints crash; it waits until the last one does
// no more.
func (w *world) sendCrashers(ctx context.Context, o Options) {
	var under sync.WaitGroup
	defer under.Wait()
	for i := range o.Crashers + o.Parts {
		after := time.Duration(w.crashDice.number(int(o.Length)))
		under.Go(func() {
			if sleep(ctx, after) {
				w.sendCrasher(ctx, i >= o.Crashers)
			}
		})
	}
}

// sendCrasher sends such a request again and again, or requests with such a part, at any host and at
// several at once.
func (w *world) sendCrasher(ctx context.Context, part bool) {
	paths := []string{pathOnce, pathAgain, pathStream}
	r := &crasher{path: fmt.Sprint(paths[w.crashDice.number(len(paths))], crashMark, serial.Add(1)), hosts: map[string]*process{}}
	if part {
		r.path, r.part = pathStream, fmt.Sprint(crashMark, serial.Add(1))
	}
	w.mu.Lock()
	w.crashers = append(w.crashers, r)
	w.mu.Unlock()
	every, copies := time.Duration(w.crashDice.number(int(comesEvery))), 1+w.crashDice.number(2)
	var asking sync.WaitGroup
	defer asking.Wait()
	for began := time.Now(); time.Since(began) < comesFor && sleep(ctx, every+callerPause); {
		for range copies {
			p := w.hosts[w.crashDice.number(len(w.hosts))]
			asking.Go(func() { w.askOnce(r, p) })
		}
	}
}

// askOnce sends the request to a host.
func (w *world) askOnce(r *crasher, p *process) {
	c, err := net.DialTimeout("tcp4", p.callers, connectTime)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	id := w.name("c")
	w.sends(id, p)
	r.mu.Lock()
	r.hosts[id] = p
	r.mu.Unlock()
	q := standin.NewRequest("POST", r.path, "body").WithID(id)
	switch {
	case r.part != "":
		q.Path += id
		q = q.WithParts(standin.CommonPart, r.part, id)
	case strings.HasPrefix(r.path, pathStream):
		q = q.WithPrompt()
	}
	_ = c.SetDeadline(time.Now().Add(callerPatient))
	if _, err := io.WriteString(c, q.Text()); err != nil {
		return
	}
	path, _, _ := strings.Cut(r.path, crashMark)
	w.history.add(outcome{id: id, path: path, answer: standin.ReadResponse(bufio.NewReader(c)), crashes: true}, false)
}

// lateSends lists requests under which endpoints crash that hosts went on sending.
func (w *world) lateSends() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for _, r := range w.crashers {
		if late, last := r.late(w.all); late > lateMost {
			found = append(found, fmt.Sprintf("%s%s was sent %d times more by hosts that nothing had happened to, %s after endpoint %d had crashed under it at %s",
				r.path, r.part, late, knownWithin, r.allowed(), last.Format(time.StampMilli)))
		}
	}
	return found
}

// late counts sends after the last crash that is allowed by hosts that had time to know of it.
func (r *crasher) late(endpoints []*endpoint) (late int, last time.Time) {
	sends, crashes := r.arrivals(endpoints)
	return lateOf(sends, crashes, r.allowed())
}

// allowed is how many endpoints may crash under it until hosts have to know.
func (r *crasher) allowed() int {
	if r.part != "" {
		return crashesOfPart
	}
	return crashesOfRequest
}

// sent reports whether what an endpoint received is the request, or has the part.
func (r *crasher) sent(s standin.ReceivedRequest) bool {
	if r.part != "" {
		return standin.HasPart(s.Head, r.part)
	}
	return s.Target == r.path
}

// arrivals lists the sends of the request, and when endpoints crashed under it.
func (r *crasher) arrivals(endpoints []*endpoint) (sends []send, crashes []time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range endpoints {
		under := false
		for _, s := range e.Requests() {
			if r.sent(s) {
				sends = append(sends, send{at: s.At, well: r.hosts[s.ID()].wasWell(s.At.Add(-knownWithin), s.At)})
				under = under || !s.NotRun // one that it turned away is not what it crashed under
			}
		}
		if at := e.CrashedAt(); under && !at.IsZero() {
			crashes = append(crashes, at)
		}
	}
	return sends, crashes
}

// send is a send of the request to an endpoint, by a host that was well for long enough or not.
type send struct {
	at   time.Time
	well bool
}

// lateOf counts the sends of a request by hosts that have had time to know that as many endpoints as
// allowed had crashed under it, and tells when the last of these did.
func lateOf(sends []send, crashes []time.Time, allowed int) (late int, last time.Time) {
	if len(crashes) < allowed {
		return 0, time.Time{}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	last = crashes[allowed-1]
	for _, s := range sends {
		if s.well && s.at.After(last.Add(knownWithin)) {
			late++
		}
	}
	return late, last
}

// trouble is a time in which something happened to a host.
type trouble struct{ from, until time.Time }

// troubled notes that something happens to the host while a function runs.
func (p *process) troubled(do func()) {
	from := time.Now()
	do()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.troubles = append(p.troubles, trouble{from, time.Now()})
}

// noteInterruption notes that the process did not run, or stopped and started, from a moment until now.
func (p *process) noteInterruption(from time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interruptions = append(p.interruptions, trouble{from, time.Now()})
}

// wasInterrupted reports whether the process was stopped, killed or paused in a time.
func (p *process) wasInterrupted(from, until time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.interruptions, func(t trouble) bool { return t.from.Before(until) && t.until.After(from) })
}

// wasWell reports whether nothing happened to the host in a time.
func (p *process) wasWell(from, until time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !slices.ContainsFunc(p.troubles, func(t trouble) bool { return t.from.Before(until) && t.until.After(from) })
}
