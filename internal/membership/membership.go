package membership

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/peer"
	"quaybarrow/internal/store"
)

// Factors of the ping period.
const (
	suspectAfterPeriods = 3 // periods without a reply make a watched host suspect
	forgetAfterPeriods  = 5 // periods after which an unlisted host is dropped
)

// Options set up a Membership.
type Options struct {
	Hosts store.Hosts
	Link  peer.Link
	// Self describes this host at the moment.
	Self func() peer.Status
	// Observe is told of every status heard, with the time its host could
	// have sent it at the latest; nil if nobody listens.
	Observe    func(status peer.Status, at clock.Instant)
	PingPeriod time.Duration
	ListPeriod time.Duration
}

// hostRecord is what is known of a host from pings.
type hostRecord struct {
	status       peer.Status
	receivedAt   clock.Instant // of the last status
	failingSince clock.Instant // start of the present run of failed pings; zero if none
}

// Membership keeps the view up to date.
type Membership struct {
	options Options
	view    atomic.Pointer[View]

	mu          sync.Mutex // guards all below
	listedHosts []store.Host
	allListed   []store.Host // whole list, endpoints too
	records     map[string]hostRecord
}

// New returns a membership that knows only this host.
func New(options Options) *Membership {
	m := &Membership{options: options, records: map[string]hostRecord{}}
	m.rebuild()
	return m
}

// View returns the present picture.
func (m *Membership) View() View { return *m.view.Load() }

// Listed returns the platform's list as last read, endpoints included.
func (m *Membership) Listed() []store.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.allListed
}

// Run reads the list and pings until the context ends.
func (m *Membership) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { every(ctx, func() time.Duration { return m.options.ListPeriod }, m.ReadList) })
	wait.Go(func() { every(ctx, m.pingPeriod, m.PingAll) })
	wait.Wait()
}

// every calls f at once and then once a period, with jitter.
func every(ctx context.Context, period func() time.Duration, f func(context.Context)) {
	for {
		f(ctx)
		if !clock.Sleep(ctx, clock.Around(period())) {
			return
		}
	}
}

// pingsPerPeriod is how many hosts are pinged in Options.Ping; with more to
// watch, the time between two pings of one grows instead.
const pingsPerPeriod = 3

// pingPeriod is the time between two pings of a watched host.
func (m *Membership) pingPeriod() time.Duration {
	targets := len(m.View().PingTargets())
	return m.options.PingPeriod * time.Duration(max(targets, pingsPerPeriod)) / pingsPerPeriod
}

// ReadList reads the list of hosts: from the platform if this host is one of its
// region's readers, else from one of them. When neither answers, the old list
// stays.
func (m *Membership) ReadList(ctx context.Context) {
	hosts, ok := m.readFromPeer(ctx)
	if !ok {
		var err error
		if hosts, err = m.options.Hosts.List(ctx); err != nil {
			return
		}
	}
	entries := make([]store.Host, 0, len(hosts))
	for _, h := range hosts {
		if h.Kind == store.HostEntry {
			entries = append(entries, h)
		}
	}
	m.mu.Lock()
	m.listedHosts, m.allListed = entries, hosts
	m.mu.Unlock()
	m.rebuild()
}

// PingAll pings every watched host, all at once.
func (m *Membership) PingAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.options.PingPeriod)
	defer cancel()
	var wait sync.WaitGroup
	for _, target := range m.View().PingTargets() {
		wait.Go(func() { m.ping(ctx, target) })
	}
	wait.Wait()
	m.rebuild()
}

func (m *Membership) ping(ctx context.Context, target Member) {
	sent := clock.Now()
	status, err := m.options.Link.Ping(ctx, target.Address, m.options.Self())
	if err != nil || status.Host != target.Host {
		m.recordFailure(target.Host)
		return
	}
	m.recordStatus(status, sent)
}

func (m *Membership) recordFailure(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.records[host]
	if h.failingSince.IsZero() {
		h.failingSince = clock.Now()
	}
	m.records[host] = h
}

// HandlePing takes in another host's ping and returns this host's status.
func (m *Membership) HandlePing(status peer.Status) peer.Status {
	m.recordStatus(status, clock.Now())
	return m.options.Self()
}

// recordStatus notes a status that is at least as old as the given time.
func (m *Membership) recordStatus(status peer.Status, at clock.Instant) {
	m.mu.Lock()
	previous, ok := m.records[status.Host]
	m.records[status.Host] = hostRecord{status: status, receivedAt: clock.Now()}
	m.mu.Unlock()
	if !ok || previous.status.Incarnation != status.Incarnation || previous.status.Draining != status.Draining {
		m.rebuild()
	}
	if m.options.Observe != nil {
		m.options.Observe(status, at)
	}
}

// rebuild makes a new view from the list and what was heard.
func (m *Membership) rebuild() {
	period := m.options.PingPeriod
	if m.view.Load() != nil {
		period = m.pingPeriod()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.options.Self()
	members := map[string]Member{self.Host: memberFromStatus(self, StateLive)}
	for _, h := range m.listedHosts {
		if h.ID == self.Host {
			continue
		}
		members[h.ID] = m.listedMember(h, period)
	}
	for host, h := range m.records {
		if _, ok := members[host]; ok {
			continue
		}
		if clock.Since(h.receivedAt) > forgetAfterPeriods*period {
			if h.failingSince.IsZero() || clock.Since(h.failingSince) > forgetAfterPeriods*period {
				delete(m.records, host)
			}
			continue
		}
		members[host] = memberFromStatus(h.status, StateLive)
	}
	view := View{Self: self.Host, Members: make([]Member, 0, len(members))}
	for _, member := range members {
		view.Members = append(view.Members, member)
	}
	sort.Slice(view.Members, func(i, j int) bool { return view.Members[i].Host < view.Members[j].Host })
	m.view.Store(&view)
}

// memberFromStatus makes a member of a host's own words.
func memberFromStatus(s peer.Status, state State) Member {
	if s.Draining {
		state = StateDraining
	}
	return Member{
		Host: s.Host, DataHall: s.DataHall, Region: s.Region, Address: s.Address,
		State: state, Status: s,
	}
}

// listedMember decides on a listed host; the caller holds mu.
func (m *Membership) listedMember(listed store.Host, period time.Duration) Member {
	h := m.records[listed.ID]
	member := Member{
		Host: listed.ID, DataHall: listed.DataHall, Region: listed.Region,
		Address: listed.Address, State: StateLive, Status: h.status,
	}
	switch {
	case !h.failingSince.IsZero() && clock.Since(h.failingSince) >= (suspectAfterPeriods-1)*period:
		member.State = StateSuspect
	case listed.State == store.HostLeaving || h.status.Draining:
		member.State = StateDraining
	}
	return member
}
