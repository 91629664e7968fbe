// Package billing writes exactly one bill for each request, despite lost replies,
// outages of the table service and crashes of hosts.
//
// # Usage
//
//	entry, err := ledger.Open(ctx, bill)   // before anything runs
//	...
//	entry.Progress(tokens)                 // while it runs
//	entry.Settle(usage)                    // or entry.Void() if it did not run
//
// A bill's row is keyed by the request ID and written only if absent, so there
// can't be two. To avoid losing a bill, the open bill is copied to two hosts in
// other data halls before the request runs, or, if that is not possible, written
// to the table service as an intent. When a host crashes, a host that holds a copy
// writes the bill with the last known usage.
package billing

import (
	"time"

	"github.com/pkg/errors"
)

// Tables of the package.
const (
	TableBills   = "bill"
	TableIntents = "intent"
)

// Errors returned by Open. The request has not run when one of them is returned.
var (
	// ErrFull means that too many bills wait for the table service.
	ErrFull = errors.New("too many bills are unsettled")
	// ErrNotReplicated means that the open bill could be stored neither on another host nor in
	// the table service.
	ErrNotReplicated = errors.New("open bill could not be stored on another host or in the table service")
)

// State is the state of a bill.
type State string

// States of a bill.
const (
	StateOpen State = "open"
	// StateFinal means that the bill has the usage that the endpoint reported.
	StateFinal State = "final"
	// StateInterrupted means that the bill has the usage last known before its host was
	// lost. If the host comes back, it may still replace the bill by a final one.
	StateInterrupted State = "interrupted"
)

// Bill records the usage and cost of one request.
type Bill struct {
	RequestID   string    `json:"request_id"` // the row's key
	OpeningID   string    `json:"copy"`       // unique per call of Open, unlike RequestID
	Workspace   string    `json:"workspace"`
	Subject     string    `json:"subject"` // model@version, or service/call
	Class       string    `json:"class,omitempty"`
	Session     string    `json:"session,omitempty"`
	Host        string    `json:"host"`
	Incarnation string    `json:"incarnation"`
	State       State     `json:"state"`
	Opened      time.Time `json:"opened"`
	Settled     time.Time `json:"settled,omitzero"`
	Usage       Usage     `json:"usage"`
	// Intent is set when the table service has, or may have, an intent for this OpeningID.
	Intent bool `json:"intent,omitempty"`
}

// Usage is the billed usage.
type Usage struct {
	PromptTokens     int   `json:"prompt_tokens"`
	CompletionTokens int   `json:"completion_tokens"`
	Cost             int64 `json:"cost"` // in millionths of the currency unit
	Attempts         int   `json:"attempts"`
}

// Add returns the sum of the usage of two attempts of one request.
func (u Usage) Add(other Usage) Usage {
	u.PromptTokens += other.PromptTokens
	u.CompletionTokens += other.CompletionTokens
	u.Cost += other.Cost
	u.Attempts += other.Attempts
	return u
}

// WithUsage returns the bill with another usage.
func (b Bill) WithUsage(u Usage) Bill {
	b.Usage = u
	return b
}

// WithState returns the bill in another state, settled at the given time.
func (b Bill) WithState(s State, at time.Time) Bill {
	b.State = s
	b.Settled = at
	return b
}

// WithSubject returns the bill for another version or call.
func (b Bill) WithSubject(subject string) Bill {
	b.Subject = subject
	return b
}

// Replaces reports whether the bill replaces an existing one in the table: only a final bill
// replaces an interrupted one, and only with the same OpeningID.
func (b Bill) Replaces(existing Bill) bool {
	return existing.State == StateInterrupted && b.State == StateFinal && existing.OpeningID == b.OpeningID
}
