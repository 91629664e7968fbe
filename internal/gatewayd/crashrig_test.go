package gatewayd_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/fx"

	"quaybarrow/internal/gatewayd"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/platform"
	"quaybarrow/platform/standin"
)

// Sizes of a crash rig.
const (
	crashHosts    = 4
	crashMachines = 12 // of each service
	crashCallers  = 16
	// crashTime is a crashing request's at an endpoint, from its arrival on.
	crashTime = 60 * time.Millisecond
	// toldWithin is how long after the third crash hosts may still send a request that
	// crashes endpoints, and lateMost how often they may later, all together, as the users tell.
	toldWithin = 3 * time.Second
	lateMost   = 3
)

// crashRig is hosts before endpoints that crash, with callers.
type crashRig struct {
	net      *memnet.Network
	store    *standin.Store
	hosts    []*crashHost
	machines []*standin.Machine
	random   *rand.Rand
	calling  sync.WaitGroup
	running  sync.WaitGroup // machines, and hosts that were killed
	server   *http.Server
	duties   *standin.DutyServer // nil where there are none
	// dutiesServer serves them.
	dutiesServer *http.Server
	log          safeBuffer

	mu       sync.Mutex // guards all below
	serial   int
	outcomes []crashOutcome
}

// crashHost is a host that can be killed.
type crashHost struct {
	rig    *crashRig
	number int
	app    *fx.App
	dead   *lifeline
}

// crashOutcome is how a request went.
type crashOutcome struct {
	began  time.Time // when the caller asked
	sent   time.Time
	path   string
	status int // 0 if there was no whole answer
	later  bool
}

// crashDay is what happens on a day.
type crashDay struct {
	path   string        // of the crashing request; none comes if it is empty
	every  time.Duration // between its copies
	once   int           // copies at the same moment, at different hosts
	head   bool          // endpoints crash after the head of their answer
	by     time.Duration // endpoints crash by themselves, one each so long; 0 for none
	shared bool          // half of the other callers' requests are one and the same
	killAt time.Duration // all hosts are killed then; 0 for never
	away   bool          // the store is silent from shortly after the start on
	duties bool          // the platform has duties for one host
	// killHolderAt is when the host is killed that has the duties; 0 for never.
	killHolderAt time.Duration
	lasts        time.Duration
	hosts        int // as many as usual if it is 0
}

// playCrashes plays a day.
func playCrashes(t *testing.T, d crashDay, check func(r *crashRig)) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		r := newCrashRig(d)
		defer r.stop()
		ctx, cancel := context.WithTimeout(context.Background(), d.lasts)
		defer cancel()
		for i := range crashCallers {
			r.calling.Go(func() { r.call(ctx, i, d) })
		}
		if d.path != "" {
			r.calling.Go(func() { r.comeAgain(ctx, d) })
		}
		if d.by > 0 {
			r.calling.Go(func() { r.crashByChance(ctx, d.by) })
		}
		if d.killAt > 0 {
			r.calling.Go(func() { r.killAll(ctx, d.killAt) })
		}
		if d.killHolderAt > 0 {
			r.calling.Go(func() { r.killHolder(ctx, d.killHolderAt) })
		}
		if d.away {
			r.store.SetFault(standin.Silent)
		}
		r.calling.Wait()
		r.store.SetFault(standin.Healthy)
		check(r)
	})
}

func newCrashRig(d crashDay) *crashRig {
	r := &crashRig{net: memnet.New(), store: standin.NewStore(), random: rand.New(rand.NewPCG(1, 2))}
	r.server = &http.Server{Handler: r.store}
	l := r.net.Listen(storeAddress)
	go func() { _ = r.server.Serve(l) }()
	if d.duties {
		r.duties = standin.NewDutyServer(dutyTurns)
		calls := r.net.Listen(dutiesAddress)
		r.dutiesServer = &http.Server{Handler: r.duties}
		go func() { _ = r.dutiesServer.Serve(calls) }()
	}
	r.store.Put(standin.TableOperator, standin.KeyDeclaration, standin.Declaration(1))
	for i := range crashMachines {
		for n, service := range []string{"plain", "model"} {
			m := standin.NewMachine(service, "ikeja", fmt.Sprintf("10.%d.1.%d:80", n+1, i+1), r.store, r.net.Listen, crashScript(service, d))
			r.machines = append(r.machines, m)
			r.running.Go(m.Run)
		}
	}
	for i := range cmp.Or(d.hosts, crashHosts) {
		h := &crashHost{rig: r, number: i}
		h.start()
		r.hosts = append(r.hosts, h)
	}
	time.Sleep(4 * time.Second)
	return r
}

// Bodies that endpoints know: of requests under which they crash, and of those that they never
// answer.
const (
	crashBody = "crash"
	muteBody  = "mute"
)

// crashScript is what endpoints of a service do.
func crashScript(service string, d crashDay) func(int, *http.Request) standin.Script {
	return func(_ int, r *http.Request) standin.Script {
		switch {
		case r.Header.Get("X-Body") == crashBody:
			return standin.Crash{After: crashTime, Head: d.head && service == "model"}
		case r.Header.Get("X-Body") == muteBody:
			return standin.Reply{Status: http.StatusOK, Delay: time.Minute}
		case service == "model":
			return standin.Stream{Events: 8, Gap: 80 * time.Millisecond, Confidence: 100}
		default:
			return standin.Reply{Status: http.StatusOK, Body: "done", Delay: 40 * time.Millisecond}
		}
	}
}

func (h *crashHost) address(port int) string { return fmt.Sprintf("10.0.0.%d:%d", h.number+1, port) }

// start starts the host, also again after it was killed.
func (h *crashHost) start() {
	life := &lifeline{}
	s := hostSettings()
	s.Host = fmt.Sprint("front-", h.number)
	s.Gateway.First = h.app == nil
	s.Gateway.Callers, s.Gateway.Ready, s.Gateway.Control, s.Gateway.Peers = h.address(80), h.address(81), h.address(82), h.address(83)
	s.Gateway.Seeds = []string{"10.0.0.1:82", "10.0.0.2:82"}
	if h.rig.duties != nil {
		s.Gateway.Duties, s.Gateway.DutyTurns, s.Gateway.UsageWindow = dutiesAddress, dutyTurns, usageWindow
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return life.wrap(h.rig.net.Dial(ctx, network, address))
	}
	h.dead = life
	h.app = fx.New(gatewayd.Module(s, gatewayd.Ports{
		Store: platform.NewStore(storeAddress, dial), LogTo: &h.rig.log, Dial: dial,
		Listen: func(_ context.Context, address string) (net.Listener, error) {
			return lifeListener{h.rig.net.Listen(address), life}, nil
		},
	}))
	Expect(h.app.Start(context.Background())).To(Succeed())
}

// kill ends the host: from this moment on it reaches nobody, and nobody it.
func (h *crashHost) kill() {
	h.dead.cut()
	app := h.app
	h.rig.running.Go(func() { _ = app.Stop(context.Background()) })
}

func (r *crashRig) killAll(ctx context.Context, at time.Duration) {
	if !sleepFor(ctx, at) {
		return
	}
	for _, h := range r.hosts {
		h.kill()
	}
	time.Sleep(500 * time.Millisecond)
	for _, h := range r.hosts {
		h.start()
	}
}

// killHolder kills the host that made the last call that is one host's duty.
func (r *crashRig) killHolder(ctx context.Context, at time.Duration) {
	if !sleepFor(ctx, at) {
		return
	}
	calls := r.duties.Calls()
	for i, h := range r.hosts {
		if len(calls) > 0 && calls[len(calls)-1].Holder == fmt.Sprint("front-", i) {
			h.kill()
			time.Sleep(500 * time.Millisecond)
			h.start()
		}
	}
}

func (r *crashRig) stop() {
	for _, m := range r.machines {
		m.Stop()
	}
	for _, h := range r.hosts {
		Expect(h.app.Stop(context.Background())).To(Succeed())
	}
	r.running.Wait()
	_ = r.server.Close()
	if r.dutiesServer != nil {
		_ = r.dutiesServer.Close()
	}
	time.Sleep(5 * time.Minute)
}

func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// draw is a number below n.
func (r *crashRig) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// call sends ordinary requests until the day ends.
func (r *crashRig) call(ctx context.Context, caller int, d crashDay) {
	began := time.Now()
	for ctx.Err() == nil {
		path, body := "/stream/x", fmt.Sprintf("of caller %d, request %d", caller, r.draw(1<<30))
		if caller%4 == 0 {
			path = "/again/x"
		}
		if d.shared && caller%2 == 1 {
			path, body = "/stream/x", "the same"
		}
		asked := time.Now()
		status := r.ask(ctx, r.draw(len(r.hosts)), path, body)
		if ctx.Err() == nil { // else the day has ended in the middle of it
			r.note(asked, path, status, time.Since(began) > d.lasts/2)
		}
		sleepFor(ctx, time.Duration(r.draw(200))*time.Millisecond)
	}
}

// comeAgain sends the request under which endpoints crash, again and again, at any host.
func (r *crashRig) comeAgain(ctx context.Context, d crashDay) {
	var under sync.WaitGroup
	defer under.Wait()
	for ctx.Err() == nil {
		first := r.draw(len(r.hosts))
		for i := range max(d.once, 1) {
			under.Go(func() {
				r.note(time.Now(), crashBody, r.ask(ctx, (first+i)%len(r.hosts), d.path+"x", crashBody), false)
			})
		}
		sleepFor(ctx, d.every)
	}
}

// crashByChance ends endpoints that are up, one after the other.
func (r *crashRig) crashByChance(ctx context.Context, every time.Duration) {
	for sleepFor(ctx, every) {
		models := make([]*standin.Machine, 0, crashMachines)
		for _, m := range r.machines {
			if m.Service == "model" {
				models = append(models, m)
			}
		}
		models[r.draw(len(models))].Crash()
	}
}

// ask sends a request to a host; 0 if no whole answer came.
func (r *crashRig) ask(ctx context.Context, host int, path, body string) int {
	c, err := r.net.Dial(ctx, "tcp", r.hosts[host].address(80))
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	r.mu.Lock()
	r.serial++
	q := standin.NewRequest(http.MethodPost, path, body).WithID(fmt.Sprint("r", r.serial)).With("X-Body: " + body)
	r.mu.Unlock()
	if path == "/stream/x" {
		q = q.WithPrompt()
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	go func() { _, _ = io.WriteString(c, q.Text()) }()
	a := standin.ReadResponse(bufio.NewReader(c))
	if a.Err != nil {
		return 0
	}
	return a.Status
}

func (r *crashRig) note(began time.Time, path string, status int, later bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, crashOutcome{began: began, sent: time.Now(), path: path, status: status, later: later})
}

// served is the part of the ordinary requests that got an answer, in the second half of the
// day.
func (r *crashRig) served() float64 {
	all, good := 0, 0
	for _, o := range r.outcomes {
		if o.path == crashBody || !o.later {
			continue
		}
		all++
		if o.status == http.StatusOK {
			good++
		}
	}
	return float64(good) / float64(max(all, 1))
}

// crashing returns the moments at which the request reached endpoints, and those at which
// endpoints crashed under it.
func (r *crashRig) crashing() (sends, crashes []time.Time) {
	for _, m := range r.machines {
		for _, e := range m.Starts() {
			under := false
			for _, s := range e.Requests() {
				if s.Body == crashBody {
					sends = append(sends, s.At)
					under = true
				}
			}
			if at := e.CrashedAt(); under && !at.IsZero() {
				crashes = append(crashes, at)
			}
		}
	}
	return sends, crashes
}
