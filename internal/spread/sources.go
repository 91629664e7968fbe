package spread

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/spread/spreadpb"
	"quaybarrow/internal/store"
)

// peerSources are the hosts that come before this one in its order, and if there
// are none, this host's own mirror. The first is asked to wait for changes.
func (w *Watcher) peerSources(table string, after int64, wait time.Duration) []source {
	candidates := w.peers.candidates(peersTried)
	if len(candidates) == 0 {
		m := w.mirror(table)
		return []source{{patience: wait + hopMargin, connected: func() bool { return true }, read: func(ctx context.Context) (news, error) {
			return m.news(ctx, after, wait)
		}}}
	}
	var sources []source
	for _, p := range candidates {
		sources = append(sources, w.peerSource(p, &spreadpb.ReadRequest{Table: table, After: after, WaitMicros: wait.Microseconds()}))
		wait = 0
	}
	return sources
}

// otherSources are a few hosts of any group, asked for what they were told.
func (w *Watcher) otherSources(table string, after int64) []source {
	var sources []source
	for _, p := range w.peers.some(othersTried, w.peers.candidates(peersTried)) {
		sources = append(sources, w.peerSource(p, &spreadpb.ReadRequest{Table: table, After: after, Lately: true}))
	}
	return sources
}

// peerSource asks another host. What it tells is taken only while it is fresh.
func (w *Watcher) peerSource(p peer, request *spreadpb.ReadRequest) source {
	wait := time.Duration(request.GetWaitMicros()) * time.Microsecond
	read := func(ctx context.Context) (news, error) {
		limited, cancel := context.WithTimeout(ctx, wait+peerTimeout)
		defer cancel()
		n, err := w.link.read(limited, p, request, w.hear)
		behind := request.GetAfter() < 0 && n.version < w.remember(request.GetTable()).version()
		if err == nil && (n.age > w.options.fresh() || behind) {
			err = staleError(p, n.age)
		}
		switch {
		case err == nil:
			w.peers.answered(p)
		case ctx.Err() == nil && !errors.Is(err, errTooLong):
			w.peers.failed(p, err)
			w.options.Logger.Info("host does not pass on the store", "peer", p.name, "address", p.address, "error", err)
		}
		return n, err
	}
	silent := func() {
		w.link.unanswered(p.address)
		w.peers.failed(p, errSilent)
		w.options.Logger.Info("host does not pass on the store", "peer", p.name, "address", p.address, "error", errSilent)
	}
	connected := func() bool { return w.link.connected(p.address) }
	return source{patience: wait + hopMargin, connected: connected, read: read, silent: silent}
}

// peerTimeout is when an answer of another host is given up, beyond its wait, if
// nobody else has answered either.
const peerTimeout = 2 * time.Second

// errSilent means that a host has not answered in time.
var errSilent = errors.New("no answer in time")

// readDirectly reads the store. After a failure it is not read again for a while,
// the longer the more hosts there are, since it is most likely away for all.
func (w *Watcher) readDirectly(ctx context.Context, table string, after int64, wait time.Duration) (news, error) {
	w.mu.Lock()
	early := clock.Now().Before(w.direct)
	w.mu.Unlock()
	if early {
		return news{}, errors.WithMessage(store.ErrUnavailable, "not read directly so soon after a failure")
	}
	n, err := w.readStore(ctx, table, after, wait)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		// The connection may have fallen silent, and a new one works.
		n, err = w.readStore(ctx, table, after, wait)
	}
	if err != nil && !errors.Is(err, store.ErrCompacted) && ctx.Err() == nil {
		pause := min(directEvery*time.Duration(max(1, w.Hosts()/directHosts)), directMost)
		w.mu.Lock()
		w.direct = clock.Now().Add(clock.Around(pause))
		w.mu.Unlock()
	}
	return n, err
}

// readStore reads changes of a table from the store, or all of it.
func (w *Watcher) readStore(ctx context.Context, table string, after int64, wait time.Duration) (news, error) {
	if after >= 0 {
		changes, version, err := w.options.Store.Changes(ctx, table, after, wait)
		return news{changes: changes, version: version}, err
	}
	state, err := w.options.Store.State(ctx, table)
	n := news{version: state.Version}
	for _, row := range state.Rows {
		n.changes = append(n.changes, store.Change{Row: row})
	}
	return n, err
}
