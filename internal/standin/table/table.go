// Package table is the project's stand-in for the platform: transactional
// tables, a host list that lags and a rating service that is late.
//
// # Usage
//
//	store := table.New(table.Options{Rate: 200, Burst: 50})
//	store.Inject(table.Fault{Kind: table.FaultLoseReply, Count: 1})
//
// A Store implements the ports of package platform directly, and Handler
// serves the same over HTTP for separate processes.
package table

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"quaybarrow/internal/store"
)

// FaultKind says how a call goes wrong.
type FaultKind string

// Kinds of faults.
const (
	// FaultDown fails the call before it has any effect.
	FaultDown FaultKind = "down"
	// FaultLoseReply applies the call and then fails it.
	FaultLoseReply FaultKind = "lose_reply"
	// FaultSlow delays the call by Fault.Delay.
	FaultSlow FaultKind = "slow"
	// FaultStale answers reads from the state before the last commit.
	FaultStale FaultKind = "stale"
	// FaultCall calls Fault.Do once the call has had its effect, and then loses
	// the reply: for killing a host at a step.
	FaultCall FaultKind = "call"
	// FaultForget says yes to commits and does nothing: a broken platform, with
	// which the promise checker is itself checked.
	FaultForget FaultKind = "forget"
)

// Fault is a fault in force for the next Count calls; 0 means until cleared.
type Fault struct {
	Kind   FaultKind     `json:"kind"`
	Count  int           `json:"count,omitempty"`
	Delay  time.Duration `json:"delay,omitempty"`
	Writes bool          `json:"writes,omitempty"` // only commits are struck
	Table  string        `json:"table,omitempty"`  // only calls that touch this table
	Skip   int           `json:"skip,omitempty"`   // calls that fit and pass first
	Do     func()        `json:"-"`                // of FaultCall
}

// Options set a store's limits.
type Options struct {
	Rate  float64 // calls per second; 0 means no limit
	Burst int     // calls that may come at once
	// ListLag delays what List says of a host's change.
	ListLag time.Duration
}

// Counts are the calls that a store has served or refused.
type Counts struct {
	Gets      int64 `json:"gets"`
	Scans     int64 `json:"scans"`
	Commits   int64 `json:"commits"`
	Writes    int64 `json:"writes"`
	Throttled int64 `json:"throttled"`
	Bytes     int64 `json:"bytes"`
}

// Store is the stand-in.
type Store struct {
	options Options
	limiter *rate.Limiter

	mu       sync.Mutex // guards all below
	tables   map[string]map[string]store.Row
	previous map[string]map[string]store.Row // as before the last commit
	serial   int64
	faults   []Fault
	counts   Counts
	hosts    map[string]listedHost
	ratings  []store.Rating
}

// listedHost is a host with the time of its last change.
type listedHost struct {
	now     store.Host
	was     store.Host
	known   bool // was holds an earlier state
	gone    bool
	changed time.Time
}

// New returns an empty store.
func New(options Options) *Store {
	s := &Store{
		options:  options,
		tables:   map[string]map[string]store.Row{},
		previous: map[string]map[string]store.Row{},
		hosts:    map[string]listedHost{},
	}
	if options.Rate > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(options.Rate), max(options.Burst, 1))
	}
	return s
}

// Inject puts a fault in force.
func (s *Store) Inject(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, f)
}

// Heal clears all faults.
func (s *Store) Heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
}

// Counts returns the calls counted so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// tablesOf names the tables that a transaction writes, each once.
func tablesOf(txn store.Transaction) string {
	names := ""
	for _, w := range txn.Writes {
		if !strings.Contains(names, w.Table+" ") {
			names += w.Table + " "
		}
	}
	return names
}

// fits reports whether a fault strikes calls to the tables named.
func (f Fault) fits(isWrite bool, tables string) bool {
	switch f.Kind {
	case FaultLoseReply, FaultCall, FaultForget:
		if !isWrite {
			return false
		}
	}
	if f.Writes && !isWrite {
		return false
	}
	return f.Table == "" || strings.Contains(tables+" ", f.Table+" ")
}

// take consumes the first fault that fits a call.
func (s *Store) take(isWrite bool, table string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range s.faults {
		if !f.fits(isWrite, table) {
			continue
		}
		if f.Skip > 0 {
			s.faults[i].Skip--
			continue
		}
		if f.Count > 0 {
			s.faults[i].Count--
			if s.faults[i].Count == 0 {
				s.faults = append(s.faults[:i:i], s.faults[i+1:]...)
			}
		}
		return f
	}
	return Fault{}
}

// enter applies the rate limit and a fault that comes before the effect.
func (s *Store) enter(ctx context.Context, isWrite bool, table string) (Fault, error) {
	if s.limiter != nil && !s.limiter.Allow() {
		s.mu.Lock()
		s.counts.Throttled++
		s.mu.Unlock()
		return Fault{}, store.ErrThrottled
	}
	f := s.take(isWrite, table)
	switch f.Kind {
	case FaultDown:
		return f, store.ErrUnavailable
	case FaultSlow:
		select {
		case <-ctx.Done():
			return f, errors.WithMessage(store.ErrUnavailable, "slow")
		case <-time.After(f.Delay):
		}
	}
	return f, nil
}

// Get implements store.Tables.
func (s *Store) Get(ctx context.Context, table, key string) (store.Row, error) {
	f, err := s.enter(ctx, false, table)
	if err != nil {
		return store.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Gets++
	row, ok := s.view(f)[table][key]
	if !ok {
		return store.Row{}, store.ErrNotFound
	}
	s.counts.Bytes += int64(len(row.Value) + len(key))
	return row, nil
}

// view picks the state that reads see; the caller holds mu.
func (s *Store) view(f Fault) map[string]map[string]store.Row {
	if f.Kind == FaultStale {
		return s.previous
	}
	return s.tables
}

// Scan implements store.Tables.
func (s *Store) Scan(ctx context.Context, r store.Range) ([]store.Row, error) {
	f, err := s.enter(ctx, false, r.Table)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Scans++
	rows := make([]store.Row, 0)
	for key, row := range s.view(f)[r.Table] {
		if strings.HasPrefix(key, r.Prefix) && key > r.After {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if r.Limit > 0 && len(rows) > r.Limit {
		rows = rows[:r.Limit]
	}
	for _, row := range rows {
		s.counts.Bytes += int64(len(row.Value) + len(row.Key))
	}
	return rows, nil
}

// Commit implements store.Tables.
func (s *Store) Commit(ctx context.Context, txn store.Transaction) error {
	f, err := s.enter(ctx, true, tablesOf(txn))
	if err != nil {
		return err
	}
	if f.Kind == FaultForget {
		return nil
	}
	if err := s.apply(txn); err != nil {
		return err
	}
	switch f.Kind {
	case FaultCall:
		f.Do()
		return errors.WithMessage(store.ErrUnavailable, "reply lost")
	case FaultLoseReply:
		return errors.WithMessage(store.ErrUnavailable, "reply lost")
	default:
		return nil
	}
}

// apply checks the conditions and makes the writes, all or none.
func (s *Store) apply(txn store.Transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Commits++
	for _, c := range txn.Conditions {
		if s.tables[c.Table][c.Key].Version != c.Version {
			return store.ErrConflict
		}
	}
	touched := map[string]bool{}
	for _, w := range txn.Writes {
		s.keepPrevious(w.Table, touched)
		s.write(w)
	}
	return nil
}

// keepPrevious copies a table before its first write of a transaction, for
// stale reads; the caller holds mu.
func (s *Store) keepPrevious(table string, touched map[string]bool) {
	if touched[table] || !s.staleWanted() {
		return
	}
	touched[table] = true
	copied := make(map[string]store.Row, len(s.tables[table]))
	for k, v := range s.tables[table] {
		copied[k] = v
	}
	s.previous[table] = copied
}

func (s *Store) staleWanted() bool {
	for _, f := range s.faults {
		if f.Kind == FaultStale {
			return true
		}
	}
	return false
}

func (s *Store) write(w store.Write) {
	rows := s.tables[w.Table]
	if rows == nil {
		rows = map[string]store.Row{}
		s.tables[w.Table] = rows
	}
	s.counts.Writes++
	s.counts.Bytes += int64(len(w.Value) + len(w.Key))
	if w.Delete {
		delete(rows, w.Key)
		return
	}
	s.serial++
	rows[w.Key] = store.Row{Key: w.Key, Value: append([]byte(nil), w.Value...), Version: s.serial}
}

// Rows returns all rows of a table, past faults and limits, for reports.
func (s *Store) Rows(table string) []store.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]store.Row, 0, len(s.tables[table]))
	for _, row := range s.tables[table] {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}
