package spread

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/store"
)

// HostsTable is the table in which each host has a row, keyed by its name.
const HostsTable = "hosts"

const (
	// hostsPerReader is how many hosts share one reader of the store if the reader may use as much
	// of a processor as most hosts of a large deployment do. hostsPerReaderCore is how many share
	// one that may use more, for each core: a reader answers about two and a half requests a second
	// from each of them. Each reader of a table makes one call to the store in a second or two.
	hostsPerReader     = 64
	hostsPerReaderCore = 320
	// maxHallWithoutReader is the largest data hall, in hosts, that has no readers of its own.
	maxHallWithoutReader = hostsPerReader / 2
	// maxAdvisedRegion is the largest number of hosts in a region that share one advisor. A single
	// advisor sees everything that waits and is kept at an endpoint, where one advisor per data
	// hall sees only a part.
	maxAdvisedRegion = 128
	// minPeerPause and maxPeerPause bound the time before a host that failed is asked again. The
	// time doubles with each failure, since a host that is gone for good stays in the table.
	minPeerPause = 3 * time.Second
	maxPeerPause = 60 * time.Second
)

// entry is the value of a host's row.
type entry struct {
	Address string  `json:"address"`
	Hall    string  `json:"hall"`
	Cores   float64 `json:"cores"` // processor cores that the host may use
}

// peer is another host, or this one.
type peer struct {
	name      string
	address   string
	hall      string
	cores     float64
	rank      uint64
	otherHall bool // in another data hall, if the asking host prefers its own
}

// peerBackoff delays requests to a host that failed recently.
type peerBackoff struct {
	retryAt clock.Instant // no request is sent before
	pause   time.Duration
}

// peers is the list of hosts, as seen from this host. It is safe for concurrent use.
type peers struct {
	self, hall string
	regions    map[string]string // by data hall

	mu              sync.Mutex // guards the fields below
	ranked          []peer     // in the order in which this host asks; the seeds until the list has been read
	before          []string   // addresses of the hosts of the same advisor group that come before this one
	after           []string   // addresses of those that come after it
	leads           bool       // this host is listed, and comes first in its advisor group
	hostCount       int
	advisorGroups   int // number of groups of hosts that choose endpoints together
	readerScopeSize int // number of hosts that may share this host's reader
	backoffs        map[string]peerBackoff
	ring            []Member // all other hosts, starting at the next one
}

func newPeers(o Options) *peers {
	p := &peers{self: o.Host, hall: o.Hall, regions: o.Regions, backoffs: map[string]peerBackoff{}}
	for _, address := range o.Seeds {
		if address != o.Address {
			p.ranked = append(p.ranked, peer{name: address, address: address})
		}
	}
	p.ring = ringOf(p.ranked, peer{name: p.self, hall: p.hall})
	return p
}

// set replaces the list of hosts.
func (p *peers) set(entries map[string]entry) {
	ranked := askOrder(entries, p.self, p.hall)
	advisors := newAdvisorGroups(entries, p.regions)
	before, after := advisors.beforeAndAfter(entries, p.self, p.hall)
	groups := advisors.count(entries)
	_, listed := entries[p.self]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ranked, p.hostCount, p.before, p.after, p.advisorGroups = ranked, len(entries), before, after, groups
	p.leads = listed && len(before) == 0
	p.readerScopeSize, _ = readerScope(entries, p.hall)
	p.ring = ringOf(ranked, peer{name: p.self, hall: p.hall})
}

// ringOf returns all hosts but self in ring order, starting at the one after self. The order is the
// same for all hosts.
func ringOf(hosts []peer, self peer) []Member {
	ring := slices.Clone(hosts)
	slices.SortFunc(ring, byRingOrder)
	next, _ := slices.BinarySearchFunc(ring, self, byRingOrder)
	members := make([]Member, 0, len(ring))
	for _, q := range slices.Concat(ring[next:], ring[:next]) {
		if q.name != self.name {
			members = append(members, Member{Name: q.name, Address: q.address})
		}
	}
	return members
}

// askOrder returns all hosts in the order in which the host self asks them. Each group of hosts has
// an order of its own. Hosts that may use more of a processor come first, which makes them the
// readers. In a large data hall, its own hosts come first: a reader for each hall costs only a few
// calls more, and traffic between halls is expensive.
func askOrder(entries map[string]entry, self, hall string) []peer {
	members, ownHall := readerScope(entries, hall)
	groups := uint64(readerGroupCount(entries, members, hall, ownHall))
	group := xxhash.Sum64String(self) % groups
	ranked := make([]peer, 0, len(entries))
	for name, e := range entries {
		rank := xxhash.Sum64String(fmt.Sprint(group, "/", name))
		ranked = append(ranked, peer{name: name, address: e.Address, hall: e.Hall, cores: e.Cores, rank: rank, otherHall: ownHall && e.Hall != hall})
	}
	slices.SortFunc(ranked, byCoresAndRank)
	return ranked
}

// readerScope counts the hosts among which the readers for a data hall are chosen, and reports
// whether these are only the hosts of that hall.
func readerScope(entries map[string]entry, hall string) (members int, ownHall bool) {
	inHall := 0
	for _, e := range entries {
		if e.Hall == hall {
			inHall++
		}
	}
	if inHall > maxHallWithoutReader {
		return inHall, true
	}
	return len(entries), false
}

// readerGroupCount returns the number of groups, each with its own reader: as few as the hosts with
// the most processor cores can serve.
func readerGroupCount(entries map[string]entry, members int, hall string, ownHall bool) int {
	var cores []float64
	for _, e := range entries {
		if !ownHall || e.Hall == hall {
			cores = append(cores, e.Cores)
		}
	}
	slices.SortFunc(cores, func(a, b float64) int { return cmp.Compare(b, a) })
	groups := 0
	for served := 0; served < members; groups++ {
		served += max(hostsPerReader, int(hostsPerReaderCore*cores[min(groups, len(cores)-1)]))
	}
	return max(groups, 1)
}

func byCoresAndRank(a, b peer) int {
	if a.otherHall != b.otherHall {
		if a.otherHall {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(a.rank, b.rank))
}

// randomPeers returns up to limit random hosts that are not in except and not in a pause after a
// failure.
func (p *peers) randomPeers(limit int, except []peer) []peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	var found []peer
	for _, i := range rand.Perm(len(p.ranked)) {
		q := p.ranked[i]
		if len(found) == limit {
			break
		}
		if q.name == p.self || slices.Contains(except, q) || now.Before(p.backoffs[q.name].retryAt) {
			continue
		}
		found = append(found, q)
	}
	return found
}

// has reports whether the list has an entry of the host with the same address and cores.
func (p *peers) has(name string, e entry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.ranked {
		if q.name == name {
			return q.address == e.Address && q.cores == e.Cores
		}
	}
	return false
}

// candidates returns the hosts to ask, best first and at most limit; none if this host itself comes
// first.
func (p *peers) candidates(limit int) []peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	var found []peer
	for _, q := range p.ranked {
		if q.name == p.self || len(found) == limit {
			break
		}
		if now.Before(p.backoffs[q.name].retryAt) {
			continue
		}
		found = append(found, q)
	}
	return found
}

func (p *peers) recordAnswer(q peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.backoffs, q.name)
}

// recordFailure records that a host did not answer, or that it cannot reach the store.
func (p *peers) recordFailure(q peer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isStoreUnreachable(err) {
		// The host itself works, and keeps trying to reach the store for all others.
		delete(p.backoffs, q.name)
		return
	}
	s := p.backoffs[q.name]
	s.pause = min(max(2*s.pause, minPeerPause), maxPeerPause)
	s.retryAt = clock.Now().Add(s.pause)
	p.backoffs[q.name] = s
}

// readerScopeHosts returns the number of hosts that may share this host's reader.
func (p *peers) readerScopeHosts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readerScopeSize
}

// Hosts returns the number of listed hosts, at least 1 for this host.
func (w *Watcher) Hosts() int {
	w.peers.mu.Lock()
	defer w.peers.mu.Unlock()
	return max(w.peers.hostCount, 1)
}

// Leads reports whether this host is listed and comes first in its advisor group.
func (w *Watcher) Leads() bool {
	w.peers.mu.Lock()
	defer w.peers.mu.Unlock()
	return w.peers.leads
}

// Member is another host.
type Member struct{ Name, Address string }

// Members returns all other hosts in ring order, starting at the next one, or the seeds until the
// list has been read. The order is the same for all hosts. Hosts of a data hall are adjacent, so
// that few messages between neighbors leave the hall.
func (w *Watcher) Members() []Member {
	w.peers.mu.Lock()
	defer w.peers.mu.Unlock()
	return slices.Clone(w.peers.ring)
}

// LocatedMember is another host with its data hall; the hall is empty until the list has been read.
type LocatedMember struct{ Address, Hall string }

// LocatedMembers returns all other hosts with their data halls, in the order of Members.
func (w *Watcher) LocatedMembers() []LocatedMember {
	w.peers.mu.Lock()
	defer w.peers.mu.Unlock()
	halls := make(map[string]string, len(w.peers.ranked))
	for _, q := range w.peers.ranked {
		halls[q.address] = q.hall
	}
	located := make([]LocatedMember, 0, len(w.peers.ring))
	for _, m := range w.peers.ring {
		located = append(located, LocatedMember{Address: m.Address, Hall: halls[m.Address]})
	}
	return located
}

// byRingOrder compares hosts by their position in the ring.
func byRingOrder(a, b peer) int {
	return cmp.Or(cmp.Compare(a.hall, b.hall), cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name)), cmp.Compare(a.name, b.name))
}

// ownEntry returns the entry of this host.
func (w *Watcher) ownEntry() entry {
	return entry{Address: w.options.Address, Hall: w.options.Hall, Cores: w.options.Cores}
}

// PrecedingHosts returns the addresses of the hosts of the same advisor group that come before this
// one. All hosts of the group use the same order while they know the same list.
func (w *Watcher) PrecedingHosts() []string {
	w.peers.mu.Lock()
	defer w.peers.mu.Unlock()
	return w.peers.before
}

// FollowingHosts returns the addresses of the hosts of the same advisor group that come after this
// one.
func (w *Watcher) FollowingHosts() []string {
	w.peers.mu.Lock()
	defer w.peers.mu.Unlock()
	return w.peers.after
}

// readHostList reads the list of hosts from the store.
func (w *Watcher) readHostList(ctx context.Context) error {
	state, err := w.options.Store.State(ctx, HostsTable)
	if err != nil {
		return fmt.Errorf("read list of hosts: %w", err)
	}
	w.setHostList(state)
	return nil
}

// requestHostList reads the list of hosts from other hosts, or from the store if none has it.
func (w *Watcher) requestHostList(ctx context.Context) error {
	update, err := w.readWhole(ctx, HostsTable)
	if err != nil {
		return fmt.Errorf("request list of hosts: %w", err)
	}
	w.setHostList(w.cached(HostsTable).replace(update))
	return nil
}

// setHostList decodes the rows of the table of hosts and replaces the list.
func (w *Watcher) setHostList(state store.State) {
	entries := map[string]entry{}
	for _, row := range state.Rows {
		e, err := codec.Decode[entry](row.Value)
		if err != nil {
			w.options.Logger.Error("entry of a host can't be read", "row", row.Key, "error", err)
			continue
		}
		entries[row.Key] = e
	}
	w.peers.set(entries)
	w.options.Logger.Info("hosts read", "count", len(entries))
}
