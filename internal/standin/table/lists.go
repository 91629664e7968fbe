package table

import (
	"context"
	"sort"
	"time"

	"quaybarrow/internal/store"
)

// SetHost adds or changes a listed host; List tells it after the lag.
func (s *Store) SetHost(h store.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, known := s.hosts[h.ID]
	s.hosts[h.ID] = listedHost{now: h, was: entry.now, known: known, changed: time.Now()}
}

// RemoveHost takes a host off the list, after the lag.
func (s *Store) RemoveHost(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.hosts[id]
	if !ok {
		return
	}
	s.hosts[id] = listedHost{now: entry.now, was: entry.now, known: true, gone: true, changed: time.Now()}
}

// List implements store.Hosts.
func (s *Store) List(ctx context.Context) ([]store.Host, error) {
	if _, err := s.enter(ctx, false, "hosts"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	hosts := make([]store.Host, 0, len(s.hosts))
	for _, entry := range s.hosts {
		lagging := time.Since(entry.changed) < s.options.ListLag
		switch {
		case lagging && entry.known:
			hosts = append(hosts, entry.was)
		case lagging || entry.gone:
		default:
			hosts = append(hosts, entry.now)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return hosts, nil
}

// Rate adds a rating; the store numbers it.
func (s *Store) Rate(r store.Rating) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Sequence = int64(len(s.ratings)) + 1
	s.ratings = append(s.ratings, r)
}

// After implements store.Ratings.
func (s *Store) After(ctx context.Context, sequence int64, limit int) ([]store.Rating, error) {
	if _, err := s.enter(ctx, false, "ratings"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if sequence >= int64(len(s.ratings)) {
		return nil, nil
	}
	rest := s.ratings[sequence:]
	if limit > 0 && len(rest) > limit {
		rest = rest[:limit]
	}
	return append([]store.Rating(nil), rest...), nil
}
