package spread

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/spread/spreadpb"
	"quaybarrow/internal/store"
)

// peerSources returns the hosts that come before this one in its order, or this host's own mirror
// if there are none. Only the first one is asked to wait for changes.
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

// otherSources returns a few random hosts of any group, which are asked for the updates that they
// received recently.
func (w *Watcher) otherSources(table string, after int64) []source {
	var sources []source
	for _, p := range w.peers.randomPeers(othersTried, w.peers.candidates(peersTried)) {
		sources = append(sources, w.peerSource(p, &spreadpb.ReadRequest{Table: table, After: after, Lately: true}))
	}
	return sources
}

// peerSource returns a source that asks another host. Its updates are rejected if they are too old,
// and whole tables also if this host already has a later version.
func (w *Watcher) peerSource(p peer, request *spreadpb.ReadRequest) source {
	wait := time.Duration(request.GetWaitMicros()) * time.Microsecond
	read := func(ctx context.Context) (tableUpdate, error) {
		limited, cancel := context.WithTimeout(ctx, wait+peerTimeout)
		defer cancel()
		update, err := w.pool.read(limited, p, request, w.recordClock)
		behind := request.GetAfter() < 0 && update.version < w.cached(request.GetTable()).version()
		if err == nil && (update.age > w.options.maxAge() || behind) {
			err = staleError(p, update.age)
		}
		switch {
		case err == nil:
			w.peers.recordAnswer(p)
		case ctx.Err() == nil && !errors.Is(err, errTableTooLong):
			w.peers.recordFailure(p, err)
			w.options.Logger.Info("host does not pass on the store", "peer", p.name, "address", p.address, "error", err)
		}
		return update, err
	}
	onNoAnswer := func() {
		w.pool.recordTimeout(p.address)
		w.peers.recordFailure(p, errNoAnswer)
		w.options.Logger.Info("host does not pass on the store", "peer", p.name, "address", p.address, "error", errNoAnswer)
	}
	connected := func() bool { return w.pool.connected(p.address) }
	return source{hedgeDelay: wait + hopMargin, connected: connected, read: read, onNoAnswer: onNoAnswer}
}

// peerTimeout is the deadline of a request to another host, beyond its wait for changes, if no
// other source has answered either.
const peerTimeout = 2 * time.Second

// errNoAnswer means that a host did not answer in time.
var errNoAnswer = errors.New("no answer in time")

// readDirectly reads from the store. After a failure it does not read again for a pause that grows
// with the number of hosts, since the store is most likely unreachable for all of them.
func (w *Watcher) readDirectly(ctx context.Context, table string, after int64, wait time.Duration) (tableUpdate, error) {
	w.mu.Lock()
	tooEarly := clock.Now().Before(w.nextDirectRead)
	w.mu.Unlock()
	if tooEarly {
		return tableUpdate{}, errors.WithMessage(store.ErrUnavailable, "direct reads are paused after a failure")
	}
	update, err := w.readStore(ctx, table, after, wait)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		// The connection may have stopped working without an error; a new one may work.
		update, err = w.readStore(ctx, table, after, wait)
	}
	if err != nil && !errors.Is(err, store.ErrCompacted) && ctx.Err() == nil {
		pause := min(directReadPause*time.Duration(max(1, w.Hosts()/directReadPauseHosts)), maxDirectReadPause)
		w.mu.Lock()
		w.nextDirectRead = clock.Now().Add(clock.Around(pause))
		w.mu.Unlock()
	}
	return update, err
}

// readStore reads changes of a table, or the whole table, from the store.
func (w *Watcher) readStore(ctx context.Context, table string, after int64, wait time.Duration) (tableUpdate, error) {
	if after >= 0 {
		changes, version, err := w.options.Store.Changes(ctx, table, after, wait)
		return tableUpdate{changes: changes, version: version}, err
	}
	state, err := w.options.Store.State(ctx, table)
	update := tableUpdate{version: state.Version}
	for _, row := range state.Rows {
		update.changes = append(update.changes, store.Change{Row: row})
	}
	return update, err
}
