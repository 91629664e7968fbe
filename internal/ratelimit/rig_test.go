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

// world is hosts that send requests to the endpoints of one service, of which some name limits.
type world struct {
	play
	began clock.Instant
	all   []*simHost

	mu     sync.Mutex // guards all below
	random *rand.Rand
	sends  map[string][]arrival
	good   int // requests of callers that were sent
	calls  int // between hosts
}

// way is how hosts keep limits.
type way int

// Ways to keep limits.
const (
	lending  way = iota // the package's
	splitted            // each host keeps to its part by itself
)

// play is what is played.
type play struct {
	way     way
	hosts   int
	limited int     // of the endpoints
	rate    float64 // that they name
	asked   float64 // requests a second, at all hosts
	hot     float64 // of these, the part at one host
	kill    time.Duration
	freeze  time.Duration
	cut     time.Duration // between moments at which a host is killed, frozen or cut off
	lender  bool          // the hosts that lend are hit first
	lasts   time.Duration
	seed    uint64
}

// Parameters of worlds.
const (
	simEndpoints = 12
	linkTime     = 2 * time.Millisecond
	answerTime   = 60 * time.Millisecond
	harmedFor    = 2 * time.Second
	simWithin    = 2 * time.Second
	simService   = "s"
)

// simHost is a host of a world.
type simHost struct {
	world  *world
	number int

	mu      sync.Mutex // guards all below
	fleet   *fleet.Fleet
	desk    *ratelimit.Desk
	cancel  context.CancelFunc
	working sync.WaitGroup
	down    bool
	cut     bool
	thawsAt clock.Instant
	harmed  clock.Instant // when it was last hit, or still was
}

func newWorld(p play) *world {
	w := &world{play: p, random: rand.New(rand.NewPCG(p.seed, 7)), began: clock.Now(), sends: map[string][]arrival{}}
	for i := range p.hosts {
		w.all = append(w.all, &simHost{world: w, number: i})
	}
	for _, h := range w.all {
		h.start()
	}
	return w
}

func (w *world) draw() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64()
}

func endpointName(i int) string { return fmt.Sprint("e", i) }

// start starts the host, which knows its list of hosts and endpoints at once.
func (h *simHost) start() {
	ctx, cancel := context.WithCancel(context.Background())
	f := fleet.New(fleet.Options{Choosers: func() fleet.Choosers { return fleet.Choosers{Hosts: h.world.hosts, Advisers: 1} }, Random: h.world.draw})
	for i := range simEndpoints {
		f.Put(fleet.Endpoint{ID: endpointName(i), Service: simService, Version: "v1", Slots: 64})
	}
	h.mu.Lock()
	h.fleet, h.cancel, h.down, h.cut = f, cancel, false, false
	if h.world.way == lending {
		h.desk = ratelimit.NewDesk(ratelimit.Options{
			Host: h.name(), Fleet: f, Members: h.members, Known: func() bool { return true }, Caller: h,
			Telemetry: telemetry.MetricsOnly(), Logger: log.New(io.Discard),
		})
	}
	desk := h.desk
	h.mu.Unlock()
	if desk != nil {
		h.working.Go(func() { desk.Run(ctx) })
	} else {
		signal := wake.NewSignal()
		f.OnWanted(signal.Notify)
		h.working.Go(func() { h.split(ctx, f, signal) })
	}
}

func (h *simHost) name() string { return fmt.Sprint("host-", h.number) }

func (h *simHost) members() []ratelimit.Member {
	var list []ratelimit.Member
	for i := range h.world.hosts {
		if i != h.number {
			list = append(list, ratelimit.Member{Name: fmt.Sprint("host-", i), Address: fmt.Sprint(i)})
		}
	}
	return list
}

// split lends this host its part of each limit.
func (h *simHost) split(ctx context.Context, f *fleet.Fleet, signal wake.Signal) {
	lender := ratelimit.NewLender()
	later := time.AfterFunc(0, signal.Notify)
	defer later.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signal:
		}
		list, next := f.Wanted()
		for _, w := range list {
			part := w.News
			part.Rate /= float64(h.world.hosts)
			now := clock.Now()
			r := lender.Lend(ratelimit.Request{Requests: w.Requests, Limit: part}, true, now)
			f.Lent(w.News.Endpoint, fleet.Loan{Requests: r.Requests, Until: now.Add(r.Lasts), Again: now.Add(r.Again)})
		}
		if !next.IsZero() {
			later.Reset(max(clock.Until(next), 0))
		}
	}
}

// Borrow implements ratelimit.Caller.
func (h *simHost) Borrow(ctx context.Context, address string, r ratelimit.Request) (ratelimit.Reply, error) {
	desk, err := h.reach(ctx, address)
	if err != nil {
		return ratelimit.Reply{}, err
	}
	reply := desk.Borrow(ctx, r)
	if !clock.Sleep(ctx, linkTime) {
		return ratelimit.Reply{}, errSilent
	}
	if _, _, cut := h.state(); cut {
		<-ctx.Done()
		return ratelimit.Reply{}, errSilent
	}
	return reply, nil
}

// Tell implements ratelimit.Caller.
func (h *simHost) Tell(ctx context.Context, address string, news []fleet.LimitNews) error {
	desk, err := h.reach(ctx, address)
	if err == nil {
		desk.Hear(news)
	}
	return err
}

// Known implements ratelimit.Caller.
func (h *simHost) Known(ctx context.Context, address string) ([]fleet.LimitNews, error) {
	desk, err := h.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	return desk.Limits(), nil
}

// reach has a message reach another host.
func (h *simHost) reach(ctx context.Context, address string) (*ratelimit.Desk, error) {
	var to int
	if _, err := fmt.Sscan(address, &to); err != nil {
		return nil, err
	}
	h.world.mu.Lock()
	h.world.calls++
	h.world.mu.Unlock()
	if !clock.Sleep(ctx, linkTime) {
		return nil, errSilent
	}
	desk, down, silent := h.world.all[to].state()
	if down {
		return nil, errGone
	}
	if _, _, cut := h.state(); cut || silent {
		<-ctx.Done()
		return nil, errSilent
	}
	return desk, nil
}

// state tells whether the host is down, or cut off or frozen.
func (h *simHost) state() (desk *ratelimit.Desk, down, silent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.desk, h.down, h.cut || clock.Now().Before(h.thawsAt)
}

// run plays the world.
func (w *world) run() {
	ctx, cancel := context.WithTimeout(context.Background(), w.lasts)
	defer cancel()
	var working sync.WaitGroup
	working.Go(func() { w.callers(ctx, &working) })
	for every, harm := range map[time.Duration]func(*simHost){w.kill: w.killOne, w.freeze: w.freezeOne, w.cut: w.cutOne} {
		if every > 0 {
			working.Go(func() {
				for clock.Sleep(ctx, every) {
					h := w.victim()
					h.harm(harmedFor)
					working.Go(func() { harm(h) })
				}
			})
		}
	}
	working.Wait()
	w.stop()
}

func (w *world) stop() {
	for _, h := range w.all {
		h.cancel()
		h.working.Wait()
	}
}

// victim is the host that is hit next: by chance, or one that others ask for a limit.
func (w *world) victim() *simHost {
	if !w.lender {
		return w.all[int(w.draw()*float64(len(w.all)))]
	}
	endpoint := endpointName(int(w.draw() * float64(w.limited)))
	return slices.MinFunc(w.all, func(a, b *simHost) int {
		return cmp.Compare(ratelimit.OrderOf(endpoint, a.name()), ratelimit.OrderOf(endpoint, b.name()))
	})
}

func (w *world) killOne(h *simHost) {
	h.mu.Lock()
	if h.down {
		h.mu.Unlock()
		return
	}
	h.down = true
	h.cancel()
	h.mu.Unlock()
	h.working.Wait()
	time.Sleep(harmedFor)
	h.start()
}

func (w *world) freezeOne(h *simHost) {
	h.mu.Lock()
	h.thawsAt = clock.Now().Add(harmedFor)
	h.mu.Unlock()
	time.Sleep(harmedFor)
}

func (w *world) cutOne(h *simHost) {
	h.mu.Lock()
	h.cut = true
	h.mu.Unlock()
	time.Sleep(harmedFor)
	h.mu.Lock()
	h.cut = false
	h.mu.Unlock()
}
