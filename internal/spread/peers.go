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

// HostsTable is where hosts list themselves, by name.
const HostsTable = "hosts"

const (
	// hostsPerReader is how many hosts share a reader of the store that may use as much of a processor
	// as the hosts of a large deployment mostly do, and hostsPerCore how many share one that may
	// use more: a reader answers some two and a half questions a second of each. Each reader of a
	// table makes a call in a second or two.
	hostsPerReader     = 64
	hostsPerReaderCore = 320
	// maxHallWithoutReader is from how many hosts on a data hall has readers of its own.
	maxHallWithoutReader = hostsPerReader / 2
	// maxAdvisedRegion is up to how many hosts one of them advises all data halls: it sees all that
	// waits and is kept at an endpoint, where one for each data hall sees a part.
	maxAdvisedRegion = 128
	// minPeerPause and pauseMost bound the time before a host that failed is asked
	// again; it doubles each time, since a host that is gone for good stays listed.
	minPeerPause = 3 * time.Second
	maxPeerPause = 60 * time.Second
)

// entry is a host's row.
type entry struct {
	Address string  `json:"address"`
	Hall    string  `json:"hall"`
	Cores   float64 `json:"cores"` // what it may use of a processor
}

// peer is another host, or this one.
type peer struct {
	name      string
	address   string
	hall      string
	cores     float64
	rank      uint64
	otherHall bool // in another data hall, where that matters
}

// peerBackoff is how a peer has lately done.
type peerBackoff struct {
	retryAt clock.Instant // not asked before
	pause   time.Duration
}

// peers are the listed hosts; safe for use at once.
type peers struct {
	self, hall string
	regions    map[string]string // by data hall

	mu              sync.Mutex // guards all below
	ranked          []peer     // in the order in which this host asks; the seeds until the list was read
	before          []string   // addresses of the hosts that choose endpoints with this one and come before it
	after           []string   // addresses of those that come after it
	leads           bool       // this host is listed, and none comes before it
	hostCount       int
	adviserGroups   int // of hosts that choose endpoints together
	readerScopeSize int // hosts that this one's reader may read for
	backoffs        map[string]peerBackoff
	ring            []Member // all other hosts, from the next one on
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

// set replaces the list.
func (p *peers) set(entries map[string]entry) {
	ranked := askOrder(entries, p.self, p.hall)
	advisers := newAdviserGroups(entries, p.regions)
	before, after := advisers.beforeAndAfter(entries, p.self, p.hall)
	groups := advisers.count(entries)
	_, listed := entries[p.self]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ranked, p.hostCount, p.before, p.after, p.adviserGroups = ranked, len(entries), before, after, groups
	p.leads = listed && len(before) == 0
	p.readerScopeSize, _ = readerScope(entries, p.hall)
	p.ring = ringOf(ranked, peer{name: p.self, hall: p.hall})
}

// ringOf lists all hosts but one in a ring that is the same for all, from the next one on.
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

// askOrder lists hosts in the order in which one of them asks. A group of hosts has
// an order of its own; those that may use more of a processor come first, so that
// the readers are among them. Where data halls are large, a host's own come
// first: then a reader for each hall costs few calls more, and bytes between halls are
// dear.
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

// readerScope counts the hosts that have readers together, and tells whether they are those of a data
// hall.
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

// readerGroupCount is how many groups hosts fall into, each with a reader of its own: as many as the hosts
// with most of a processor can read for.
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

// randomPeers returns a few hosts by chance, of those that are not asked first.
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

// has reports whether the list has a host's entry as it is.
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

// candidates returns the hosts to ask, best first, at most limit; none if this
// host comes first.
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

// recordFailure notes that a host did not answer, or does not reach the store.
func (p *peers) recordFailure(q peer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isStoreUnreachable(err) {
		// The host is well, and goes on trying for everyone.
		delete(p.backoffs, q.name)
		return
	}
	s := p.backoffs[q.name]
	s.pause = min(max(2*s.pause, minPeerPause), maxPeerPause)
	s.retryAt = clock.Now().Add(s.pause)
	p.backoffs[q.name] = s
}

// readerScopeHosts counts the hosts that this one's reader may read for.
func (p *peers) readerScopeHosts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readerScopeSize
}

// Hosts counts the listed hosts, at least this one.
func (w *Watcher) Hosts() int {
	w.peers.mu.Lock()
	defer w.peers.mu.Unlock()
	return max(w.peers.hostCount, 1)
}

// Leads reports whether this host is listed and comes before all others.
func (w *Watcher) Leads() bool {
	w.peers.mu.Lock()
	defer w.peers.mu.Unlock()
	return w.peers.leads
}

// Member is another host.
type Member struct{ Name, Address string }

// Members lists all other hosts in a ring that is the same for all, from the next one on; the
// seeds until the list was read. Hosts of a data hall stand together, so that few messages between
// neighbours leave it.
func (w *Watcher) Members() []Member {
	w.peers.mu.Lock()
	defer w.peers.mu.Unlock()
	return slices.Clone(w.peers.ring)
}

// byRingOrder compares hosts by their place in the ring.
func byRingOrder(a, b peer) int {
	return cmp.Or(cmp.Compare(a.hall, b.hall), cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name)), cmp.Compare(a.name, b.name))
}

// ownEntry is this host's entry.
func (w *Watcher) ownEntry() entry {
	return entry{Address: w.options.Address, Hall: w.options.Hall, Cores: w.options.Cores}
}

// PrecedingHosts returns the addresses of the data hall's hosts that come before this one in
// an order that all its hosts agree on while they know the same list.
func (w *Watcher) PrecedingHosts() []string {
	w.peers.mu.Lock()
	defer w.peers.mu.Unlock()
	return w.peers.before
}

// FollowingHosts returns the addresses of those that come after it.
func (w *Watcher) FollowingHosts() []string {
	w.peers.mu.Lock()
	defer w.peers.mu.Unlock()
	return w.peers.after
}

// readHostList reads the list of hosts from the store.
func (w *Watcher) readHostList(ctx context.Context) error {
	state, err := w.options.Store.State(ctx, HostsTable)
	if err != nil {
		return fmt.Errorf("read hosts: %w", err)
	}
	w.setHostList(state)
	return nil
}

// requestHostList reads the list of hosts as other hosts pass it on.
func (w *Watcher) requestHostList(ctx context.Context) error {
	n, err := w.readWhole(ctx, HostsTable)
	if err != nil {
		return fmt.Errorf("ask for hosts: %w", err)
	}
	w.setHostList(w.cached(HostsTable).replace(n))
	return nil
}

// setHostList takes in the list of hosts.
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
