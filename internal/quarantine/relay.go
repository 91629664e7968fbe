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
	// directMost hosts are told one by one.
	directMost = 16
	// relayGather is how long what comes to the first of a group shares messages.
	relayGather = 100 * time.Millisecond
	// nextAfter is when the next host of a group is told too, if the one before has not answered:
	// a connection and a slow processor.
	nextAfter  = 150 * time.Millisecond
	relayTries = 3
)

// Scope is how far who hears news passes it on.
type Scope int

// Scopes of news.
const (
	ScopeNone  Scope = iota
	ScopeGroup       // to its group
	ScopeAll         // to its group, and to the others
)

// relays are the rows that this host is to pass on.
type relays struct {
	due wake.Signal // there are some

	mu   sync.Mutex       // guards rows
	rows map[string]Scope // by host that they are of
	// whole is to which hosts it is passed on that the rows are all that hosts have told and kept.
	whole Scope
}

func newRelays() *relays { return &relays{due: wake.NewSignal(), rows: map[string]Scope{}} }

// add has rows passed on.
func (r *relays) add(rows []Row, scope Scope, whole bool) {
	if scope == ScopeNone || (len(rows) == 0 && !whole) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		r.rows[row.Host] = max(r.rows[row.Host], scope)
	}
	if whole {
		r.whole = max(r.whole, scope)
	}
	r.due.Notify()
}

// take returns the hosts whose rows are to be passed on to the group, and of them those for all hosts,
// and to which hosts they are all that hosts have told and kept.
func (r *relays) take() (group, all []string, whole Scope) {
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
	whole, r.whole = r.whole, ScopeNone
	return group, all, whole
}

// pass passes on what this host is to, as long as the context lasts.
func (b *Book) pass(ctx context.Context) {
	for b.relays.due.Wait(ctx) {
		clock.Sleep(ctx, relayGather)
		b.relays.due.Clear()
		group, all, whole := b.relays.take()
		b.mu.Lock()
		near, far := b.encoded(group), b.encoded(all)
		b.mu.Unlock()
		own, others := b.groups()
		var telling sync.WaitGroup
		telling.Go(func() { b.tellAll(ctx, own, News{Rows: near, Loaded: whole >= ScopeGroup}) })
		if len(far) > 0 || whole == ScopeAll {
			for _, g := range others {
				telling.Go(func() {
					b.tellFirst(ctx, g[:min(relayTries, len(g))], News{Rows: far, Loaded: whole == ScopeAll, Scope: ScopeGroup})
				})
			}
		}
		telling.Wait()
	}
}

// spread tells all other hosts; whole tells that the rows are all that hosts have told and kept.
func (b *Book) spread(ctx context.Context, rows []Row, whole bool) {
	members, n := b.options.Members(), News{Rows: rows, Loaded: whole}
	if len(members) <= directMost {
		b.tellAll(ctx, members, n)
		return
	}
	own, others := b.groups()
	if len(own) == 0 || b.options.Host < own[0].Name {
		b.relays.add(rows, ScopeAll, whole) // this host is the first of its group
		return
	}
	n.Scope = ScopeAll
	tried := slices.Clone(own[:min(relayTries, len(own))])
	for _, g := range others[:min(relayTries, len(others))] {
		tried = append(tried, g[0]) // any of them passes on to all as well
	}
	if !b.tellFirst(ctx, tried, n) && ctx.Err() == nil {
		// Most likely nobody reaches this host; it compares with the next one again and again.
		b.options.Logger.Info("nobody passes on what was seen of crashes", "tried", len(tried))
	}
}

// groups are the other hosts of this host's group, and the other groups, each in order.
func (b *Book) groups() (own []Member, others [][]Member) {
	members := append(b.options.Members(), Member{Name: b.options.Host})
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	size := int(math.Ceil(math.Sqrt(float64(len(members)))))
	for g := range slices.Chunk(members, size) {
		if i := slices.IndexFunc(g, func(m Member) bool { return m.Name == b.options.Host }); i >= 0 {
			own = slices.Delete(slices.Clone(g), i, i+1)
			continue
		}
		others = append(others, g)
	}
	return own, others
}

// tellFirst tells the first of some hosts, and the next ones where it does not answer soon; false
// if none does.
func (b *Book) tellFirst(ctx context.Context, tried []Member, n News) bool {
	answers := make(chan bool, len(tried))
	failed := 0
	for _, m := range tried {
		go func() { answers <- b.tellOne(ctx, m, n) }()
		select {
		case ok := <-answers:
			if ok {
				return true
			}
			failed++
		case <-time.After(nextAfter):
		}
	}
	for ; failed < len(tried); failed++ {
		if <-answers {
			return true
		}
	}
	return false
}
