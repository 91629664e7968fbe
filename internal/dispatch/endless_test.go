package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/bound"
	"quaybarrow/internal/chat"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/dispatch"
	"quaybarrow/internal/endpoint"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/telemetry"
	"quaybarrow/platform/standin"
)

// Parts of responses without end.
const (
	burst      = 4 << 10 // bytes between two pauses of an endpoint
	burstPause = time.Millisecond
	strayHead  = "HTTP/1.1 200 OK\r\n" + chat.HeaderRequestID + ": of-another\r\n"
	okHead     = "HTTP/1.1 200 OK\r\n"
	// surplus covers the bytes that a host reads into its buffers beyond a bound.
	surplus = 40 << 10
)

// many repeats a text until it fills a burst.
func many(text string) string { return strings.Repeat(text, burst/len(text)) }

// pair is a dispatcher with two engines that are two services too, as scripted.
type pair struct {
	fleet      *fleet.Fleet
	dispatcher *dispatch.Dispatcher
	endpoints  []*standin.Endpoint
	listeners  []net.Listener
	conns      *conn.Pool
	memory     *bound.Memory
	limit      atomic.Int64 // of memory, in bytes
	log        syncBuilder
}

// syncBuilder collects a log. It is safe for concurrent use.
type syncBuilder struct {
	mu sync.Mutex // guards b
	b  strings.Builder
}

// Write implements io.Writer.
func (s *syncBuilder) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// String returns what was written.
func (s *syncBuilder) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// firstThen returns a script for all endpoints: the first request to any of them gets one response, and
// later ones another.
func firstThen(first, then standin.Script) func(int, *http.Request) standin.Script {
	var n atomic.Int64
	return func(int, *http.Request) standin.Script {
		if n.Add(1) == 1 {
			return first
		}
		return then
	}
}

func newPair(service string, script func(int, *http.Request) standin.Script) *pair {
	network := memnet.New()
	p := &pair{fleet: fleet.New(fleet.Options{})}
	p.limit.Store(64 << 20)
	p.memory = bound.NewMemory(p.limit.Load)
	p.conns = conn.NewPool(conn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) { return network.Dial(ctx, "tcp", address) }})
	for i := range 2 {
		e, at := standin.NewEndpoint(fmt.Sprint("e", i), script), fmt.Sprintf("10.0.0.%d:80", i+1)
		l := network.Listen(at)
		go e.Serve(l)
		p.endpoints, p.listeners = append(p.endpoints, e), append(p.listeners, l)
		p.fleet.Put(fleet.Endpoint{ID: fmt.Sprint("e", i), Service: service, Address: at, Slots: 8})
		p.fleet.Report(fmt.Sprint("e", i), fleet.Report{Models: []string{"m@1"}})
	}
	t, err := telemetry.New(context.Background(), telemetry.Options{Traces: 1})
	Expect(err).NotTo(HaveOccurred())
	p.dispatcher = dispatch.New(dispatch.Options{
		Fleet: p.fleet, Conns: p.conns, FirstTokenTimeout: time.Second, Telemetry: t, ResponseMemory: p.memory, Logger: log.New(&p.log),
		Quarantine: quarantine.NewTracker(quarantine.Options{Host: "h", Probe: p.conns.Probe, CountEndpoints: p.fleet.Count, Logger: log.New(io.Discard)}),
	})
	return p
}

func (p *pair) close() {
	time.Sleep(5 * time.Second)
	for _, l := range p.listeners {
		_ = l.Close()
	}
	p.conns.Close()
	time.Sleep(time.Minute)
}

// runs returns the requests that endpoints got, without those that cancel others.
func (p *pair) runs() []standin.ReceivedRequest {
	var runs []standin.ReceivedRequest
	for _, e := range p.endpoints {
		for _, q := range e.Requests() {
			if q.Method != http.MethodDelete {
				runs = append(runs, q)
			}
		}
	}
	return runs
}

// mostRead returns the largest number of bytes that were read of a response without end.
func (p *pair) mostRead() int {
	most := 0
	for _, q := range p.runs() {
		most = max(most, q.Sent)
	}
	return most
}

func noIdentity() quarantine.Request { return quarantine.Request{} }

func (p *pair) call(repeatable bool) (dispatch.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return p.dispatcher.Call(ctx, dispatch.Call{
		ID: "r1", Service: "payouts", Name: "pay", Method: http.MethodPost, Body: []byte("x"), Repeatable: repeatable, OnAttempt: func() {}, Identity: noIdentity,
	})
}

// open sends a completion request.
func (p *pair) open(ctx context.Context) (*dispatch.Stream, error) {
	return p.dispatcher.Open(ctx, dispatch.Request{
		ID: "r1", Version: declare.Ref{Model: "m", Version: "1"}, Body: []byte("{}"), Identity: noIdentity, CheckAllowed: func() error { return nil }, OnAttempt: func() {},
	})
}

// stream opens a stream and reads its events; it returns their number.
func (p *pair) stream() (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	s, err := p.open(ctx)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	for n := 0; ; n++ {
		if _, err := s.Next(); err != nil {
			return n, err
		}
	}
}

// endlessHeads are heads without end, and what precedes a response.
var endlessHeads = map[string]struct {
	script  standin.Endless
	maxRead int
	place   string
}{
	"a status line":           {standin.Endless{Start: "HTTP/1.1 200 O", Repeat: many("K")}, 64 << 10, "head"},
	"a header line":           {standin.Endless{Start: okHead + "X: ", Repeat: many("y")}, 64 << 10, "head"},
	"header lines":            {standin.Endless{Start: okHead, Repeat: many("X: y\r\n")}, 8 << 10, "head"},
	"informational responses": {standin.Endless{Repeat: many("HTTP/1.1 103 Early Hints\r\n\r\n")}, 8 << 10, "skipped"},
	"a skipped body":          {standin.Endless{Start: strayHead + "\r\n", Repeat: many("z")}, 64 << 10, "skipped"},
}

var _ = Describe("a response without end", func() {
	for name, c := range endlessHeads {
		c.script.Pause = burstPause
		// Guards against a host that reads on until its memory or the call's time is spent.
		It("is cut off at its bound, and only a repeatable call runs again: "+name, func() {
			for _, repeatable := range []bool{true, false} {
				suite.Paused(func() {
					p := newPair("payouts", firstThen(c.script, standin.Reply{Status: 200, Body: "done"}))
					defer p.close()
					start := time.Now()
					response, err := p.call(repeatable)
					Expect(time.Since(start)).To(BeNumerically("<", time.Second))
					time.Sleep(time.Second)
					if repeatable {
						Expect(err).NotTo(HaveOccurred())
						Expect(string(response.Body)).To(Equal("done"))
						Expect(p.runs()).To(HaveLen(2))
					} else {
						Expect(problem.Of(err).Run).To(Equal(problem.Unknown))
						Expect(problem.Of(err).Status).To(Equal(http.StatusBadGateway))
						Expect(p.runs()).To(HaveLen(1))
					}
					Expect(p.mostRead()).To(BeNumerically("<=", c.maxRead+surplus))
					Expect(p.log.String()).To(ContainSubstring("place=" + c.place))
				})
			}
		})
	}

	// Guards against a body that is cut at the bound and returned as if it were whole.
	It("is not returned short", func() {
		suite.Paused(func() {
			p := newPair("payouts", standin.Always(standin.Endless{Start: okHead + "\r\n", Repeat: strings.Repeat("x", 1<<20), Pause: burstPause}))
			defer p.close()
			_, err := p.call(false)
			Expect(problem.Of(err).Status).To(Equal(http.StatusBadGateway))
			Expect(p.mostRead()).To(BeNumerically("<=", 32<<20+surplus))
			Expect(p.log.String()).To(ContainSubstring("place=body"))
		})
	})

	// Guards against bodies that are each within their bound and take a host's memory together.
	It("ends where it holds the most, once bodies exceed all responses' memory", func() {
		suite.Paused(func() {
			const calls = 20
			p := newPair("payouts", standin.Always(standin.Endless{Start: okHead + "\r\n", Repeat: many("x"), Pause: burstPause}))
			defer p.close()
			p.limit.Store(1 << 20)
			errs := make(chan error, calls)
			most := int64(0)
			for range calls {
				go func() {
					_, err := p.call(false)
					errs <- err
				}()
			}
			for len(errs) < calls {
				time.Sleep(burstPause)
				most = max(most, p.memory.Total())
			}
			Expect(most).To(BeNumerically("<=", 1<<20))
			Expect(p.log.String()).To(ContainSubstring("place=body"))
			for range calls {
				Expect(problem.Of(<-errs).Run).To(Equal(problem.Unknown))
			}
			read := 0
			for _, q := range p.runs() {
				read += q.Sent
			}
			Expect(read).To(BeNumerically("<=", calls*(1<<20+surplus)), "none is read on by itself")
			Expect(p.memory.Total()).To(BeZero())
		})
	})

	// Guards against a drip of bytes that holds a call beyond its deadline and leaves the endpoint well.
	It("ends at the deadline if its head keeps coming, and counts as a failure", func() {
		suite.Paused(func() {
			p := newPair("payouts", standin.Always(standin.Endless{Start: okHead + "X: ", Repeat: "y", Pause: 10 * time.Millisecond}))
			defer p.close()
			ejected := false
			for range 12 {
				start := time.Now()
				_, err := p.call(false)
				Expect(err).To(HaveOccurred())
				Expect(time.Since(start)).To(BeNumerically("<=", 2*time.Second))
				for _, s := range p.fleet.View() {
					ejected = ejected || !s.Ready
				}
			}
			Expect(ejected).To(BeTrue())
		})
	})

	for name, c := range map[string]struct{ start, repeat string }{
		"one line":                {"", many("data")},
		"lines":                   {"", many("data: x\n")},
		"lines that are left out": {"", many("id: 1\n")},
		"empty lines":             {"", many("\n")},
	} {
		// Guards against an event whose lines are collected without a bound, and one that is asked for again.
		It("ends its stream at an event's bound: "+name, func() {
			suite.Paused(func() {
				p := newPair(endpoint.EngineService, standin.Always(standin.Endless{Start: okHead + "\r\ndata: {}\n\n" + c.start, Repeat: c.repeat, Pause: burstPause}))
				defer p.close()
				n, err := p.stream()
				Expect(n).To(Equal(1))
				Expect(problem.Of(err).Code).To(Equal(problem.CodeCut))
				time.Sleep(time.Second)
				Expect(p.runs()).To(HaveLen(1))
				Expect(p.mostRead()).To(BeNumerically("<=", bound.EventBytes+surplus))
				Expect(p.log.String()).To(ContainSubstring("place=event"))
				Expect(p.memory.Total()).To(BeZero())
			})
		})
	}

	// Guards against lines that the reader's buffer splits: the end of a long line is no line of its own.
	It("is told from a long event, which passes whole", func() {
		for extra := range 3 {
			suite.Paused(func() {
				line := "data: " + strings.Repeat("x", 16<<10*2-6-extra)
				p := newPair(endpoint.EngineService, standin.Always(standin.Reply{Status: 200, Unsized: true, Body: line + "\nid: " + strings.Repeat("7", 40<<10) + "\nid: 1\n\ndata: [DONE]\n\n"}))
				defer p.close()
				s, err := p.open(context.Background())
				Expect(err).NotTo(HaveOccurred())
				defer s.Close()
				event, err := s.Next()
				Expect(err).NotTo(HaveOccurred())
				Expect(string(event.Data) == line+"\n\n").To(BeTrue())
				event, err = s.Next()
				Expect(err).NotTo(HaveOccurred())
				Expect(event.Done).To(BeTrue())
			})
		}
	})
})
