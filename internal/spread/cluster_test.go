package spread_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"quaybarrow/internal/follow"
	"quaybarrow/internal/spread"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/store"
	"quaybarrow/platform"
	"quaybarrow/platform/standin"
)

// testWait is the wait of deployments whose configuration has to be in force within three seconds.
const testWait = time.Second

const storeAddress = "10.9.0.1:80"

// host is a host that follows a table.
type host struct {
	name     string
	address  string
	watcher  *spread.Watcher
	server   *grpc.Server
	cancel   context.CancelFunc
	rejected atomic.Bool // the store rejects this host

	mu     sync.Mutex // guards the fields below
	values map[string]string
}

func (h *host) Reset(rows []store.Row, _ bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.values = map[string]string{}
	for _, r := range rows {
		h.values[r.Key] = string(r.Value)
	}
}

func (h *host) Change(changes []store.Change, _ bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range changes {
		if c.Deleted {
			delete(h.values, c.Key)
		} else {
			h.values[c.Key] = string(c.Value)
		}
	}
}

func (h *host) Confirm() {}

func (h *host) value(key string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values[key]
}

// cluster is several hosts that share one store.
type cluster struct {
	net    *memnet.Network
	store  *standin.Store
	server *http.Server
	hosts  []*host
	cutOff []*host // removed from hosts, still to be stopped
}

// reader returns the index of the host that the others ask first.
func (c *cluster) reader() int {
	first, least := 0, uint64(math.MaxUint64)
	for i, h := range c.hosts {
		if rank := xxhash.Sum64String("0/" + h.name); rank < least {
			first, least = i, rank
		}
	}
	return first
}

func (c *cluster) start(i int, first bool) *host {
	h := &host{name: fmt.Sprint("host-", i), address: fmt.Sprintf("10.0.0.%d:7340", i)}
	client := platform.NewStore(storeAddress, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := c.net.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &rejectingConn{Conn: conn, rejected: &h.rejected}, nil
	})
	h.watcher = spread.NewWatcher(spread.Options{
		Host: h.name, Address: h.address, Cores: 1, FirstStart: first, Wait: testWait, Seeds: []string{"10.0.0.1:7340", "10.0.0.77:7340"}, Tables: client, Store: client,
		Logger: log.New(io.Discard), Credentials: insecure.NewCredentials(),
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return c.net.Dial(ctx, "tcp", address) },
	})
	h.server = h.watcher.Server(insecure.NewCredentials())
	l := c.net.Listen(h.address)
	go func() { _ = h.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go h.watcher.Run(ctx)
	go follow.Run(ctx, follow.Options{Watch: h.watcher, Table: "t", Logger: log.New(io.Discard)}, h)
	return h
}

func (h *host) stop() {
	h.cancel()
	h.server.Stop()
	h.watcher.Close()
}

// rejectingConn is a connection to a store that may reject its host.
type rejectingConn struct {
	net.Conn
	rejected *atomic.Bool
}

// Read implements net.Conn. Answers to calls that were made before the host was rejected never
// arrive.
func (c *rejectingConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.rejected.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *rejectingConn) Write(p []byte) (int, error) {
	if c.rejected.Load() {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// withCluster runs body with several hosts under the paused clock.
func withCluster(count int, body func(c *cluster)) {
	suite.Paused(func() {
		c := &cluster{net: memnet.New(), store: standin.NewStore()}
		c.server = &http.Server{Handler: c.store}
		l := c.net.Listen(storeAddress)
		go func() { _ = c.server.Serve(l) }()
		c.store.Put("t", "k", []byte("0"))
		for i := range count {
			c.hosts = append(c.hosts, c.start(i, true))
		}
		time.Sleep(10 * time.Second)
		body(c)
		c.store.SetFault(standin.Healthy)
		for _, h := range append(c.hosts, c.cutOff...) {
			h.stop()
		}
		_ = c.server.Close()
		time.Sleep(5 * time.Minute)
	})
}

// expectOnAll sleeps for within, then expects the value at all given hosts.
func expectOnAll(hosts []*host, value string, within time.Duration) {
	time.Sleep(within)
	for i, h := range hosts {
		ExpectWithOffset(1, h.value("k")).To(Equal(value), "host %d", i)
	}
}

// rejectHosts lets the store reject the first count hosts while the table changes.
func rejectHosts(c *cluster, count int) {
	for _, h := range c.hosts[:count] {
		h.rejected.Store(true)
	}
	c.store.Compact()
	for i := range 4 {
		c.store.Put("t", "k", fmt.Append(nil, i))
		expectOnAll(c.hosts, fmt.Sprint(i), 2500*time.Millisecond)
	}
	c.store.Delete("t", "k")
	expectOnAll(c.hosts, "", 2500*time.Millisecond)
	for _, h := range c.hosts[:count] {
		h.rejected.Store(false)
	}
	c.store.Put("t", "k", []byte("after"))
	expectOnAll(c.hosts, "after", 2500*time.Millisecond)
}
