// Package billing writes one bill for each request, through lost replies,
// outages of the table service and the death of hosts.
//
// # Usage
//
//	entry, err := ledger.Open(ctx, bill)   // before anything runs
//	...
//	entry.Progress(tokens)                 // while it runs
//	entry.Settle(usage)                    // or entry.Void() if it did not run
//
// A bill's row is named by the request's id and written only if absent, so
// there can't be two. The work is in not losing one: before a request runs, its
// open bill is copied to two hosts in other data halls, or, where that can't
// be, written as an intent to the table. When a host dies, whoever holds the
// copy writes the bill with what was known last.
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

// Errors of opening a bill. Nothing has run when one is returned.
var (
	// ErrFull means that too many bills wait for the table service.
	ErrFull = errors.New("too many bills are unsettled")
	// ErrNotReplicated means that no second place for the open bill could be had.
	ErrNotReplicated = errors.New("open bill could not be kept in a second place")
)

// State is how far a bill has come.
type State string

// States of a bill.
const (
	StateOpen State = "open"
	// StateFinal has the usage that the endpoint reported.
	StateFinal State = "final"
	// StateInterrupted has the usage known when its host was lost. Its host
	// may still replace it by a final one, should it come back.
	StateInterrupted State = "interrupted"
)

// Bill is what one request costs.
type Bill struct {
	RequestID   string    `json:"request_id"` // the row's key
	OpeningID   string    `json:"copy"`       // names this opening among repeats of the request
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
	// Intent is set when the table has, or may have, an intent of this opening.
	Intent bool `json:"intent,omitempty"`
}

// Usage is what a bill charges for.
type Usage struct {
	PromptTokens     int   `json:"prompt_tokens"`
	CompletionTokens int   `json:"completion_tokens"`
	Cost             int64 `json:"cost"` // micro-units of money
	Attempts         int   `json:"attempts"`
}

// Add joins the usage of two attempts of one request.
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

// WithState returns the bill in another state, settled at a moment.
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

// Replaces reports whether the bill takes the place of one in the table: only
// the final word of the same opening over an interrupted one.
func (b Bill) Replaces(existing Bill) bool {
	return existing.State == StateInterrupted && b.State == StateFinal && existing.OpeningID == b.OpeningID
}
