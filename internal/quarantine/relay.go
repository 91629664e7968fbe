package quarantine

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/wake"
)

// In large deployments, hosts form groups. There are about as many groups as a group has hosts, and
// all hosts compute the same groups from the list of hosts. A host that has seen something sends it
// to the first host of its group, which sends it to the first host of each other group and to all
// hosts of its own; the first hosts of the other groups send it to their groups. Rows that a host
// receives within a short delay are forwarded together. So the number of messages grows with the
// number of hosts plus the number of observers, not with their product: when a seventh of the
// endpoints crash, hundreds of hosts have had requests there.
const (
	// maxDirectPeers is the number of other hosts up to which a host sends to each of them directly.
	maxDirectPeers = 16
	// relayBatchDelay is how long the first host of a group collects rows before it forwards them
	// together.
	relayBatchDelay = 100 * time.Millisecond
	// nextPeerDelay is the time after which the next host of a group is sent the update too, if the
	// one before has not answered: enough for a new connection and a slow processor.
	nextPeerDelay = 150 * time.Millisecond
	maxRelayPeers = 3
)

// Scope determines to which hosts the receiver of an update forwards it.
type Scope int

// Values of Scope.
const (
	ScopeNone  Scope = iota // to no host
	ScopeGroup              // to its group
	ScopeAll                // to its group and to the other groups
)

// relayQueue holds the hosts whose rows this host has to forward.
type relayQueue struct {
	due wake.Signal // poked when there are some

	mu   sync.Mutex       // guards all fields below
	rows map[string]Scope // by the host whose row it is
	// completeScope is the scope of forwarding, along with the rows, that they are all that hosts
	// have sent and stored.
	completeScope Scope
}

func newRelayQueue() *relayQueue { return &relayQueue{due: wake.NewSignal(), rows: map[string]Scope{}} }

// add queues rows for forwarding.
func (r *relayQueue) add(rows []Row, scope Scope, complete bool) {
	if scope == ScopeNone || (len(rows) == 0 && !complete) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		r.rows[row.Host] = max(r.rows[row.Host], scope)
	}
	if complete {
		r.completeScope = max(r.completeScope, scope)
	}
	r.due.Notify()
}

// take empties the queue. It returns the hosts whose rows are to be forwarded to the group, those of
// them whose rows go to all hosts, and the scope in which the rows are all that hosts have sent and
// stored.
func (r *relayQueue) take() (group, all []string, completeScope Scope) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for host, scope := range r.rows {
		group = append(group, host)
		if scope == ScopeAll {
			all = append(all, host)
		}
	}
	clear(r.rows)
	slices.Sort(group)
	slices.Sort(all)
	completeScope, r.completeScope = r.completeScope, ScopeNone
	return group, all, completeScope
}

// relayLoop forwards the queued rows until the context ends.
func (t *Tracker) relayLoop(ctx context.Context) {
	for t.relayQueue.due.Wait(ctx) {
		clock.Sleep(ctx, relayBatchDelay)
		t.relayQueue.due.Clear()
		group, all, completeScope := t.relayQueue.take()
		t.mu.Lock()
		groupRows, allRows := t.encodeRows(group), t.encodeRows(all)
		t.mu.Unlock()
		own, others := t.relayGroups()
		var sending sync.WaitGroup
		sending.Go(func() { t.sendAll(ctx, own, Update{Rows: groupRows, Loaded: completeScope >= ScopeGroup}) })
		if len(allRows) > 0 || completeScope == ScopeAll {
			for _, g := range others {
				sending.Go(func() {
					t.sendToFirst(ctx, g[:min(maxRelayPeers, len(g))], Update{Rows: allRows, Loaded: completeScope == ScopeAll, Scope: ScopeGroup})
				})
			}
		}
		sending.Wait()
	}
}

// broadcast sends rows to all other hosts; complete means that they are all that hosts have sent and
// stored.
func (t *Tracker) broadcast(ctx context.Context, rows []Row, complete bool) {
	members, u := t.options.Members(), Update{Rows: rows, Loaded: complete}
	if len(members) <= maxDirectPeers {
		t.sendAll(ctx, members, u)
		return
	}
	own, others := t.relayGroups()
	if len(own) == 0 || t.options.Host < own[0].Name {
		t.relayQueue.add(rows, ScopeAll, complete) // this host is the first of its group
		return
	}
	u.Scope = ScopeAll
	candidates := slices.Clone(own[:min(maxRelayPeers, len(own))])
	for _, g := range others[:min(maxRelayPeers, len(others))] {
		candidates = append(candidates, g[0]) // any of them forwards to all hosts as well
	}
	if !t.sendToFirst(ctx, candidates, u) && ctx.Err() == nil {
		// Most likely no host can reach this one; it compares its rows with the next host
		// periodically.
		t.options.Logger.Info("nobody passes on what was seen of crashes", "tried", len(candidates))
	}
}

// relayGroups returns the other hosts of this host's group, and the other groups, each sorted by
// name.
func (t *Tracker) relayGroups() (own []Member, others [][]Member) {
	members := append(t.options.Members(), Member{Name: t.options.Host})
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	size := int(math.Ceil(math.Sqrt(float64(len(members)))))
	for g := range slices.Chunk(members, size) {
		if i := slices.IndexFunc(g, func(m Member) bool { return m.Name == t.options.Host }); i >= 0 {
			own = slices.Delete(slices.Clone(g), i, i+1)
			continue
		}
		others = append(others, g)
	}
	return own, others
}

// sendToFirst sends to the first candidate, and to the next ones while there is no prompt answer; it
// returns false if none answers.
func (t *Tracker) sendToFirst(ctx context.Context, candidates []Member, u Update) bool {
	results := make(chan bool, len(candidates))
	failed := 0
	for _, m := range candidates {
		go func() { results <- t.send(ctx, m, u) }()
		select {
		case ok := <-results:
			if ok {
				return true
			}
			failed++
		case <-time.After(nextPeerDelay):
		}
	}
	for ; failed < len(candidates); failed++ {
		if <-results {
			return true
		}
	}
	return false
}
