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

// hosts are the books of some hosts that tell each other and share a store.
type hosts struct {
	net   *memnet.Network
	store *standin.Store
	clock clock.Steady // that all share
	log   *lines
	up    map[string]bool // addresses that take connections
	count int             // endpoints that have crashed

	mu    sync.Mutex // guards all below
	books []*quarantine.Tracker
	lives []*life
	cut   map[int]bool // hosts that nobody reaches
	calls int          // of hosts to others
}

// life is a host's, until it is killed.
type life struct {
	cancel  context.CancelFunc
	working sync.WaitGroup
}

// caller reaches the other hosts.
type caller struct {
	hosts *hosts
	from  int
}

var errCut = errors.New("no answer")

// Tell implements quarantine.Caller.
func (c caller) Tell(ctx context.Context, address string, n quarantine.Update) (quarantine.Update, error) {
	var to int
	if _, err := fmt.Sscanf(address, "host-%d", &to); err != nil {
		return quarantine.Update{}, err
	}
	h := c.hosts
	h.mu.Lock()
	h.calls++
	cut, book := h.cut[to] || h.cut[c.from], h.books[to]
	h.mu.Unlock()
	if cut || book == nil {
		<-ctx.Done()
		return quarantine.Update{}, errCut
	}
	return book.HandleUpdate(ctx, n)
}

// members are the other hosts, from the next one on.
func (c caller) members() []quarantine.Member {
	c.hosts.mu.Lock()
	defer c.hosts.mu.Unlock()
	var list []quarantine.Member
	for i := 1; i < len(c.hosts.books); i++ {
		name := fmt.Sprint("host-", (c.from+i)%len(c.hosts.books))
		list = append(list, quarantine.Member{Name: name, Address: name})
	}
	return list
}

// told counts the messages of hosts to others.
func (h *hosts) told() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls
}

func (h *hosts) isCut(i int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cut[i]
}

// lines counts what was logged.
type lines struct {
	mu   sync.Mutex // guards text
	text string
}

// Write implements io.Writer.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text += string(p)
	return len(p), nil
}

func (l *lines) read() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text
}

const storeAddress = "10.9.0.1:80"

// sharing runs a body beside hosts.
func sharing(count int, body func(h *hosts)) {
	suite.Paused(func() {
		h := &hosts{
			net: memnet.New(), store: standin.NewStore(), clock: clock.NewSteady(), log: &lines{}, up: map[string]bool{}, cut: map[int]bool{},
			books: make([]*quarantine.Tracker, count), lives: make([]*life, count),
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
func (h *hosts) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	client := platform.NewStore(storeAddress, h.net.Dial)
	to := caller{h, i}
	b := quarantine.NewTracker(quarantine.Options{
		Host: fmt.Sprint("host-", i), Probe: h.reach, CountEndpoints: func(string) int { return 12 }, Tables: client, Logger: log.New(h.log),
		Members: to.members, Peers: to, IsFirstHost: func() bool { return i == 0 },
		SharedNow: func() (time.Duration, bool) { return h.clock.Now(), true },
	})
	l := &life{cancel: cancel}
	l.working.Go(func() { b.Run(ctx) })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.books[i], h.lives[i] = b, l
}

// kill ends a host; what it has not told is lost.
func (h *hosts) kill(i int) {
	h.mu.Lock()
	l := h.lives[i]
	h.books[i] = nil
	h.mu.Unlock()
	if l == nil {
		return
	}
	l.cancel()
	l.working.Wait()
}

// killAll ends all hosts and starts them again.
func (h *hosts) killAll() {
	for i := range h.books {
		h.kill(i)
	}
	for i := range h.books {
		h.start(i)
	}
	time.Sleep(apart)
}

// cutOff has nobody reach a host, or ends that.
func (h *hosts) cutOff(i int, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut[i] = on
}

// reach is how hosts open connections to endpoints.
func (h *hosts) reach(_ context.Context, address string, _ time.Duration) (bool, error) {
	if h.up[address] {
		return true, nil
	}
	return false, syscall.ECONNREFUSED
}

// crash has requests run at an endpoint that crashes, as a host sees it.
func (h *hosts) crash(host int, endpoint string, requests ...quarantine.Fingerprint) {
	for _, f := range requests {
		Expect(h.books[host].ConnectionBroke(context.Background(), quarantine.BrokenAttempt{Endpoint: endpoint, Address: endpoint, Service: "s", Request: f, Run: quarantine.Run{Lasted: 80 * time.Millisecond}})).To(BeTrue())
	}
}

// thrice has endpoints crash under a request at several hosts.
func (h *hosts) thrice(f quarantine.Fingerprint) {
	for i := range 3 {
		h.count++
		h.crash(i%len(h.books), fmt.Sprint("again-", h.count), f)
		time.Sleep(apart)
	}
}

// quarantined tells which hosts have a request in quarantine.
func (h *hosts) quarantined(f quarantine.Fingerprint) []bool {
	var held []bool
	for _, b := range h.books {
		held = append(held, b.Status(f).Quarantined)
	}
	return held
}

// printOf is the fingerprint of one of many requests.
func printOf(n uint64) (f quarantine.Fingerprint) {
	binary.BigEndian.PutUint64(f[:], n)
	return f
}
