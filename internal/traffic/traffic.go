// Package traffic remembers the last requests of a host, for operators.
//
// # Usage
//
//	log.Add(traffic.Record{Workspace: "clerks", Version: "support@7", ...})
//	recent := log.Since(time.Now().Add(-5 * time.Minute))
package traffic

import (
	"sync"
	"time"

	"quaybarrow/internal/problem"
)

// Record is one request as it ended.
type Record struct {
	At        time.Time    `json:"at"` // when it came in
	RequestID string       `json:"request_id"`
	TraceID   string       `json:"trace_id"`
	Host      string       `json:"host"`
	Workspace string       `json:"workspace"`
	Asked     string       `json:"asked"` // model, version, class or service/call
	Version   string       `json:"version"`
	Session   string       `json:"session,omitempty"`
	Outcome   string       `json:"outcome"` // answered, or a problem's code
	Run       problem.Run  `json:"run"`
	Reason    string       `json:"reason,omitempty"` // why the version was picked
	Attempts  int          `json:"attempts"`
	Tokens    int          `json:"tokens"`
	Cost      int64        `json:"cost"`
	FirstMS   float64      `json:"first_ms"` // to the first token
	TotalMS   float64      `json:"total_ms"`
	Code      problem.Code `json:"-"`
}

// Answered is the outcome of a request that went well.
const Answered = "answered"

// Log is a ring of the last records.
type Log struct {
	mu      sync.Mutex // guards all below
	records []Record
	next    int
	full    bool
}

// NewLog returns a log that keeps a count of records.
func NewLog(size int) *Log { return &Log{records: make([]Record, size)} }

// Add keeps a record in place of the oldest.
func (l *Log) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[l.next] = r
	l.next++
	if l.next == len(l.records) {
		l.next, l.full = 0, true
	}
}

// Since returns the records that came in after a moment, oldest first.
func (l *Log) Since(at time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ordered []Record
	if l.full {
		ordered = append(ordered, l.records[l.next:]...)
	}
	ordered = append(ordered, l.records[:l.next]...)
	recent := ordered[:0]
	for _, r := range ordered {
		if r.At.After(at) {
			recent = append(recent, r)
		}
	}
	return recent
}
