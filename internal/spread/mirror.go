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
)

// mirror is a host's copy of a table, read from the store while somebody asks
// for it; safe for use at once.
type mirror struct {
	table  string
	watch  store.Watcher
	wait   time.Duration // one wait for changes at the store
	fresh  time.Duration // what it says is passed on for so long
	logger *log.Logger

	mu      sync.Mutex // guards all below
	loaded  bool       // the table was read whole, and its history is not gone
	sure    bool       // the store has answered since the mirror is kept up
	lost    bool       // the store did not answer last time
	picture picture
	told    clock.Instant // when the store last answered
	wanted  clock.Instant
	running bool
	changed chan struct{} // closed at each change of the above
}

// newMirror returns a mirror that goes on from what the host knows already.
func newMirror(table string, o Options, k *known) *mirror {
	m := &mirror{
		table: table, watch: o.Store, wait: o.Wait, fresh: o.fresh(), logger: o.Logger, changed: make(chan struct{}),
	}
	m.picture, m.loaded = k.copy()
	return m
}

// want keeps the mirror up for a while longer; it reports whether run has to be
// started.
func (m *mirror) want() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wanted = clock.Now()
	if m.running {
		return false
	}
	// What was known when the mirror was last kept up may be old.
	m.running, m.lost, m.sure = true, false, false
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
	if ctx.Err() == nil && clock.Since(m.wanted) < wantedFor {
		return true
	}
	m.running = false
	m.announce()
	return false
}

// step reads the table, or waits for its next changes. Until the store has
// answered once it is asked for what there is now.
func (m *mirror) step(ctx context.Context) error {
	m.mu.Lock()
	loaded, sure, version := m.loaded, m.sure, m.picture.version
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
		m.logger.Warn("store lost", "table", m.table, "version", m.picture.version, "error", err)
	}
	m.lost = true
	m.announce()
}

// unload makes the next step read the whole table.
func (m *mirror) unload() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logger.Warn("history of the table is gone; reading it whole", "table", m.table, "version", m.picture.version)
	m.loaded = false
}

// load takes in a whole table. What differs from before becomes changes, so that
// who asks goes on from the version it has.
func (m *mirror) load(state store.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.take(m.picture.difference(state), state.Version)
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
	m.picture.apply(changes, version)
	if m.lost {
		m.logger.Info("store regained", "table", m.table, "version", version)
	}
	m.lost, m.sure = false, true
	m.told = clock.Now()
	m.announce()
}

// news waits for what changed after a version; -1 asks for the whole table. It
// fails as soon as the store was silent for longer than what it said is passed on.
func (m *mirror) news(ctx context.Context, after int64, wait time.Duration) (news, error) {
	var timer <-chan time.Time
	if wait > 0 {
		timer = time.After(wait)
	}
	for over := wait <= 0; ; {
		n, left, changed, err := m.look(after)
		if err != nil || (left > 0 && (len(n.changes) > 0 || over || after < 0)) {
			return n, err
		}
		var stale <-chan time.Time
		if left > 0 {
			stale = time.After(left)
		}
		select {
		case <-ctx.Done():
			return news{}, fmt.Errorf("mirror of %s: %w", m.table, ctx.Err())
		case <-timer:
			over = true
		case <-stale:
		case <-changed:
		}
	}
}

// look returns what there is after a version, how long it may still be passed on,
// 0 if the store has not answered yet, and a channel that is closed when there may
// be more.
func (m *mirror) look(after int64) (n news, left time.Duration, changed <-chan struct{}, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	age := clock.Since(m.told)
	switch {
	case m.lost || !m.running || (m.sure && age >= m.fresh):
		return news{}, 0, nil, errors.WithMessagef(store.ErrUnavailable, "mirror of %s", m.table)
	case !m.sure:
		return news{}, 0, m.changed, nil
	}
	return news{
		changes: m.picture.since(after), version: m.picture.version, age: age, keys: m.picture.keys, checked: true,
	}, m.fresh - age, m.changed, nil
}
