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

// testHosts are the trackers of several hosts that exchange updates and share a store.
type testHosts struct {
	net        *memnet.Network
	store      *standin.Store
	clock      clock.Steady // shared by all hosts
	log        *logBuffer
	listening  map[string]bool // addresses that accept connections
	crashCount int             // endpoints that have crashed in crashThrice

	mu          sync.Mutex // guards all fields below
	trackers    []*quarantine.Tracker
	processes   []*hostProcess
	partitioned map[int]bool // hosts that no other host reaches
	calls       int          // from hosts to others
}

// hostProcess is a running host, until it is killed.
type hostProcess struct {
	cancel  context.CancelFunc
	working sync.WaitGroup
}

// peerClient sends updates to the other hosts.
type peerClient struct {
	hosts *testHosts
	from  int
}

var errPartitioned = errors.New("no answer")

// Tell implements quarantine.PeerClient.
func (c peerClient) Tell(ctx context.Context, address string, n quarantine.Update) (quarantine.Update, error) {
	var to int
	if _, err := fmt.Sscanf(address, "host-%d", &to); err != nil {
		return quarantine.Update{}, err
	}
	h := c.hosts
	h.mu.Lock()
	h.calls++
	cut, tracker := h.partitioned[to] || h.partitioned[c.from], h.trackers[to]
	h.mu.Unlock()
	if cut || tracker == nil {
		<-ctx.Done()
		return quarantine.Update{}, errPartitioned
	}
	return tracker.HandleUpdate(ctx, n)
}

// members returns the other hosts, starting with the next one.
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

// callCount returns the number of messages from hosts to others.
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

// logBuffer collects the log output.
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

// withHosts runs body with a number of running hosts.
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

// start starts or restarts a host.
func (h *testHosts) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	tables := platform.NewStore(storeAddress, h.net.Dial)
	peers := peerClient{h, i}
	tracker := quarantine.NewTracker(quarantine.Options{
		Host: fmt.Sprint("host-", i), Probe: h.probe, CountEndpoints: func(string) int { return 12 }, Tables: tables, Logger: log.New(h.log),
		Members: peers.members, Peers: peers, IsFirstHost: func() bool { return i == 0 },
		SharedNow: func() (time.Duration, bool) { return h.clock.Now(), true },
	})
	process := &hostProcess{cancel: cancel}
	process.working.Go(func() { tracker.Run(ctx) })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trackers[i], h.processes[i] = tracker, process
}

// kill stops a host; what it has not sent is lost.
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

// restartAll stops all hosts and starts them again.
func (h *testHosts) restartAll() {
	for i := range h.trackers {
		h.kill(i)
	}
	for i := range h.trackers {
		h.start(i)
	}
	time.Sleep(crashSpacing)
}

// setPartitioned cuts a host off from all others, or reconnects it.
func (h *testHosts) setPartitioned(i int, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partitioned[i] = on
}

// probe is the probe that hosts use for endpoints.
func (h *testHosts) probe(_ context.Context, address string, _ time.Duration) (bool, error) {
	if h.listening[address] {
		return true, nil
	}
	return false, syscall.ECONNREFUSED
}

// crash reports to a host that an endpoint crashed while it ran the requests.
func (h *testHosts) crash(host int, endpoint string, requests ...quarantine.Fingerprint) {
	for _, f := range requests {
		Expect(h.trackers[host].ConnectionBroke(context.Background(), quarantine.BrokenAttempt{Endpoint: endpoint, Address: endpoint, Service: "s", Request: quarantine.Request{Fingerprint: f}, Run: quarantine.Run{Lasted: 80 * time.Millisecond}})).To(BeTrue())
	}
}

// crashThrice has endpoints crash under a request, as seen by several hosts.
func (h *testHosts) crashThrice(f quarantine.Fingerprint) {
	for i := range 3 {
		h.crashCount++
		h.crash(i%len(h.trackers), fmt.Sprint("again-", h.crashCount), f)
		time.Sleep(crashSpacing)
	}
}

// quarantined returns for each host whether a request is in quarantine there.
func (h *testHosts) quarantined(f quarantine.Fingerprint) []bool {
	var quarantined []bool
	for _, b := range h.trackers {
		quarantined = append(quarantined, b.Status(quarantine.Request{Fingerprint: f}).Quarantined)
	}
	return quarantined
}

// fingerprintOf returns the fingerprint of the n-th request.
func fingerprintOf(n uint64) (f quarantine.Fingerprint) {
	binary.BigEndian.PutUint64(f[:], n)
	return f
}
