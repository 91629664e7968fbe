// Package store holds the ports through which the router meets the
// platform: the table service, the list of hosts and the rating service.
//
// # Usage
//
// Decisions and duties take these interfaces, never a client. An adapter turns
// them into a platform's real protocol:
//
//	result, err := tables.Commit(ctx, platform.Transaction{
//		Conditions: []store.Condition{store.Absent("bill", id)},
//		Writes:     []store.Write{store.Put("bill", id, data)},
//	})
//
// Errors tell three things apart. ErrConflict and ErrThrottled say that the
// transaction was certainly not applied. Any other error leaves it open: it
// may have been applied, and the caller reads back to learn.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the ports.
var (
	// ErrConflict means a condition did not hold; nothing was applied.
	ErrConflict = errors.New("condition failed")
	// ErrThrottled means the rate limit refused the call; nothing was applied.
	ErrThrottled = errors.New("rate limited by the platform")
	// ErrNotFound means there is no such row.
	ErrNotFound = errors.New("no such row")
	// ErrUnavailable means no reply came; a write may have been applied.
	ErrUnavailable = errors.New("platform unavailable")
)

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version int64 // grows with every write of the row; 1 or more
}

// Condition requires a row to be at a version when a transaction commits.
type Condition struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version int64  `json:"version"` // 0 means the row must not exist
}

// Absent requires that there is no such row.
func Absent(table, key string) Condition { return Condition{Table: table, Key: key} }

// AtVersion requires that the row has not changed since it was read.
func AtVersion(table string, row Row) Condition {
	return Condition{Table: table, Key: row.Key, Version: row.Version}
}

// Write puts or deletes one row.
type Write struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Put writes a row.
func Put(table, key string, value []byte) Write {
	return Write{Table: table, Key: key, Value: value}
}

// Delete removes a row.
func Delete(table, key string) Write { return Write{Table: table, Key: key, Delete: true} }

// Transaction applies all writes, or none if a condition fails.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Range selects rows of a table by key, in key order.
type Range struct {
	Table  string
	Prefix string
	After  string // exclusive; empty starts at the prefix
	Limit  int    // at most this many rows; 0 means the service's own limit
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

// HostKind tells what runs on a listed host.
type HostKind string

// Kinds of listed hosts.
const (
	HostEntry   HostKind = "entry"
	HostEngine  HostKind = "engine"
	HostService HostKind = "service"
)

// HostState is what the platform says of a host.
type HostState string

// States of listed hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's list.
type Host struct {
	ID       string    `json:"id"`
	Kind     HostKind  `json:"kind"`
	Service  string    `json:"service,omitempty"` // for HostService: the declared name
	DataHall string    `json:"data_hall"`
	Region   string    `json:"region"`
	Address  string    `json:"address"` // ip:port
	State    HostState `json:"state"`
}

// Hosts is the platform's list of hosts, which lags.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
}

// Rating is one verdict of the rating service on an answer.
type Rating struct {
	Sequence  int64     `json:"sequence"` // position in the service's log
	RequestID string    `json:"request_id"`
	Workspace string    `json:"workspace"`
	Class     string    `json:"class"`
	Version   string    `json:"version"` // model@version
	Score     float64   `json:"score"`   // 0 to 1
	At        time.Time `json:"at"`
}

// Ratings is the rating service; ratings come late, and not for every answer.
type Ratings interface {
	// After returns ratings with a higher sequence, in order, at most limit.
	After(ctx context.Context, sequence int64, limit int) ([]Rating, error)
}

// Uncertain reports whether an error of Commit leaves open that the transaction
// took effect.
func Uncertain(err error) bool {
	return err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrThrottled)
}
