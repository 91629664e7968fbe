package ratelimit_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/ratelimit"
	"quaybarrow/internal/telemetry"
	"quaybarrow/internal/wake"
)

// Errors of calls between hosts.
var (
	errGone   = errors.New("connection refused")
	errSilent = errors.New("no answer")
)

// simulation is a set of hosts that send requests to the endpoints of one service, some of which
// announce limits.
type simulation struct {
	scenario
	began    clock.Instant
	simHosts []*simHost

	mu     sync.Mutex // guards all below
	random *rand.Rand
	sends  map[string][]arrival
	sent   int // number of requests sent to endpoints
	calls  int // number of calls between hosts
}

// strategy is how hosts respect limits.
type strategy int

// Strategies.
const (
	lending   strategy = iota // as the package does
	splitting                 // each host uses a fixed equal part of each limit
)

// scenario configures a simulation.
type scenario struct {
	strategy         strategy
	hosts            int
	limitedEndpoints int     // number of endpoints that announce a limit
	rate             float64 // limit that they announce, in requests a second
	requestRate      float64 // requests a second, over all hosts
	hotShare         float64 // share of the requests that all come to host 0
	// Intervals at which a host is killed, frozen or cut off; 0 for never.
	killEvery     time.Duration
	freezeEvery   time.Duration
	cutEvery      time.Duration
	cutAll        bool // all hosts are cut off from each other once
	targetLenders bool // faults hit the hosts that lend
	duration      time.Duration
	seed          uint64
}

// Parameters of simulations.
const (
	simEndpoints    = 12
	linkDelay       = 2 * time.Millisecond
	answerTime      = 60 * time.Millisecond
	faultDuration   = 2 * time.Second
	requestDeadline = 2 * time.Second
	simService      = "s"
)

// simHost is a host of a simulation.
type simHost struct {
	sim    *simulation
	number int

	mu          sync.Mutex // guards all below
	fleet       *fleet.Fleet
	limiter     *ratelimit.Limiter
	cancel      context.CancelFunc
	workers     sync.WaitGroup
	down        bool
	cut         bool
	frozenUntil clock.Instant
	faultyUntil clock.Instant // end of the last fault
}

func newSimulation(p scenario) *simulation {
	s := &simulation{scenario: p, random: rand.New(rand.NewPCG(p.seed, 7)), began: clock.Now(), sends: map[string][]arrival{}}
	for i := range p.hosts {
		s.simHosts = append(s.simHosts, &simHost{sim: s, number: i})
	}
	for _, h := range s.simHosts {
		h.start()
	}
	return s
}

func (s *simulation) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

func endpointName(i int) string { return fmt.Sprint("e", i) }

// start starts the host. Its lists of hosts and endpoints are known at once.
func (h *simHost) start() {
	ctx, cancel := context.WithCancel(context.Background())
	f := fleet.New(fleet.Options{Choosers: func() fleet.Choosers { return fleet.Choosers{Hosts: h.sim.hosts, Advisers: 1} }, Random: h.sim.draw})
	for i := range simEndpoints {
		f.Put(fleet.Endpoint{ID: endpointName(i), Service: simService, Version: "v1", Slots: 64})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fleet, h.cancel, h.down, h.cut = f, cancel, false, false
	if h.sim.strategy == lending {
		h.limiter = ratelimit.NewLimiter(ratelimit.Options{
			Host: h.name(), Fleet: f, Members: h.members, MembersKnown: func() bool { return true }, Peers: h, Places: h, Refuses: h.refuses,
			Telemetry: telemetry.MetricsOnly(), Logger: log.New(io.Discard),
		})
	}
	// The workers are added with the lock held: whoever kills the host waits for them.
	if limiter := h.limiter; limiter != nil {
		h.workers.Go(func() { limiter.Run(ctx) })
	} else {
		signal := wake.NewSignal()
		f.OnLoanNeeded(signal.Notify)
		h.workers.Go(func() { h.split(ctx, f, signal) })
	}
}

func (h *simHost) name() string { return fmt.Sprint("host-", h.number) }

func (h *simHost) members() []ratelimit.Member {
	var list []ratelimit.Member
	for i := range h.sim.hosts {
		if i != h.number {
			list = append(list, ratelimit.Member{Name: fmt.Sprint("host-", i), Address: fmt.Sprint(i)})
		}
	}
	return list
}

// split lends the host its fixed part of each limit.
func (h *simHost) split(ctx context.Context, f *fleet.Fleet, signal wake.Signal) {
	lender := ratelimit.NewLender()
	timer := time.AfterFunc(0, signal.Notify)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signal:
		}
		list, next := f.LoanRequests()
		for _, want := range list {
			share := want.Update
			share.Rate /= float64(h.sim.hosts)
			now := clock.Now()
			r := lender.Lend(ratelimit.Request{Requests: want.Requests, Limit: share}, true, now)
			f.FinishLoan(want.Update.Endpoint, fleet.Loan{Requests: r.Requests, Until: now.Add(r.Validity), RetryAt: now.Add(r.RetryAfter)})
		}
		if !next.IsZero() {
			timer.Reset(max(clock.Until(next), 0))
		}
	}
}

// Borrow implements ratelimit.PeerClient.
func (h *simHost) Borrow(ctx context.Context, address string, r ratelimit.Request) (ratelimit.Reply, error) {
	limiter, err := h.connect(ctx, address)
	if err != nil {
		return ratelimit.Reply{}, err
	}
	reply := limiter.Borrow(ctx, r)
	if !clock.Sleep(ctx, linkDelay) {
		return ratelimit.Reply{}, errSilent
	}
	if _, _, cut := h.state(); cut {
		<-ctx.Done()
		return ratelimit.Reply{}, errSilent
	}
	return reply, nil
}

// SendNews implements ratelimit.PeerClient.
func (h *simHost) SendNews(ctx context.Context, address string, news ratelimit.News) error {
	limiter, err := h.connect(ctx, address)
	if err == nil {
		limiter.ApplyNews(news)
	}
	return err
}

// FetchNews implements ratelimit.PeerClient.
func (h *simHost) FetchNews(ctx context.Context, address string) (ratelimit.News, error) {
	limiter, err := h.connect(ctx, address)
	if err != nil {
		return ratelimit.News{}, err
	}
	return limiter.KnownNews(), nil
}

// connect delivers a message to another host after linkDelay and returns that host's Limiter.
func (h *simHost) connect(ctx context.Context, address string) (*ratelimit.Limiter, error) {
	var to int
	if _, err := fmt.Sscan(address, &to); err != nil {
		return nil, err
	}
	h.sim.mu.Lock()
	h.sim.calls++
	h.sim.mu.Unlock()
	if !clock.Sleep(ctx, linkDelay) {
		return nil, errSilent
	}
	limiter, down, silent := h.sim.simHosts[to].state()
	if down {
		return nil, errGone
	}
	if _, _, cut := h.state(); cut || silent {
		<-ctx.Done()
		return nil, errSilent
	}
	return limiter, nil
}

// refuses reports whether the host at an address is down.
func (h *simHost) refuses(address string) bool {
	var to int
	_, err := fmt.Sscan(address, &to)
	if err != nil {
		return false
	}
	_, down, _ := h.sim.simHosts[to].state()
	return down
}

// state returns the Limiter, and reports whether the host is down, and whether it is cut off or frozen.
func (h *simHost) state() (limiter *ratelimit.Limiter, down, silent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limiter, h.down, h.cut || clock.Now().Before(h.frozenUntil)
}

// run runs the simulation.
func (s *simulation) run() {
	ctx, cancel := context.WithTimeout(context.Background(), s.duration)
	defer cancel()
	var workers sync.WaitGroup
	workers.Go(func() { s.generateRequests(ctx, &workers) })
	for every, inject := range map[time.Duration]func(*simHost){s.killEvery: s.killOne, s.freezeEvery: s.freezeOne, s.cutEvery: s.cutOne} {
		if every > 0 {
			workers.Go(func() {
				for clock.Sleep(ctx, every) {
					h := s.nextTarget()
					h.markFaulty(faultDuration)
					workers.Go(func() { inject(h) })
				}
			})
		}
	}
	workers.Wait()
	s.stop()
}

func (s *simulation) stop() {
	for _, h := range s.simHosts {
		h.cancel()
		h.workers.Wait()
	}
}

// nextTarget returns the host that the next fault hits: a random host, or the lender of a random limited
// endpoint.
func (s *simulation) nextTarget() *simHost {
	if !s.targetLenders {
		return s.simHosts[int(s.draw()*float64(len(s.simHosts)))]
	}
	endpoint := endpointName(int(s.draw() * float64(s.limitedEndpoints)))
	return slices.MinFunc(s.simHosts, func(a, b *simHost) int {
		return cmp.Compare(ratelimit.Rank(endpoint, a.name()), ratelimit.Rank(endpoint, b.name()))
	})
}

func (s *simulation) killOne(h *simHost) {
	h.mu.Lock()
	if h.down {
		h.mu.Unlock()
		return
	}
	h.down = true
	h.cancel()
	h.mu.Unlock()
	h.workers.Wait()
	time.Sleep(faultDuration)
	h.start()
}

func (s *simulation) freezeOne(h *simHost) {
	h.mu.Lock()
	h.frozenUntil = clock.Now().Add(faultDuration)
	h.mu.Unlock()
	time.Sleep(faultDuration)
}

func (s *simulation) cutOne(h *simHost) {
	h.mu.Lock()
	h.cut = true
	h.mu.Unlock()
	time.Sleep(faultDuration)
	h.mu.Lock()
	h.cut = false
	h.mu.Unlock()
}
