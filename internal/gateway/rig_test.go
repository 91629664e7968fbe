package gateway_test

import (
	"bufio"
	"bytes"
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
	. "github.com/onsi/gomega"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/gateway"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/ratelimit"
	"quaybarrow/internal/route"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/internal/store"
	"quaybarrow/internal/telemetry"
	"quaybarrow/internal/upgrade"
	"quaybarrow/platform"
	"quaybarrow/platform/standin"
)

// gatewayAddress is the address of a rig's gateway.
const gatewayAddress = "10.0.0.1:80"

// rig is a gateway between a caller and scripted endpoints on an in-memory network.
type rig struct {
	net       *memnet.Network
	gateway   *gateway.Gateway
	holder    *route.Holder
	fleet     *fleet.Fleet
	pool      *conn.Pool
	server    *http.Server
	endpoints map[string]*standin.Endpoint
	entries   map[string]fleet.Endpoint
	listeners []net.Listener
	log       *logBuffer
	dialDelay atomic.Int64                     // how long connecting to an endpoint takes, in ns
	next      atomic.Pointer[memnet.ResetConn] // the next connection to an endpoint; nil for a usual one
}

// logBuffer records the log. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex // guards b
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// fingerprintIn returns the first fingerprint in a log.
func fingerprintIn(text string) string {
	_, after, _ := strings.Cut(text, "fingerprint=")
	fingerprint, _, _ := strings.Cut(after, " ")
	return fingerprint
}

// noClock is a watcher without a known time, for tests without upgrades.
type noClock struct{ store.Watcher }

func (noClock) Now() (clock.Bounds, bool) { return clock.Bounds{}, false }

// declaration returns a configuration with a route of each kind.
func declaration() route.Declaration {
	only := func(service string) []route.Target { return []route.Target{{Service: service, Weight: 1}} }
	return route.Declaration{
		Version: 1,
		Limits:  route.Limits{HeaderBytes: 4096, BodyBytes: 1000, IdleTimeout: 10 * time.Second},
		Routes: []route.Route{
			{Name: "once", Host: "a.example", Prefix: "/once/", Kind: route.KindOnce, Timeout: 2 * time.Second,
				Objective: 300 * time.Millisecond, Attempts: 2, Targets: only("plain")},
			{Name: "again", Host: "a.example", Prefix: "/again/", Kind: route.KindRepeatable, Timeout: 2 * time.Second,
				Objective: 300 * time.Millisecond, Attempts: 2, Targets: only("plain")},
			{Name: "open", Host: "a.example", Prefix: "/open/", Kind: route.KindOnce, Timeout: 2 * time.Second,
				Objective: 300 * time.Millisecond, Attempts: 1, Targets: only("plain"), Public: true},
			{Name: "stream", Host: "a.example", Prefix: "/stream/", Kind: route.KindStream, Timeout: 20 * time.Second,
				Objective: 2 * time.Second, Attempts: 3, Targets: only("model"), Resumable: true, Models: []string{"small", "middle", "large"}},
			{Name: "fixed", Host: "a.example", Prefix: "/fixed/", Kind: route.KindStream, Timeout: 20 * time.Second,
				Objective: 2 * time.Second, Attempts: 3, Targets: only("model")},
		},
		Services:   []route.Service{{Name: "plain", MaxConns: 96}, {Name: "model", MaxConns: 200}},
		Workspaces: []route.Workspace{{Name: "weavers", Priority: -1, Keys: []string{"key-1"}}},
	}
}

// newRig starts a gateway and scripted endpoints. An endpoint's ID is its service, a dash and a number.
func newRig(scripts map[string]func(int, *http.Request) standin.Script) *rig {
	r := &rig{
		net: memnet.New(), holder: route.NewHolder(), fleet: fleet.New(fleet.Options{Hall: "ikeja"}),
		endpoints: map[string]*standin.Endpoint{}, entries: map[string]fleet.Endpoint{}, log: &logBuffer{},
	}
	r.holder.Apply(route.NewTable(declaration()))
	logger := log.New(r.log)
	r.pool = conn.NewPool(conn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		time.Sleep(time.Duration(r.dialDelay.Load()))
		if c := r.next.Swap(nil); c != nil {
			return c, nil
		}
		return r.net.Dial(ctx, "tcp", address)
	}})
	r.gateway = gateway.New(gateway.Options{
		Holder: r.holder, Fleet: r.fleet, Pool: r.pool, Codec: platform.HeaderCodec{}, Deadlines: clock.NewDeadlines(), Quarantine: quarantine.NewTracker(quarantine.Options{Host: "h", Probe: r.pool.Probe, CountEndpoints: r.fleet.Count, Logger: logger}), Telemetry: telemetry.MetricsOnly(), Logger: logger,
		Upgrades:   upgrade.NewTracker(upgrade.Options{Host: "h", Fleet: r.fleet, Logger: logger, Watch: noClock{}, Hosts: func() int { return 1 }}),
		RetryRatio: 0.9,
	})
	n := 10
	for id, script := range scripts {
		n++
		service, _, _ := splitID(id)
		address := fmt.Sprintf("10.0.1.%d:80", n)
		e := standin.NewEndpoint(id, script)
		r.endpoints[id] = e
		l := r.net.Listen(address)
		r.listeners = append(r.listeners, l)
		go e.Serve(l)
		r.entries[id] = fleet.Endpoint{ID: id, Service: service, Address: address, Hall: "ikeja", Version: "v1", Slots: 8}
		r.relist(id)
	}
	r.server = r.gateway.Server()
	l := r.net.Listen(gatewayAddress)
	go func() { _ = r.server.Serve(r.gateway.Wrap(l)) }()
	return r
}

// grantTurns makes the gateway's host, as the only one, grant turns to suspect requests.
func (r *rig) grantTurns() {
	r.gateway.RateLimits = ratelimit.NewLimiter(ratelimit.Options{
		Host: "h", Fleet: r.fleet, MembersKnown: func() bool { return true }, Members: func() []ratelimit.Member { return nil }, Logger: log.New(r.log),
	})
}

// relist adds endpoints to the fleet, also ones that were removed.
func (r *rig) relist(ids ...string) {
	for _, id := range ids {
		r.fleet.Put(r.entries[id])
	}
}

func splitID(id string) (service, number string, ok bool) {
	for i := range id {
		if id[i] == '-' {
			return id[:i], id[i+1:], true
		}
	}
	return id, "", false
}

// forgetConfig removes the gateway's configuration, as after a start, and returns it.
func (r *rig) forgetConfig() *route.Table {
	table := r.holder.Table()
	r.holder = route.NewHolder()
	r.gateway.Holder = r.holder
	return table
}

// stop ends everything that the rig started.
func (r *rig) stop() {
	_ = r.server.Close()
	for _, l := range r.listeners {
		_ = l.Close()
	}
	time.Sleep(time.Minute)
	r.pool.CloseExpired()
	time.Sleep(time.Minute)
}

// runs returns the number of requests that reached endpoints.
func (r *rig) runs() int {
	n := 0
	for _, e := range r.endpoints {
		n += len(e.Requests())
	}
	return n
}

// caller is a raw connection to the gateway.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (r *rig) call() *caller {
	c, err := r.net.Dial(context.Background(), "tcp", gatewayAddress)
	Expect(err).NotTo(HaveOccurred())
	return &caller{Conn: c, reader: bufio.NewReader(c)}
}

// send writes raw bytes without waiting for them to be read.
func (c *caller) send(text string) { go func() { _, _ = io.WriteString(c, text) }() }

// read reads a response.
func (c *caller) read() standin.Response { return standin.ReadResponse(c.reader) }

// request returns a request of a workspace.
func request(method, path, body string) standin.Request {
	return standin.NewRequest(method, path, body)
}

// ask sends one request on a new connection and returns the response.
func (r *rig) ask(req standin.Request) standin.Response {
	c := r.call()
	defer func() { _ = c.Close() }()
	c.send(req.Text())
	return c.read()
}
