package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store, as it is sent.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// storeReply is the body of each answer of the store.
type storeReply struct {
	Rows    []storeRow `json:"rows"`
	More    bool       `json:"has_more"`
	Version int64      `json:"ver"`
	NowMs   int64      `json:"now_ms"`
}

// maxPageRows is the most rows that one read returns.
const maxPageRows = 500

// Store is a stand-in for the platform's metadata store: tables with versions, feeds of changes and
// transactions under conditions.
type Store struct {
	address string
	began   time.Time

	mu      sync.Mutex // guards the fields below
	rows    map[string]storeRow
	log     []storeRow
	version int64
	changed chan struct{} // closed and replaced at each change
}

// startStore serves a store at a free port.
func startStore() (*Store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	s := &Store{address: listener.Addr().String(), began: time.Now(), rows: map[string]storeRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.serveRead)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	mux.HandleFunc("POST /-/rows-tx", s.serveTransaction)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// Put writes a row for the operator or a worker.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are this program's own
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, Value: data, Version: s.version})
}

// Delete removes a row for the operator or a worker.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, Version: s.version, Deleted: true})
}

// value returns the value of a row; nil if there is none.
func (s *Store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[table+"\x00"+key].Value
}

func (s *Store) apply(r storeRow) {
	id := r.Table + "\x00" + r.Key
	if r.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) reply(w http.ResponseWriter, status int, r storeReply) {
	r.Version, r.NowMs = s.version, time.Since(s.began).Milliseconds()
	data, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.reply(w, http.StatusOK, storeReply{Rows: rows[:min(limit, len(rows))], More: more})
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("since_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.log {
			if row.Table == q.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 || over {
			s.reply(w, http.StatusOK, storeReply{Rows: rows})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-expired:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []storeRow `json:"expected_rev"`
		Set      []storeRow `json:"set_keys"`
		Remove   []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range body.Expected {
		if s.rows[c.Table+"\x00"+c.Key].Version != c.Version {
			s.reply(w, http.StatusPreconditionFailed, storeReply{Rows: []storeRow{}})
			return
		}
	}
	for _, row := range append(append([]storeRow{}, body.Set...), body.Remove...) {
		if row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.version++
	for _, row := range body.Set {
		s.apply(storeRow{Table: row.Table, Key: row.Key, Value: row.Value, Version: s.version})
	}
	for _, row := range body.Remove {
		s.apply(storeRow{Table: row.Table, Key: row.Key, Version: s.version, Deleted: true})
	}
	s.reply(w, http.StatusOK, storeReply{Rows: []storeRow{}})
}
