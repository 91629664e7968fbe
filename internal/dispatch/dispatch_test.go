package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/chat"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/dispatch"
	"quaybarrow/internal/endpoint"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/internal/standin/service"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/store"
	"quaybarrow/internal/telemetry"
)

const address = "10.0.0.9:80"

// breakingConn is a connection that breaks after a number of bytes in one direction.
type breakingConn struct {
	net.Conn
	mu         sync.Mutex // guards all below
	armed      bool
	writeLimit int // bytes that may still be written; -1 means any
	readLimit  int // bytes that may still be read; -1 means any
}

var errBroken = errors.New("connection broken")

// Write implements net.Conn.
func (b *breakingConn) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.armed || b.writeLimit < 0 {
		return b.Conn.Write(p)
	}
	n := min(len(p), b.writeLimit)
	b.writeLimit -= n
	if n > 0 {
		if _, err := b.Conn.Write(p[:n]); err != nil {
			return 0, err
		}
	}
	if n < len(p) {
		_ = b.Close()
		return n, errBroken
	}
	return n, nil
}

// Read implements net.Conn.
func (b *breakingConn) Read(p []byte) (int, error) {
	b.mu.Lock()
	limit := b.readLimit
	armed := b.armed
	b.mu.Unlock()
	if !armed || limit < 0 {
		return b.Conn.Read(p)
	}
	if limit == 0 {
		_ = b.Close()
		return 0, errBroken
	}
	n, err := b.Conn.Read(p[:min(len(p), limit)])
	b.mu.Lock()
	b.readLimit -= n
	b.mu.Unlock()
	return n, err
}

// fixture is a dispatcher with one plain service.
type fixture struct {
	service    *service.Service
	server     *http.Server
	transport  *http.Transport // of net/http, for comparison
	conns      *conn.Pool
	dispatcher *dispatch.Dispatcher

	turnAway atomic.Value // Retry-After with which calls are turned away; empty to take them
	arrived  atomic.Int64 // calls that reached the service

	mu          sync.Mutex // guards all below
	connections []*breakingConn
	limits      breakingConn
}

func newFixture() *fixture {
	f := &fixture{service: service.New("payouts", 0)}
	n := memnet.New()
	f.turnAway.Store("")
	take := f.service.Handler()
	f.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.arrived.Add(1)
		if pause, ok := f.turnAway.Load().(string); ok && pause != "" {
			w.Header().Set("Retry-After", pause)
			w.Header().Set(chat.HeaderRun, chat.NotRun)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		take.ServeHTTP(w, r)
	})}
	listener := n.Listen(address)
	go func() { _ = f.server.Serve(listener) }()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := n.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		b := &breakingConn{Conn: c, armed: f.limits.armed, writeLimit: f.limits.writeLimit, readLimit: f.limits.readLimit}
		f.connections = append(f.connections, b)
		return b, nil
	}
	f.transport = &http.Transport{DialContext: dial}
	f.conns = conn.NewPool(conn.Options{
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) },
	})
	hosts := []store.Host{
		{ID: "p1", Kind: store.HostService, Service: "payouts", Address: address, State: store.HostLive},
		{ID: "p2", Kind: store.HostService, Service: "payouts", Address: address, State: store.HostLive},
	}
	watch := endpoint.NewWatch(endpoint.Options{List: func() []store.Host { return hosts }, Period: time.Second})
	watch.Sync()
	t, err := telemetry.New(context.Background(), telemetry.Options{Traces: 1})
	Expect(err).NotTo(HaveOccurred())
	f.dispatcher = dispatch.New(dispatch.Options{
		Fleet: watch.Fleet(), Conns: f.conns, FirstTokenTimeout: time.Second, Telemetry: t,
		Quarantine: quarantine.NewTracker(quarantine.Options{Host: "h", Probe: f.conns.Probe, CountEndpoints: watch.Fleet().Count, Logger: log.New(io.Discard)}),
	})
	return f
}

// serverLinger is longer than a server of net/http waits before it closes a connection whose request it
// has not read to the end.
const serverLinger = time.Second

func (f *fixture) close() {
	f.transport.CloseIdleConnections()
	f.conns.Close()
	_ = f.server.Close()
	time.Sleep(serverLinger)
}

// breakAfter makes all connections, idle and new ones, break after the given numbers of bytes; -1
// means never.
func (f *fixture) breakAfter(written, read int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits = breakingConn{armed: true, writeLimit: written, readLimit: read}
	for _, c := range f.connections {
		c.mu.Lock()
		c.armed, c.writeLimit, c.readLimit = true, written, read
		c.mu.Unlock()
	}
}

func (f *fixture) call(repeatable bool, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := f.dispatcher.Call(ctx, dispatch.Call{
		ID: "r1", Service: "payouts", Name: "pay", Method: http.MethodPost, Body: []byte(body),
		Repeatable: repeatable, OnAttempt: func() {},
		Identity: func() quarantine.Request {
			return quarantine.Request{Fingerprint: quarantine.Identity{Target: "pay", Body: []byte(body)}.Fingerprint()}
		},
	})
	return err
}

// runs counts the calls with a body that the service ran.
func (f *fixture) runs(body string) int {
	count := 0
	for _, run := range f.service.Runs() {
		if run.Body == body {
			count++
		}
	}
	return count
}

var _ = Describe("a call that may not be repeated", func() {
	// The request and the response are about 250 bytes long each.
	const maxBytes = 400

	It("is sent at most once when its connection breaks at any byte of the request or the response", func() {
		suite.Paused(func() {
			for after := range maxBytes {
				for direction, limits := range map[string][2]int{"request": {after, -1}, "answer": {-1, after}} {
					f := newFixture()
					err := f.call(true, "warm") // leaves an idle connection in the pool
					Expect(err).NotTo(HaveOccurred())
					f.breakAfter(limits[0], limits[1])
					err = f.call(false, "payout")
					count := f.runs("payout")
					Expect(count).To(BeNumerically("<=", 1), "%s broken after %d bytes", direction, after)
					if err != nil && problem.Of(err).Run == problem.NotRun {
						Expect(count).To(BeZero(), "%s broken after %d bytes", direction, after)
					}
					f.close()
				}
			}
		})
	})

	It("is retried at another endpoint only while it certainly did not run", func() {
		suite.Paused(func() {
			f := newFixture()
			defer f.close()
			f.service.CutReplies(1)
			err := f.call(false, "payout")
			Expect(problem.Of(err).Run).To(Equal(problem.Unknown))
			Expect(f.runs("payout")).To(Equal(1))
			Expect(f.service.Runs()).To(HaveLen(1))
		})
	})
})

var _ = Describe("endpoints that turn calls away and want a pause", func() {
	It("get no other in that time, and callers are told when to come back", func() {
		suite.Paused(func() {
			f := newFixture()
			defer f.close()
			f.turnAway.Store("3")
			Expect(f.call(true, "first")).NotTo(Succeed())
			Expect(f.arrived.Load()).To(BeEquivalentTo(2), "both have turned it away")
			time.Sleep(time.Second)
			f.turnAway.Store("")
			err := f.call(true, "second")
			Expect(problem.Of(err).Run).To(Equal(problem.NotRun))
			Expect(problem.Of(err).RetryAfter).To(Equal(2 * time.Second))
			Expect(f.arrived.Load()).To(BeEquivalentTo(2))
			time.Sleep(2 * time.Second)
			Expect(f.call(true, "third")).To(Succeed())
		})
	})
})

// Shows the behavior that the dispatcher avoids: with an Idempotency-Key header, or with GetBody
// set, net/http itself resends a request whose reused connection breaks.
var _ = Describe("the transport of net/http", func() {
	It("resends a call on its own, so the dispatcher does not use it", func() {
		suite.Paused(func() {
			f := newFixture()
			defer f.close()
			send := func() error {
				request, err := http.NewRequest(http.MethodPost, "http://"+address+"/pay", http.NoBody)
				Expect(err).NotTo(HaveOccurred())
				request.Header.Set("Idempotency-Key", "k")
				response, err := f.transport.RoundTrip(request)
				if err != nil {
					return fmt.Errorf("send: %w", err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				return response.Body.Close()
			}
			Expect(send()).To(Succeed())
			f.service.CutReplies(1)
			Expect(send()).To(Succeed())
			Expect(f.service.Runs()).To(HaveLen(3), "net/http sent the second call twice")
		})
	})
})
