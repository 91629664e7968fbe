// Package store defines the interfaces between the router and the platform: the table service, the
// list of hosts and the rating service.
//
// # Usage
//
// Code that makes decisions or performs duties depends on these interfaces, never on a client. An
// adapter implements them with the protocol of a platform:
//
//	err := tables.Commit(ctx, store.Transaction{
//		Conditions: []store.Condition{store.Absent("bill", id)},
//		Writes:     []store.Write{store.Put("bill", id, data)},
//	})
//
// Errors of Commit distinguish three cases. ErrConflict and ErrThrottled mean that the transaction
// was certainly not applied. After any other error it may have been applied, and the caller reads
// the rows to find out.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the platform interfaces.
var (
	// ErrConflict means that a condition did not hold; nothing was applied.
	ErrConflict = errors.New("condition failed")
	// ErrThrottled means that the rate limit rejected the call; nothing was applied.
	ErrThrottled = errors.New("rate limited by the platform")
	// ErrNotFound means that there is no such row.
	ErrNotFound = errors.New("no such row")
	// ErrUnavailable means that no valid reply came; a write may have been applied.
	ErrUnavailable = errors.New("platform unavailable")
)

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version int64 // at least 1; grows with every write of the row
}

// Condition requires a row to be at a version when a transaction commits.
type Condition struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version int64  `json:"version"` // 0 means the row must not exist
}

// Absent returns a condition that requires that the row does not exist.
func Absent(table, key string) Condition { return Condition{Table: table, Key: key} }

// AtVersion returns a condition that requires that the row has not changed since it was read.
func AtVersion(table string, row Row) Condition {
	return Condition{Table: table, Key: row.Key, Version: row.Version}
}

// Write writes or deletes one row.
type Write struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Put returns a Write that writes a row.
func Put(table, key string, value []byte) Write {
	return Write{Table: table, Key: key, Value: value}
}

// Delete returns a Write that deletes a row.
func Delete(table, key string) Write { return Write{Table: table, Key: key, Delete: true} }

// Transaction is a set of writes that are all applied, or none of them if a condition fails.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Range selects rows of a table by key, in key order.
type Range struct {
	Table  string
	Prefix string
	After  string // exclusive; empty starts at the prefix
	Limit  int    // maximum number of rows; 0 means the service's own limit
}

// Tables is the transactional table service.
type Tables interface {
	// Get reads one row; ErrNotFound if there is none.
	Get(ctx context.Context, table, key string) (Row, error)
	// Scan reads rows in key order.
	Scan(ctx context.Context, rows Range) ([]Row, error)
	// Commit applies a transaction; see the package comment for its errors.
	Commit(ctx context.Context, txn Transaction) error
}

// HostKind is the kind of a listed host, by the software that runs on it.
type HostKind string

// Kinds of listed hosts.
const (
	HostEntry   HostKind = "entry" // a host of the router
	HostEngine  HostKind = "engine"
	HostService HostKind = "service"
)

// HostState is the state of a host according to the platform.
type HostState string

// States of listed hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's host list.
type Host struct {
	ID       string    `json:"id"`
	Kind     HostKind  `json:"kind"`
	Service  string    `json:"service,omitempty"` // for HostService: the declared name
	DataHall string    `json:"data_hall"`
	Region   string    `json:"region"`
	Address  string    `json:"address"` // ip:port
	State    HostState `json:"state"`
}

// Hosts reads the platform's list of hosts, which lags behind their actual state.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
}

// Rating is the rating service's assessment of one answer.
type Rating struct {
	Sequence  int64     `json:"sequence"` // position in the service's log
	RequestID string    `json:"request_id"`
	Workspace string    `json:"workspace"`
	Class     string    `json:"class"`
	Version   string    `json:"version"` // model@version
	Score     float64   `json:"score"`   // 0 to 1
	At        time.Time `json:"at"`
}

// Ratings is the rating service. Ratings are delayed and do not exist for every answer.
type Ratings interface {
	// After returns up to limit ratings with a higher sequence, in order.
	After(ctx context.Context, sequence int64, limit int) ([]Rating, error)
}

// Uncertain reports whether, given an error of Commit, the transaction may or may not have been
// applied.
func Uncertain(err error) bool {
	return err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrThrottled)
}
