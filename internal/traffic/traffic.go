// Package traffic keeps records of the most recent requests of a host, for operators to query.
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

// Record describes a finished request.
type Record struct {
	At        time.Time    `json:"at"` // arrival time
	RequestID string       `json:"request_id"`
	TraceID   string       `json:"trace_id"`
	Host      string       `json:"host"`
	Workspace string       `json:"workspace"`
	Asked     string       `json:"asked"` // requested model, version, class or service/call
	Version   string       `json:"version"`
	Session   string       `json:"session,omitempty"`
	Outcome   string       `json:"outcome"` // answered, or the code of the problem
	Run       problem.Run  `json:"run"`
	Reason    string       `json:"reason,omitempty"` // reason for the choice of the version
	Attempts  int          `json:"attempts"`
	Tokens    int          `json:"tokens"`
	Cost      int64        `json:"cost"`
	FirstMS   float64      `json:"first_ms"` // time to the first token
	TotalMS   float64      `json:"total_ms"`
	Code      problem.Code `json:"-"`
}

// Answered is the outcome of a successful request.
const Answered = "answered"

// Log is a ring buffer of the most recent records.
type Log struct {
	mu      sync.Mutex // guards all below
	records []Record
	next    int
	full    bool
}

// NewLog returns a log that keeps the last size records.
func NewLog(size int) *Log { return &Log{records: make([]Record, size)} }

// Add stores a record, replacing the oldest one if the log is full.
func (l *Log) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[l.next] = r
	l.next++
	if l.next == len(l.records) {
		l.next, l.full = 0, true
	}
}

// Since returns the records of requests that arrived after the given time, in the order in which
// they were added.
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
