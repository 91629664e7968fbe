package spread

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/store"
)

// Timing of mirrors.
const (
	// changesDelay is the pause after a change, so that changes in quick succession share one call
	// to the store. The platform's time limits are in seconds.
	changesDelay = 400 * time.Millisecond
	// mirrorIdleTimeout is how long a mirror runs after its last request; a host that follows the
	// table sends one every second.
	mirrorIdleTimeout = 2500 * time.Millisecond
	minRetryDelay     = 150 * time.Millisecond
	maxRetryDelay     = 1200 * time.Millisecond
)

// mirror is a host's copy of a table, updated from the store while there are requests for it. It is
// safe for concurrent use.
type mirror struct {
	table  string
	watch  store.Watcher
	wait   time.Duration // longest wait for changes at the store
	maxAge time.Duration // of the updates that it serves
	logger *log.Logger

	mu         sync.Mutex // guards the fields below
	loaded     bool       // the whole table was read, and its history is still available
	confirmed  bool       // the store has answered since the mirror was started
	storeLost  bool       // the last call to the store failed
	replica    replica
	answeredAt clock.Instant // when the store last answered
	lastWanted clock.Instant // when the mirror was last requested
	running    bool
	changed    chan struct{} // closed and replaced whenever a field above changes
}

// newMirror returns a mirror that starts from the cached state of the table.
func newMirror(table string, o Options, cached *cachedTable) *mirror {
	m := &mirror{
		table: table, watch: o.Store, wait: o.Wait, maxAge: o.maxAge(), logger: o.Logger, changed: make(chan struct{}),
	}
	m.replica, m.loaded = cached.copy()
	return m
}

// keepRunning extends the mirror's run; it reports whether the caller has to start run.
func (m *mirror) keepRunning() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastWanted = clock.Now()
	if m.running {
		return false
	}
	// The state from the previous run may be stale.
	m.running, m.storeLost, m.confirmed = true, false, false
	return true
}

// run reads the table and its changes until there are no more requests for them.
func (m *mirror) run(ctx context.Context) {
	retry := minRetryDelay
	for m.stillWanted(ctx) {
		err := m.step(ctx)
		if err == nil || errors.Is(err, store.ErrCompacted) {
			retry = minRetryDelay
			continue
		}
		m.recordFailure(ctx, err)
		clock.Sleep(ctx, clock.Jitter(retry))
		retry = min(2*retry, maxRetryDelay)
	}
}

// stillWanted reports whether the mirror is still requested, and marks it as stopped if not.
func (m *mirror) stillWanted(ctx context.Context) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() == nil && clock.Since(m.lastWanted) < mirrorIdleTimeout {
		return true
	}
	m.running = false
	m.notify()
	return false
}

// step reads the whole table, or waits for its next changes. Until the store has answered once, it
// asks for the current changes without waiting.
func (m *mirror) step(ctx context.Context) error {
	m.mu.Lock()
	loaded, sure, version := m.loaded, m.confirmed, m.replica.version
	m.mu.Unlock()
	if !loaded {
		state, err := m.watch.State(ctx, m.table)
		if err != nil {
			return fmt.Errorf("mirror %s: %w", m.table, err)
		}
		m.load(state)
		return nil
	}
	wait := m.wait
	if !sure {
		wait = 0
	}
	changes, next, err := m.watch.Changes(ctx, m.table, version, wait)
	if err != nil {
		if errors.Is(err, store.ErrCompacted) {
			m.unload()
		}
		return fmt.Errorf("mirror %s: %w", m.table, err)
	}
	m.apply(changes, next)
	if sure && len(changes) > 0 {
		clock.Sleep(ctx, changesDelay)
	}
	return nil
}

func (m *mirror) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *mirror) recordFailure(ctx context.Context, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.storeLost && ctx.Err() == nil {
		m.logger.Warn("store lost", "table", m.table, "version", m.replica.version, "error", err)
	}
	m.storeLost = true
	m.notify()
}

// unload makes the next step read the whole table.
func (m *mirror) unload() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logger.Warn("history of the table is gone; reading it whole", "table", m.table, "version", m.replica.version)
	m.loaded = false
}

// load replaces the state by a whole table. The differences are recorded as changes, so that other
// hosts can continue from the versions that they have.
func (m *mirror) load(state store.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLocked(m.replica.diff(state), state.Version)
	m.loaded = true
}

// apply applies changes that the store reported.
func (m *mirror) apply(changes []store.Change, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLocked(changes, version)
}

// applyLocked applies changes and wakes the readers that wait for them; the caller holds mu.
func (m *mirror) applyLocked(changes []store.Change, version int64) {
	m.replica.apply(changes, version)
	if m.storeLost {
		m.logger.Info("store regained", "table", m.table, "version", version)
	}
	m.storeLost, m.confirmed = false, true
	m.answeredAt = clock.Now()
	m.notify()
}

// read waits for changes after a version; -1 requests the whole table. It fails as soon as the
// store has been silent for longer than maxAge.
func (m *mirror) read(ctx context.Context, after int64, wait time.Duration) (tableUpdate, error) {
	var timer <-chan time.Time
	if wait > 0 {
		timer = time.After(wait)
	}
	for expired := wait <= 0; ; {
		update, freshFor, changed, err := m.current(after)
		if err != nil || (freshFor > 0 && (len(update.changes) > 0 || expired || after < 0)) {
			return update, err
		}
		var stale <-chan time.Time
		if freshFor > 0 {
			stale = time.After(freshFor)
		}
		select {
		case <-ctx.Done():
			return tableUpdate{}, fmt.Errorf("mirror of %s: %w", m.table, ctx.Err())
		case <-timer:
			expired = true
		case <-stale:
		case <-changed:
		}
	}
}

// current returns the changes after a version, how long they may still be served (0 if the store
// has not answered yet), and a channel that is closed when there may be more.
func (m *mirror) current(after int64) (update tableUpdate, freshFor time.Duration, changed <-chan struct{}, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	age := clock.Since(m.answeredAt)
	switch {
	case m.storeLost || !m.running || (m.confirmed && age >= m.maxAge):
		return tableUpdate{}, 0, nil, errors.WithMessagef(store.ErrUnavailable, "mirror of %s", m.table)
	case !m.confirmed:
		return tableUpdate{}, 0, m.changed, nil
	}
	return tableUpdate{
		changes: m.replica.changesSince(after), version: m.replica.version, age: age, keyHash: m.replica.keyHash, hasKeyHash: true,
	}, m.maxAge - age, m.changed, nil
}
