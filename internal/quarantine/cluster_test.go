package quarantine_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform"
	"quaybarrow/platform/standin"
)

// testHosts are the books of some testHosts that tell each other and share a store.
type testHosts struct {
	net        *memnet.Network
	store      *standin.Store
	clock      clock.Steady // that all share
	log        *logBuffer
	listening  map[string]bool // addresses that take connections
	crashCount int             // endpoints that have crashed

	mu          sync.Mutex // guards all below
	trackers    []*quarantine.Tracker
	processes   []*hostProcess
	partitioned map[int]bool // hosts that nobody reaches
	calls       int          // of hosts to others
}

// hostProcess is a host's, until it is killed.
type hostProcess struct {
	cancel  context.CancelFunc
	working sync.WaitGroup
}

// peerClient reaches the other hosts.
type peerClient struct {
	hosts *testHosts
	from  int
}

var errPartitioned = errors.New("no answer")

// Tell implements quarantine.Caller.
func (c peerClient) Tell(ctx context.Context, address string, n quarantine.Update) (quarantine.Update, error) {
	var to int
	if _, err := fmt.Sscanf(address, "host-%d", &to); err != nil {
		return quarantine.Update{}, err
	}
	h := c.hosts
	h.mu.Lock()
	h.calls++
	cut, book := h.partitioned[to] || h.partitioned[c.from], h.trackers[to]
	h.mu.Unlock()
	if cut || book == nil {
		<-ctx.Done()
		return quarantine.Update{}, errPartitioned
	}
	return book.HandleUpdate(ctx, n)
}

// members are the other hosts, from the next one on.
func (c peerClient) members() []quarantine.Member {
	c.hosts.mu.Lock()
	defer c.hosts.mu.Unlock()
	var list []quarantine.Member
	for i := 1; i < len(c.hosts.trackers); i++ {
		name := fmt.Sprint("host-", (c.from+i)%len(c.hosts.trackers))
		list = append(list, quarantine.Member{Name: name, Address: name})
	}
	return list
}

// callCount counts the messages of hosts to others.
func (h *testHosts) callCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls
}

func (h *testHosts) isPartitioned(i int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partitioned[i]
}

// logBuffer counts what was logged.
type logBuffer struct {
	mu   sync.Mutex // guards text
	text string
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text += string(p)
	return len(p), nil
}

func (l *logBuffer) contents() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text
}

const storeAddress = "10.9.0.1:80"

// withHosts runs a body beside hosts.
func withHosts(count int, body func(h *testHosts)) {
	suite.Paused(func() {
		h := &testHosts{
			net: memnet.New(), store: standin.NewStore(), clock: clock.NewSteady(), log: &logBuffer{}, listening: map[string]bool{}, partitioned: map[int]bool{},
			trackers: make([]*quarantine.Tracker, count), processes: make([]*hostProcess, count),
		}
		server := &http.Server{Handler: h.store}
		l := h.net.Listen(storeAddress)
		go func() { _ = server.Serve(l) }()
		for i := range count {
			h.start(i)
		}
		time.Sleep(time.Second)
		body(h)
		for i := range count {
			h.kill(i)
		}
		_ = server.Close()
		time.Sleep(time.Minute)
	})
}

// start starts a host, also again.
func (h *testHosts) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	tables := platform.NewStore(storeAddress, h.net.Dial)
	peers := peerClient{h, i}
	b := quarantine.NewTracker(quarantine.Options{
		Host: fmt.Sprint("host-", i), Probe: h.probe, CountEndpoints: func(string) int { return 12 }, Tables: tables, Logger: log.New(h.log),
		Members: peers.members, Peers: peers, IsFirstHost: func() bool { return i == 0 },
		SharedNow: func() (time.Duration, bool) { return h.clock.Now(), true },
	})
	process := &hostProcess{cancel: cancel}
	process.working.Go(func() { b.Run(ctx) })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trackers[i], h.processes[i] = b, process
}

// kill ends a host; what it has not told is lost.
func (h *testHosts) kill(i int) {
	h.mu.Lock()
	process := h.processes[i]
	h.trackers[i] = nil
	h.mu.Unlock()
	if process == nil {
		return
	}
	process.cancel()
	process.working.Wait()
}

// restartAll ends all hosts and starts them again.
func (h *testHosts) restartAll() {
	for i := range h.trackers {
		h.kill(i)
	}
	for i := range h.trackers {
		h.start(i)
	}
	time.Sleep(crashSpacing)
}

// setPartitioned has nobody reach a host, or ends that.
func (h *testHosts) setPartitioned(i int, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partitioned[i] = on
}

// probe is how hosts open connections to endpoints.
func (h *testHosts) probe(_ context.Context, address string, _ time.Duration) (bool, error) {
	if h.listening[address] {
		return true, nil
	}
	return false, syscall.ECONNREFUSED
}

// crash has requests run at an endpoint that crashes, as a host sees it.
func (h *testHosts) crash(host int, endpoint string, requests ...quarantine.Fingerprint) {
	for _, f := range requests {
		Expect(h.trackers[host].ConnectionBroke(context.Background(), quarantine.BrokenAttempt{Endpoint: endpoint, Address: endpoint, Service: "s", Request: f, Run: quarantine.Run{Lasted: 80 * time.Millisecond}})).To(BeTrue())
	}
}

// crashThrice has endpoints crash under a request at several hosts.
func (h *testHosts) crashThrice(f quarantine.Fingerprint) {
	for i := range 3 {
		h.crashCount++
		h.crash(i%len(h.trackers), fmt.Sprint("again-", h.crashCount), f)
		time.Sleep(crashSpacing)
	}
}

// quarantined tells which hosts have a request in quarantine.
func (h *testHosts) quarantined(f quarantine.Fingerprint) []bool {
	var held []bool
	for _, b := range h.trackers {
		held = append(held, b.Status(f).Quarantined)
	}
	return held
}

// fingerprintOf is the fingerprint of one of many requests.
func fingerprintOf(n uint64) (f quarantine.Fingerprint) {
	binary.BigEndian.PutUint64(f[:], n)
	return f
}
