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

// Failure detection times, as multiples of scaledPingPeriod.
const (
	suspectAfterPeriods = 3 // a pinged host is suspect after this many periods without a reply
	forgetAfterPeriods  = 5 // an unlisted host is removed after this many periods without a status
)

// Options configures a Membership.
type Options struct {
	Hosts store.Hosts
	Link  peer.Link
	// Self returns the current status of this host.
	Self func() peer.Status
	// Observe is called with every status received; it may be nil. If the status came in a reply,
	// at is the time when this host sent the ping. If it came in another host's ping, at is the time
	// when this host received it.
	Observe    func(status peer.Status, at clock.Instant)
	PingPeriod time.Duration
	ListPeriod time.Duration
}

// hostRecord holds what pings have shown about a host.
type hostRecord struct {
	status       peer.Status
	receivedAt   clock.Instant // when the last status was received
	failingSince clock.Instant // start of the current run of failed pings; zero if none
}

// Membership maintains this host's view of the other hosts.
type Membership struct {
	options Options
	view    atomic.Pointer[View]

	mu          sync.Mutex   // guards the fields below
	listedHosts []store.Host // the router's hosts in allListed
	allListed   []store.Host // the whole list, endpoints included
	records     map[string]hostRecord
}

// New returns a Membership whose view contains only this host.
func New(options Options) *Membership {
	m := &Membership{options: options, records: map[string]hostRecord{}}
	m.rebuild()
	return m
}

// View returns the current view.
func (m *Membership) View() View { return *m.view.Load() }

// Listed returns the platform's list as last read, endpoints included.
func (m *Membership) Listed() []store.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.allListed
}

// Run reads the list and pings other hosts periodically until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { every(ctx, func() time.Duration { return m.options.ListPeriod }, m.ReadList) })
	wait.Go(func() { every(ctx, m.scaledPingPeriod, m.PingAll) })
	wait.Wait()
}

// every calls f immediately and then once a period, with jitter, until ctx ends.
func every(ctx context.Context, period func() time.Duration, f func(context.Context)) {
	for {
		f(ctx)
		if !clock.Sleep(ctx, clock.Around(period())) {
			return
		}
	}
}

// pingsPerPeriod is the number of hosts pinged in each Options.PingPeriod. With more ping targets,
// the time between two pings of the same host grows instead.
const pingsPerPeriod = 3

// scaledPingPeriod returns the time between two pings of the same host: Options.PingPeriod, or more
// if there are more than pingsPerPeriod ping targets.
func (m *Membership) scaledPingPeriod() time.Duration {
	targets := len(m.View().PingTargets())
	return m.options.PingPeriod * time.Duration(max(targets, pingsPerPeriod)) / pingsPerPeriod
}

// ReadList reads the list of hosts from one of the region's readers. It reads from the platform if
// this host is a reader, if there are few hosts, or if no reader answers. If the platform doesn't
// answer either, the old list stays.
func (m *Membership) ReadList(ctx context.Context) {
	hosts, ok := m.readFromPeer(ctx)
	if !ok {
		var err error
		if hosts, err = m.options.Hosts.List(ctx); err != nil {
			return
		}
	}
	routerHosts := make([]store.Host, 0, len(hosts))
	for _, h := range hosts {
		if h.Kind == store.HostEntry {
			routerHosts = append(routerHosts, h)
		}
	}
	m.mu.Lock()
	m.listedHosts, m.allListed = routerHosts, hosts
	m.mu.Unlock()
	m.rebuild()
}

// PingAll pings all ping targets concurrently.
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

// HandlePing records the status in another host's ping and returns this host's status.
func (m *Membership) HandlePing(status peer.Status) peer.Status {
	m.recordStatus(status, clock.Now())
	return m.options.Self()
}

// recordStatus stores a received status and passes it to Options.Observe with the given time.
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

// rebuild makes a new view from the list and the received statuses.
func (m *Membership) rebuild() {
	period := m.options.PingPeriod
	if m.view.Load() != nil {
		period = m.scaledPingPeriod()
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

// memberFromStatus returns the member that a host's own status describes.
func memberFromStatus(s peer.Status, state State) Member {
	if s.Draining {
		state = StateDraining
	}
	return Member{
		Host: s.Host, DataHall: s.DataHall, Region: s.Region, Address: s.Address,
		State: state, Status: s,
	}
}

// listedMember returns the member for a host of the list, and determines its state. The caller
// holds mu.
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
