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
		return []source{{hedgeDelay: wait + hopMargin, connected: func() bool { return true }, read: func(ctx context.Context) (tableUpdate, error) {
			return m.read(ctx, after, wait)
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
	for _, p := range w.peers.randomPeers(othersTried, w.peers.candidates(peersTried)) {
		sources = append(sources, w.peerSource(p, &spreadpb.ReadRequest{Table: table, After: after, Lately: true}))
	}
	return sources
}

// peerSource asks another host. What it tells is taken only while it is fresh.
func (w *Watcher) peerSource(p peer, request *spreadpb.ReadRequest) source {
	wait := time.Duration(request.GetWaitMicros()) * time.Microsecond
	read := func(ctx context.Context) (tableUpdate, error) {
		limited, cancel := context.WithTimeout(ctx, wait+peerTimeout)
		defer cancel()
		n, err := w.pool.read(limited, p, request, w.recordClock)
		behind := request.GetAfter() < 0 && n.version < w.cached(request.GetTable()).version()
		if err == nil && (n.age > w.options.maxAge() || behind) {
			err = staleError(p, n.age)
		}
		switch {
		case err == nil:
			w.peers.recordAnswer(p)
		case ctx.Err() == nil && !errors.Is(err, errTableTooLong):
			w.peers.recordFailure(p, err)
			w.options.Logger.Info("host does not pass on the store", "peer", p.name, "address", p.address, "error", err)
		}
		return n, err
	}
	onNoAnswer := func() {
		w.pool.recordTimeout(p.address)
		w.peers.recordFailure(p, errNoAnswer)
		w.options.Logger.Info("host does not pass on the store", "peer", p.name, "address", p.address, "error", errNoAnswer)
	}
	connected := func() bool { return w.pool.connected(p.address) }
	return source{hedgeDelay: wait + hopMargin, connected: connected, read: read, onNoAnswer: onNoAnswer}
}

// peerTimeout is when an answer of another host is given up, beyond its wait, if
// nobody else has answered either.
const peerTimeout = 2 * time.Second

// errNoAnswer means that a host has not answered in time.
var errNoAnswer = errors.New("no answer in time")

// readDirectly reads the store. After a failure it is not read again for a while,
// the longer the more hosts there are, since it is most likely away for all.
func (w *Watcher) readDirectly(ctx context.Context, table string, after int64, wait time.Duration) (tableUpdate, error) {
	w.mu.Lock()
	tooEarly := clock.Now().Before(w.nextDirectRead)
	w.mu.Unlock()
	if tooEarly {
		return tableUpdate{}, errors.WithMessage(store.ErrUnavailable, "not read directly so soon after a failure")
	}
	n, err := w.readStore(ctx, table, after, wait)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		// The connection may have fallen silent, and a new one works.
		n, err = w.readStore(ctx, table, after, wait)
	}
	if err != nil && !errors.Is(err, store.ErrCompacted) && ctx.Err() == nil {
		pause := min(directReadPause*time.Duration(max(1, w.Hosts()/directReadPauseHosts)), maxDirectReadPause)
		w.mu.Lock()
		w.nextDirectRead = clock.Now().Add(clock.Around(pause))
		w.mu.Unlock()
	}
	return n, err
}

// readStore reads changes of a table from the store, or all of it.
func (w *Watcher) readStore(ctx context.Context, table string, after int64, wait time.Duration) (tableUpdate, error) {
	if after >= 0 {
		changes, version, err := w.options.Store.Changes(ctx, table, after, wait)
		return tableUpdate{changes: changes, version: version}, err
	}
	state, err := w.options.Store.State(ctx, table)
	n := tableUpdate{version: state.Version}
	for _, row := range state.Rows {
		n.changes = append(n.changes, store.Change{Row: row})
	}
	return n, err
}
