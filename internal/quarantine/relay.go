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

// Where there are many hosts, each belongs to one of as many groups as a group has hosts, which all
// hosts work out alike from the list. Who has seen something tells the first host of its group; that
// one tells the first of each other group, and its own; so do they. What each gathers for a moment
// goes on together. So messages are as many as the hosts and those that saw something, not their
// product: when a seventh of the endpoints crash, hundreds of hosts have had something there.
const (
	// maxDirectPeers hosts are told one by one.
	maxDirectPeers = 16
	// relayBatchDelay is how long what comes to the first of a group shares messages.
	relayBatchDelay = 100 * time.Millisecond
	// nextPeerDelay is when the next host of a group is told too, if the one before has not answered:
	// a connection and a slow processor.
	nextPeerDelay = 150 * time.Millisecond
	maxRelayPeers = 3
)

// Scope is how far who hears news passes it on.
type Scope int

// Scopes of news.
const (
	ScopeNone  Scope = iota
	ScopeGroup       // to its group
	ScopeAll         // to its group, and to the others
)

// relayQueue are the rows that this host is to pass on.
type relayQueue struct {
	due wake.Signal // there are some

	mu   sync.Mutex       // guards rows
	rows map[string]Scope // by host that they are of
	// completeScope is to which hosts it is passed on that the rows are all that hosts have told and kept.
	completeScope Scope
}

func newRelayQueue() *relayQueue { return &relayQueue{due: wake.NewSignal(), rows: map[string]Scope{}} }

// add has rows passed on.
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
	r.due.Poke()
}

// take returns the hosts whose rows are to be passed on to the group, and of them those for all hosts,
// and to which hosts they are all that hosts have told and kept.
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

// relayLoop passes on what this host is to, as long as the context lasts.
func (t *Tracker) relayLoop(ctx context.Context) {
	for t.relayQueue.due.Await(ctx) {
		clock.Sleep(ctx, relayBatchDelay)
		t.relayQueue.due.Drain()
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

// broadcast tells all other hosts; whole tells that the rows are all that hosts have told and kept.
func (t *Tracker) broadcast(ctx context.Context, rows []Row, complete bool) {
	members, n := t.options.Members(), Update{Rows: rows, Loaded: complete}
	if len(members) <= maxDirectPeers {
		t.sendAll(ctx, members, n)
		return
	}
	own, others := t.relayGroups()
	if len(own) == 0 || t.options.Host < own[0].Name {
		t.relayQueue.add(rows, ScopeAll, complete) // this host is the first of its group
		return
	}
	n.Scope = ScopeAll
	candidates := slices.Clone(own[:min(maxRelayPeers, len(own))])
	for _, g := range others[:min(maxRelayPeers, len(others))] {
		candidates = append(candidates, g[0]) // any of them passes on to all as well
	}
	if !t.sendToFirst(ctx, candidates, n) && ctx.Err() == nil {
		// Most likely nobody reaches this host; it compares with the next one again and again.
		t.options.Logger.Info("nobody passes on what was seen of crashes", "tried", len(candidates))
	}
}

// relayGroups are the other hosts of this host's group, and the other relayGroups, each in order.
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

// sendToFirst tells the first of some hosts, and the next ones where it does not answer soon; false
// if none does.
func (t *Tracker) sendToFirst(ctx context.Context, candidates []Member, n Update) bool {
	answers := make(chan bool, len(candidates))
	failed := 0
	for _, m := range candidates {
		go func() { answers <- t.send(ctx, m, n) }()
		select {
		case ok := <-answers:
			if ok {
				return true
			}
			failed++
		case <-time.After(nextPeerDelay):
		}
	}
	for ; failed < len(candidates); failed++ {
		if <-answers {
			return true
		}
	}
	return false
}
