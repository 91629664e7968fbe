package spread

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/store"
)

// Parameters of mirrors.
const (
	// gather is how long changes that follow each other share a call; the
	// platform's bounds are seconds.
	gather = 400 * time.Millisecond
	// wantedFor is how long a mirror is kept up after it was last asked; who
	// goes on asking does so every second.
	wantedFor  = 2500 * time.Millisecond
	retryFirst = 150 * time.Millisecond
	retryMost  = 1200 * time.Millisecond
	// logMost bounds the changes that a mirror remembers.
	logMost = 4096
)

// mirror is a host's copy of a table, read from the store while somebody asks
// for it; safe for use at once.
type mirror struct {
	table  string
	watch  store.Watcher
	wait   time.Duration // one wait for changes at the store
	logger *log.Logger

	mu      sync.Mutex // guards all below
	loaded  bool
	lost    bool // the store did not answer last time
	rows    map[string]store.Row
	log     []store.Change
	version int64
	told    time.Time // when the store last answered
	oldest  int64     // changes up to it are not in the log
	wanted  time.Time
	running bool
	changed chan struct{} // closed at each change of the above
}

func newMirror(table string, o Options) *mirror {
	return &mirror{table: table, watch: o.Store, wait: o.Wait, logger: o.Logger, rows: map[string]store.Row{}, changed: make(chan struct{})}
}

// want keeps the mirror up for a while longer; it reports whether run has to be
// started.
func (m *mirror) want() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wanted = time.Now()
	if m.running {
		return false
	}
	// What was known when the mirror was last kept up may be old.
	m.running, m.lost, m.loaded = true, false, false
	return true
}

// run reads the table and its changes until nobody wants them.
func (m *mirror) run(ctx context.Context) {
	retry := retryFirst
	for m.goesOn(ctx) {
		err := m.step(ctx)
		if err == nil || errors.Is(err, store.ErrCompacted) {
			retry = retryFirst
			continue
		}
		m.fail(ctx, err)
		clock.Sleep(ctx, clock.Jitter(retry))
		retry = min(2*retry, retryMost)
	}
}

// goesOn reports whether the mirror is still wanted, and ends it if not.
func (m *mirror) goesOn(ctx context.Context) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() == nil && time.Since(m.wanted) < wantedFor {
		return true
	}
	m.running = false
	m.announce()
	return false
}

// step reads the table, or waits for its next changes.
func (m *mirror) step(ctx context.Context) error {
	m.mu.Lock()
	loaded, version := m.loaded, m.version
	m.mu.Unlock()
	if !loaded {
		state, err := m.watch.State(ctx, m.table)
		if err != nil {
			return fmt.Errorf("mirror %s: %w", m.table, err)
		}
		m.load(state)
		return nil
	}
	changes, next, err := m.watch.Changes(ctx, m.table, version, m.wait)
	if err != nil {
		if errors.Is(err, store.ErrCompacted) {
			m.unload()
		}
		return fmt.Errorf("mirror %s: %w", m.table, err)
	}
	m.apply(changes, next)
	if len(changes) > 0 {
		clock.Sleep(ctx, gather)
	}
	return nil
}

func (m *mirror) announce() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *mirror) fail(ctx context.Context, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lost && ctx.Err() == nil {
		m.logger.Warn("store lost", "table", m.table, "version", m.version, "error", err)
	}
	m.lost = true
	m.announce()
}

// unload makes the next step read the whole table.
func (m *mirror) unload() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logger.Warn("history of the table is gone; reading it whole", "table", m.table, "version", m.version)
	m.loaded = false
}

// load takes in a whole table. What differs from before becomes changes, so that
// who asks goes on from the version it has.
func (m *mirror) load(state store.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.version == 0
	changes := difference(m.rows, state)
	m.take(changes, state.Version)
	if first {
		m.log, m.oldest = nil, state.Version
	}
	m.loaded = true
}

// apply takes in changes.
func (m *mirror) apply(changes []store.Change, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.take(changes, version)
}

// take notes changes and wakes who waits for them.
func (m *mirror) take(changes []store.Change, version int64) {
	for _, c := range changes {
		if c.Deleted {
			delete(m.rows, c.Key)
		} else {
			m.rows[c.Key] = c.Row
		}
	}
	m.log = append(m.log, changes...)
	if over := len(m.log) - logMost; over > 0 {
		m.oldest = m.log[over-1].Version
		m.log = append([]store.Change(nil), m.log[over:]...)
	}
	if m.lost {
		m.logger.Info("store regained", "table", m.table, "version", version)
	}
	m.lost = false
	m.told = time.Now()
	m.version = max(m.version, version)
	m.announce()
}

// age is the time since the store last answered.
func (m *mirror) age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.told)
}

// State returns the table once it was read.
func (m *mirror) State(ctx context.Context) (store.State, error) {
	for {
		m.mu.Lock()
		ready, lost, changed := m.loaded, m.lost || !m.running, m.changed
		if ready && !lost {
			state := store.State{Version: m.version}
			for _, row := range m.rows {
				state.Rows = append(state.Rows, row)
			}
			m.mu.Unlock()
			return state, nil
		}
		m.mu.Unlock()
		if lost {
			return store.State{}, errors.WithMessagef(store.ErrUnavailable, "mirror of %s", m.table)
		}
		select {
		case <-ctx.Done():
			return store.State{}, fmt.Errorf("mirror of %s: %w", m.table, ctx.Err())
		case <-changed:
		}
	}
}

// Changes waits for what changed after a version.
func (m *mirror) Changes(ctx context.Context, after int64, wait time.Duration) ([]store.Change, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		found, version, changed, err := m.since(after)
		if err != nil || len(found) > 0 || over {
			return found, version, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, fmt.Errorf("mirror of %s: %w", m.table, ctx.Err())
		case <-timer.C:
			over = true
		case <-changed:
		}
	}
}

// since returns what the log has after a version, and a channel that is closed
// when there may be more.
func (m *mirror) since(after int64) ([]store.Change, int64, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.lost || !m.running:
		return nil, 0, nil, errors.WithMessagef(store.ErrUnavailable, "mirror of %s", m.table)
	case !m.loaded:
		return nil, after, m.changed, nil
	case after < m.oldest:
		return nil, 0, nil, errors.WithMessagef(store.ErrCompacted, "mirror of %s", m.table)
	}
	from, _ := slices.BinarySearchFunc(m.log, after+1, func(c store.Change, v int64) int { return cmp.Compare(c.Version, v) })
	return slices.Clone(m.log[from:]), max(after, m.version), m.changed, nil
}
