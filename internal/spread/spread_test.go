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
	. "github.com/onsi/ginkgo/v2"
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

// testWait is the wait of sites whose configuration has to be in force in three
// seconds.
const testWait = time.Second

const storeAddress = "10.9.0.1:80"

// host is a host that follows a table.
type host struct {
	name    string
	address string
	watcher *spread.Watcher
	server  *grpc.Server
	cancel  context.CancelFunc
	door    atomic.Bool // the store turns this host away

	mu     sync.Mutex // guards all below
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

// hall is several hosts at one store.
type hall struct {
	net    *memnet.Network
	store  *standin.Store
	server *http.Server
	hosts  []*host
	cut    []*host // still to be stopped
}

// reader returns the place of the host that the others ask first.
func (h *hall) reader() int {
	first, least := 0, uint64(math.MaxUint64)
	for i, n := range h.hosts {
		if rank := xxhash.Sum64String("0/" + n.name); rank < least {
			first, least = i, rank
		}
	}
	return first
}

func (h *hall) start(i int, first bool) *host {
	n := &host{name: fmt.Sprint("host-", i), address: fmt.Sprintf("10.0.0.%d:7340", i)}
	client := platform.NewStore(storeAddress, func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := h.net.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &turnedConn{Conn: c, away: &n.door}, nil
	})
	n.watcher = spread.NewWatcher(spread.Options{
		Host: n.name, Address: n.address, Cores: 1, First: first, Wait: testWait, Seeds: []string{"10.0.0.1:7340", "10.0.0.77:7340"}, Tables: client, Store: client,
		Logger: log.New(io.Discard), Credentials: insecure.NewCredentials(),
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return h.net.Dial(ctx, "tcp", address) },
	})
	n.server = n.watcher.Server(insecure.NewCredentials())
	l := h.net.Listen(n.address)
	go func() { _ = n.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.watcher.Run(ctx)
	go follow.Run(ctx, follow.Options{Watch: n.watcher, Table: "t", Logger: log.New(io.Discard)}, n)
	return n
}

func (h *host) stop() {
	h.cancel()
	h.server.Stop()
	h.watcher.Close()
}

// turnedConn is a connection to a store that may turn its host away.
type turnedConn struct {
	net.Conn
	away *atomic.Bool
}

// Read implements net.Conn. Answers to calls that were made before the host was
// turned away never come.
func (c *turnedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.away.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *turnedConn) Write(p []byte) (int, error) {
	if c.away.Load() {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// withHall runs a body beside several hosts, under the paused clock.
func withHall(count int, body func(h *hall)) {
	suite.Paused(func() {
		h := &hall{net: memnet.New(), store: standin.NewStore()}
		h.server = &http.Server{Handler: h.store}
		l := h.net.Listen(storeAddress)
		go func() { _ = h.server.Serve(l) }()
		h.store.Put("t", "k", []byte("0"))
		for i := range count {
			h.hosts = append(h.hosts, h.start(i, true))
		}
		time.Sleep(10 * time.Second)
		body(h)
		h.store.Break(standin.Healthy)
		for _, n := range append(h.hosts, h.cut...) {
			n.stop()
		}
		_ = h.server.Close()
		time.Sleep(5 * time.Minute)
	})
}

// expectEverywhere waits for a time and expects a value at hosts.
func expectEverywhere(hosts []*host, value string, within time.Duration) {
	time.Sleep(within)
	for i, n := range hosts {
		ExpectWithOffset(1, n.value("k")).To(Equal(value), "host %d", i)
	}
}

// turnAway has the store turn some hosts away while it changes.
func turnAway(h *hall, turned int) {
	for _, n := range h.hosts[:turned] {
		n.door.Store(true)
	}
	h.store.Forget()
	for i := range 4 {
		h.store.Put("t", "k", fmt.Append(nil, i))
		expectEverywhere(h.hosts, fmt.Sprint(i), 2500*time.Millisecond)
	}
	h.store.Drop("t", "k")
	expectEverywhere(h.hosts, "", 2500*time.Millisecond)
	for _, n := range h.hosts[:turned] {
		n.door.Store(false)
	}
	h.store.Put("t", "k", []byte("after"))
	expectEverywhere(h.hosts, "after", 2500*time.Millisecond)
}

var _ = Describe("hosts that pass on the store", func() {
	It("all see a change at once, for few calls", func() {
		withHall(12, func(h *hall) {
			before := h.store.Feeds()
			for i := range 20 {
				h.store.Put("t", "k", fmt.Append(nil, i))
				time.Sleep(time.Second)
			}
			expectEverywhere(h.hosts, "19", 300*time.Millisecond)
			Expect(h.store.Feeds() - before).To(BeNumerically("<", 60))
		})
	})

	It("see a change soon when those that read the store die, one after the other", func() {
		withHall(6, func(h *hall) {
			for i := 0; len(h.hosts) > 1; i++ {
				h.hosts[0].stop()
				h.hosts = h.hosts[1:]
				h.store.Put("t", "k", fmt.Append(nil, i))
				expectEverywhere(h.hosts, fmt.Sprint(i), 2*time.Second)
			}
		})
	})

	It("see a change soon when hosts are silent", func() {
		withHall(5, func(h *hall) {
			for i, n := range h.hosts[:4] {
				h.net.Cut(n.address, true)
				h.store.Put("t", "k", fmt.Append(nil, i))
				expectEverywhere(h.hosts, fmt.Sprint(i), 3*time.Second)
			}
		})
	})

	It("are right again soon after the store was away, and did not storm it", func() {
		withHall(12, func(h *hall) {
			before := h.store.Feeds() + h.store.Reads()
			h.store.Break(standin.Busy)
			h.store.Put("t", "k", []byte("1"))
			time.Sleep(20 * time.Second)
			Expect(h.store.Feeds() + h.store.Reads() - before).To(BeNumerically("<", 12*20))
			h.store.Break(standin.Healthy)
			expectEverywhere(h.hosts, "1", 2900*time.Millisecond)
		})
	})

	for turned := 1; turned <= 3; turned++ {
		for phase := time.Duration(0); phase < 2*time.Second; phase += 400 * time.Millisecond {
			It(fmt.Sprintf("see changes while the store turns %d of 4 away, %s into a wait", turned, phase), func() {
				withHall(4, func(h *hall) {
					time.Sleep(phase)
					turnAway(h, turned)
				})
			})
		}
	}

	It("pass on a removal that came before the reader's own record", func() {
		withHall(6, func(h *hall) {
			h.store.Put("t", "gone", []byte("x"))
			expectEverywhere(h.hosts, "0", time.Second)
			reader := h.reader()
			// The host that comes next knows the table from before the removal, or
			// from after it; either way it may tell others nothing of it.
			h.store.Drop("t", "gone")
			h.hosts[reader].stop()
			h.hosts = append(h.hosts[:reader], h.hosts[reader+1:]...)
			time.Sleep(2500 * time.Millisecond)
			for i, n := range h.hosts {
				Expect(n.value("gone")).To(BeEmpty(), "host %d", i)
			}
		})
	})

	It("pass on a long table whole, and then its changes", func() {
		withHall(4, func(h *hall) {
			for i := range 600 {
				h.store.Put("t", fmt.Sprint("row-", i), []byte("x"))
			}
			time.Sleep(3 * time.Second)
			reads := h.store.Reads()
			late := h.start(9, false)
			h.hosts = append(h.hosts, late)
			time.Sleep(2 * time.Second)
			Expect(late.value("row-599")).To(Equal("x"))
			// The list of hosts in two pages; the table has two hundred.
			Expect(h.store.Reads() - reads).To(BeNumerically("<=", 3))
			reads = h.store.Reads()
			h.store.Put("t", "row-5", []byte("y"))
			h.store.Drop("t", "row-6")
			time.Sleep(time.Second)
			for i, n := range h.hosts {
				Expect(n.value("row-5")).To(Equal("y"), "host %d", i)
				Expect(n.value("row-6")).To(BeEmpty(), "host %d", i)
			}
			Expect(h.store.Reads()).To(Equal(reads))
		})
	})

	for silent := 1; silent <= 3; silent++ {
		for phase := time.Duration(0); phase < time.Second; phase += 200 * time.Millisecond {
			It(fmt.Sprintf("see a change in time when the first %d fall silent at once, %s into a wait", silent, phase), func() {
				withHall(7, func(h *hall) {
					time.Sleep(phase)
					for range silent {
						reader := h.reader()
						h.net.Cut(h.hosts[reader].address, true)
						h.hosts[reader].door.Store(true)
						h.cut = append(h.cut, h.hosts[reader])
						h.hosts = append(h.hosts[:reader], h.hosts[reader+1:]...)
					}
					h.store.Put("t", "k", []byte("1"))
					expectEverywhere(h.hosts, "1", 2400*time.Millisecond)
				})
			})
		}
	}

	It("start for few calls, and serve from each other's knowledge after a restart", func() {
		withHall(12, func(h *hall) {
			Expect(h.store.Writes()).To(Equal(12))
			reads := h.store.Reads()
			for i := range 6 {
				h.hosts[i].stop()
				h.hosts[i] = h.start(i, false)
			}
			time.Sleep(2 * time.Second)
			for i, n := range h.hosts {
				Expect(n.value("k")).To(Equal("0"), "host %d", i)
			}
			// The list of hosts in four pages each, and the table for a few.
			Expect(h.store.Reads() - reads).To(BeNumerically("<=", 6*4+4))
			Expect(h.store.Writes()).To(Equal(12))
		})
	})

	It("know the table soon after all lost power, while those that are asked first are still dark", func() {
		withHall(8, func(h *hall) {
			first := h.hosts[h.reader()]
			for _, n := range h.hosts {
				n.stop()
			}
			h.net.Darken(first.address, true)
			var up []*host
			for i, n := range h.hosts {
				if n != first {
					up = append(up, h.start(i, false))
				}
			}
			h.hosts = up
			expectEverywhere(up, "0", 350*time.Millisecond)
		})
	})

	It("read on after the history was dropped", func() {
		withHall(4, func(h *hall) {
			h.store.Break(standin.LoseFeed)
			h.store.Put("t", "k", []byte("1"))
			h.store.Drop("t", "k")
			h.store.Put("t", "k", []byte("2"))
			h.store.Forget()
			h.store.Break(standin.Healthy)
			expectEverywhere(h.hosts, "2", 2*time.Second)
		})
	})

	It("let a host that starts while the store is away read from others", func() {
		withHall(3, func(h *hall) {
			h.store.Put("t", "k", []byte("1"))
			expectEverywhere(h.hosts, "1", time.Second)
			h.store.Break(standin.Silent)
			time.Sleep(5 * time.Second)
			late := h.start(9, false)
			h.hosts = append(h.hosts, late)
			time.Sleep(6 * time.Second)
			Expect(late.value("k")).To(Equal("1"))
			h.store.Break(standin.Healthy)
			h.store.Put("t", "k", []byte("2"))
			expectEverywhere(h.hosts, "2", 3*time.Second)
		})
	})

	It("send others elsewhere before they stop", func() {
		withHall(4, func(h *hall) {
			for _, n := range h.hosts[:3] {
				n.watcher.Stop()
			}
			h.store.Put("t", "k", []byte("1"))
			expectEverywhere(h.hosts[3:], "1", time.Second)
			Expect(h.store.Value("hosts", "host-0")).NotTo(BeNil())
		})
	})

	It("write and read little when they start again", func() {
		withHall(4, func(h *hall) {
			writes, reads := h.store.Writes(), h.store.Reads()
			Expect(writes).To(Equal(4))
			h.hosts[0].stop()
			h.hosts[0] = h.start(0, false)
			time.Sleep(5 * time.Second)
			Expect(h.store.Writes()).To(Equal(writes))
			// The list of hosts in two pages; the table comes from another host.
			Expect(h.store.Reads() - reads).To(BeNumerically("<=", 3))
		})
	})
})
