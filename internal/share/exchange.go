package share

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/telemetry"
)

const (
	// exchangeInterval is the time between two reports of a host on a pressed service.
	exchangeInterval = 200 * time.Millisecond
	// maxFirstDelay bounds the random time from when a service becomes pressed to the first report.
	maxFirstDelay = 100 * time.Millisecond
	// reportTimeout is how long a host waits for an owner's reply.
	reportTimeout = 150 * time.Millisecond
	// replyValidity is how long the fractions of a reply are in force.
	replyValidity = time.Second
	// skipTime is how long a host that did not answer is skipped.
	skipTime = time.Second
	// maxTries is how many hosts are asked in one round.
	maxTries = 2
	// hostsMaxAge is how long the hashed list of hosts is used before it is rebuilt.
	hostsMaxAge = time.Second
	// badMessageLogInterval is the least time between two log lines on bad messages.
	badMessageLogInterval = time.Second
)

// host is a host in the rendezvous order, with the hash of its name.
type host struct {
	Member
	hash uint64
	self bool
}

// Rank returns the position of a host in a service's order, from 0 to 1. The host with the lowest rank
// owns the service.
func Rank(service, host string) float64 {
	return fleet.RendezvousWeight(xxhash.Sum64String(service), xxhash.Sum64String(host))
}

// Run exchanges reports with owners until the context ends.
func (s *Shares) Run(ctx context.Context) {
	var working sync.WaitGroup
	defer working.Wait()
	for s.wake.Wait(ctx) {
		for _, state := range s.startable() {
			working.Go(func() { s.exchange(ctx, state) })
		}
	}
}

// startable returns the pressed services for which no goroutine exchanges reports yet.
func (s *Shares) startable() []*service {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*service
	for _, state := range s.services {
		if !state.exchanging && state.demand.pressed(now) {
			state.exchanging = true
			state.demand.restart(now)
			found = append(found, state)
		}
	}
	return found
}

// exchange reports on a service while it is pressed. Hosts begin at different moments, so that they don't
// report all at once.
func (s *Shares) exchange(ctx context.Context, state *service) {
	next := clock.Now().Add(1 + time.Duration(rand.Int64N(int64(maxFirstDelay))))
	for clock.Sleep(ctx, clock.Until(next)) && s.continues(state) {
		s.round(ctx, state)
		now := clock.Now()
		for !next.After(now) {
			next = next.Add(exchangeInterval)
		}
	}
}

// continues reports whether a service is still pressed, and otherwise records that its exchange ends.
func (s *Shares) continues(state *service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.exchanging = s.options.Enabled() && state.demand.pressed(clock.Now())
	return state.exchanging
}

// round sends one report and applies the reply.
func (s *Shares) round(ctx context.Context, state *service) {
	if s.options.MembersKnown != nil && !s.options.MembersKnown() {
		return // the part of this host is not known either
	}
	now := clock.Now()
	s.mu.Lock()
	report := state.demand.take(now)
	report.Factor = state.factor
	s.mu.Unlock()
	report.Host, report.Service = s.options.Host, state.name
	for range maxTries {
		reply, err := s.ask(ctx, s.ownerOf(state.name), report)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			s.mu.Lock()
			state.apply(reply, clock.Now())
			state.alone, state.appliedAlone = nil, false
			s.mu.Unlock()
			return
		}
	}
	s.divideAlone(state, report)
}

// ask sends a report to a host, which may be this one.
func (s *Shares) ask(ctx context.Context, h host, r Report) (Reply, error) {
	if h.self {
		return s.Handle(r)
	}
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := s.options.Peers.Report(callCtx, h.Address, r)
	if err == nil {
		if err = reply.Check(); err != nil {
			err = fmt.Errorf("check reply: %w", err)
			s.logBad("bad reply on shares of capacity; it is ignored", h.Name, r.Service, err)
		}
	}
	if ctx.Err() == nil {
		s.noteAnswer(h, r.Service, err)
	}
	return reply, err
}

// Handle handles a report from a host: it divides the capacity of the service by all reports.
func (s *Shares) Handle(r Report) (Reply, error) {
	if err := r.Check(); err != nil {
		err = fmt.Errorf("check report: %w", err)
		s.logBad("bad report on demand; it is ignored", r.Host, r.Service, err)
		return Reply{}, err
	}
	now := clock.Now()
	s.mu.Lock()
	state := s.service(r.Service)
	if state.owner == nil {
		state.owner = newOwner()
	}
	shared := state.owner
	shared.record(r, now)
	s.mu.Unlock()
	return s.divide(state, shared, now, sharedPart(r.Service, s.currentHosts())), nil
}

// divideAlone divides this host's part of the capacity among its own requests. The result is in force once
// the fractions that an owner has sent no longer are.
func (s *Shares) divideAlone(state *service, r Report) {
	now := clock.Now()
	s.mu.Lock()
	if state.alone == nil {
		state.alone = newOwner()
	}
	own := state.alone
	own.record(r, now)
	s.mu.Unlock()
	part := 1 / float64(len(s.currentHosts()))
	reply := s.divide(state, own, now, func(int, int) float64 { return part })
	s.mu.Lock()
	defer s.mu.Unlock()
	if state.appliedAlone || !state.inForce(now) {
		state.appliedAlone = true
		state.apply(reply, now)
	}
}

// sharedPart returns the part of a service's supply that this host divides as its owner. If another host
// precedes this one in the order, that host may divide at the same time for those that reach it: this host
// takes only the part of the hosts that report to it. If this host is the first, it does the same once
// hosts have left it that should report.
func sharedPart(service string, hosts []host) func(reporting, missing int) float64 {
	return func(reporting, missing int) float64 {
		least := 1
		if !first(service, hosts).self {
			least = len(hosts)
		}
		return float64(reporting) / float64(max(reporting+missing, least))
	}
}

// divide divides capacity and publishes the result.
func (s *Shares) divide(state *service, o *owner, now clock.Instant, part func(reporting, missing int) float64) Reply {
	// The options' functions may take locks of their own, so they are not called under mu.
	current := setting{supply: s.options.Supply(state.name), weight: s.options.Weight, share: part}
	s.mu.Lock()
	reply, made := o.divide(now, current)
	a, factor, log := o.allotment, o.capacity.Factor(), made && o.logDue(now)
	s.mu.Unlock()
	if made {
		label := telemetry.Label("service", state.name)
		s.options.Telemetry.Gauge("share_level", a.Level(), label)
		s.options.Telemetry.Gauge("share_capacity_factor", factor, label)
	}
	if log {
		s.options.Logger.Info("shares changed", "service", state.name, "demand", a.Demand(), "capacity", a.Capacity(), "level", a.Level(), "classes", len(a.Cut()), "cut", a.describeCut())
	}
	return reply
}

// ownerOf returns the current owner of a service: the first host in its order that is not skipped.
func (s *Shares) ownerOf(service string) host {
	hosts, now := s.currentHosts(), clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	available := make([]host, 0, len(hosts))
	for _, h := range hosts {
		if !now.Before(s.skippedUntil[h.Name]) {
			available = append(available, h)
		}
	}
	return first(service, available)
}

// first returns the first of hosts in a service's order.
func first(service string, hosts []host) host {
	var found host
	key, best := xxhash.Sum64String(service), math.Inf(1)
	for _, h := range hosts {
		if w := fleet.RendezvousWeight(key, h.hash); w < best {
			found, best = h, w
		}
	}
	return found
}

// currentHosts returns all hosts, this one included. The caller must not change the list.
func (s *Shares) currentHosts() []host {
	s.mu.Lock()
	hosts, fresh := s.hosts, len(s.hosts) > 0 && clock.Since(s.hostsReadAt) < hostsMaxAge
	s.mu.Unlock()
	if fresh {
		return hosts
	}
	hosts = []host{{Member: Member{Name: s.options.Host}, hash: xxhash.Sum64String(s.options.Host), self: true}}
	for _, m := range s.options.Members() {
		hosts = append(hosts, host{Member: m, hash: xxhash.Sum64String(m.Name)})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts, s.hostsReadAt = hosts, clock.Now()
	return hosts
}

// noteAnswer records whether a host answered a report.
func (s *Shares) noteAnswer(h host, service string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		delete(s.skippedUntil, h.Name)
		delete(s.logged, h.Name)
		return
	}
	s.skippedUntil[h.Name] = clock.Now().Add(skipTime)
	if !s.logged[h.Name] {
		s.logged[h.Name] = true
		s.options.Logger.Info("host does not divide capacity; the next one is asked", "host", h.Name, "service", service, "error", err)
	}
}

// logBad logs that a message was refused.
func (s *Shares) logBad(message, host, service string, err error) {
	now := clock.Now()
	s.mu.Lock()
	due := s.badLoggedAt.IsZero() || now.Sub(s.badLoggedAt) >= badMessageLogInterval
	if due {
		s.badLoggedAt = now
	}
	s.mu.Unlock()
	if due {
		s.options.Logger.Error(message, "host", host, "service", service, "error", err)
	}
}
