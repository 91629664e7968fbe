package config

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/store"
)

// Table names and keys of the log.
const (
	tableConfig = "config"
	keyHead     = "head"
)

// Attempts at accepting a change whose outcome is uncertain, and the base of the exponential
// backoff between them.
const (
	acceptAttempts = 5
	acceptBackoff  = 200 * time.Millisecond
)

// Errors of Accept.
var (
	// ErrConflict means that another change was accepted first.
	ErrConflict = errors.New("conflict with another change")
	// ErrUnsettled means that it could not be determined whether the change was accepted. Calling
	// Accept again with the same command id determines it.
	ErrUnsettled = errors.New("could not determine whether the change was accepted")
	// ErrEmpty means that the log holds no revision.
	ErrEmpty = errors.New("no configuration has been accepted yet")
)

// ConflictError reports the revision that was accepted in place of the refused change.
type ConflictError struct {
	Base   int64    // the revision that the refused change was based on
	Winner Revision // the revision accepted directly after Base
}

// Error formats the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: decided on revision %d, but %s accepted revision %d (%s)",
		e.Base, e.Winner.Operator, e.Winner.Number, e.Winner.Command)
}

// Unwrap makes a ConflictError match ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// head is the row that names the newest revision.
type head struct {
	Number    int64  `json:"number"`
	CommandID string `json:"command_id"`
}

// Log is the log of revisions in the table service.
type Log struct{ tables store.Tables }

// NewLog returns the log kept in the given tables.
func NewLog(tables store.Tables) *Log { return &Log{tables: tables} }

// revisionKey returns the row key of a revision. Keys sort in the order of the numbers.
func revisionKey(number int64) string { return fmt.Sprintf("revision/%012d", number) }

// HeadNumber reads the number of the newest revision; 0 if there is none.
func (l *Log) HeadNumber(ctx context.Context) (int64, error) {
	h, _, err := l.readHead(ctx)
	return h.Number, err
}

func (l *Log) readHead(ctx context.Context) (head, store.Row, error) {
	row, err := l.tables.Get(ctx, tableConfig, keyHead)
	if errors.Is(err, store.ErrNotFound) {
		return head{}, store.Row{Key: keyHead}, nil
	}
	if err != nil {
		return head{}, store.Row{}, fmt.Errorf("read configuration head: %w", err)
	}
	h, err := codec.Decode[head](row.Value)
	if err != nil {
		return head{}, store.Row{}, fmt.Errorf("read configuration head: %w", err)
	}
	return h, row, nil
}

// Read returns one revision.
func (l *Log) Read(ctx context.Context, number int64) (Revision, error) {
	row, err := l.tables.Get(ctx, tableConfig, revisionKey(number))
	if err != nil {
		return Revision{}, fmt.Errorf("read revision %d: %w", number, err)
	}
	return codec.Decode[Revision](row.Value)
}

// Newest returns the newest revision, or ErrEmpty if there is none.
func (l *Log) Newest(ctx context.Context) (Revision, error) {
	h, _, err := l.readHead(ctx)
	if err != nil {
		return Revision{}, err
	}
	if h.Number == 0 {
		return Revision{}, ErrEmpty
	}
	return l.Read(ctx, h.Number)
}

// History returns up to limit revisions with numbers above after, oldest first.
func (l *Log) History(ctx context.Context, after int64, limit int) ([]Revision, error) {
	rows, err := l.tables.Scan(ctx, store.Range{
		Table: tableConfig, Prefix: "revision/", After: revisionKey(after), Limit: limit,
	})
	if err != nil {
		return nil, fmt.Errorf("read revisions: %w", err)
	}
	revisions := make([]Revision, len(rows))
	for i, row := range rows {
		if revisions[i], err = codec.Decode[Revision](row.Value); err != nil {
			return nil, fmt.Errorf("read revisions: %w", err)
		}
	}
	return revisions, nil
}

// Accept makes a change the newest revision, provided that base is still the newest one. It
// returns a *ConflictError if another change was accepted first, and ErrUnsettled if the outcome
// could not be determined; after any other error, nothing was accepted.
func (l *Log) Accept(ctx context.Context, base int64, c Change) (Revision, error) {
	writeSent := false // a write was sent and its reply is missing
	var lastErr error
	for attempt := range acceptAttempts {
		if attempt > 0 && !clock.Sleep(ctx, acceptBackoff<<attempt) {
			break
		}
		revision, done, err := l.attemptAccept(ctx, base, c)
		if done {
			return revision, err
		}
		writeSent = writeSent || errors.Is(err, errWriteSent)
		lastErr = err
	}
	if writeSent {
		return Revision{}, ErrUnsettled
	}
	return Revision{}, fmt.Errorf("accept configuration: %w: %w", store.ErrUnavailable, lastErr)
}

// errStaleHead means that the store returned an older head than the caller has already read.
var errStaleHead = errors.New("the head read from the store is older than the base revision")

// errWriteSent marks an error after which the write may have been applied.
var errWriteSent = errors.New("write was sent")

// attemptAccept makes one attempt at accepting the change. The second result reports whether the
// outcome is certain.
func (l *Log) attemptAccept(ctx context.Context, base int64, c Change) (Revision, bool, error) {
	h, row, err := l.readHead(ctx)
	if err != nil {
		return Revision{}, false, err
	}
	if h.Number != base {
		return l.resolveAccept(ctx, base, h.Number, c.CommandID)
	}
	previous := Revision{}
	if h.Number > 0 {
		if previous, err = l.Read(ctx, h.Number); err != nil {
			return Revision{}, false, err
		}
	}
	if h.Number > 0 && h.CommandID == c.CommandID {
		return previous, true, nil
	}
	revision := previous.next(c, time.Now().UTC())
	err = l.commit(ctx, row, revision)
	if err == nil {
		return revision, true, nil
	}
	if store.Uncertain(err) {
		return Revision{}, false, fmt.Errorf("%w: %w", errWriteSent, err)
	}
	return Revision{}, false, err // the next attempt reads the head again
}

func (l *Log) commit(ctx context.Context, headRow store.Row, r Revision) error {
	data, err := codec.Encode(r)
	if err != nil {
		return err
	}
	headData, err := codec.Encode(head{Number: r.Number, CommandID: r.CommandID})
	if err != nil {
		return err
	}
	return l.tables.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{
			store.AtVersion(tableConfig, headRow),
			store.Absent(tableConfig, revisionKey(r.Number)),
		},
		Writes: []store.Write{
			store.Put(tableConfig, keyHead, headData),
			store.Put(tableConfig, revisionKey(r.Number), data),
		},
	})
}

// resolveAccept determines the outcome of an accept whose base is not the head: the revision
// directly after the base is either this change or the one that was accepted in its place.
func (l *Log) resolveAccept(ctx context.Context, base, newest int64, commandID string) (Revision, bool, error) {
	if newest < base {
		return Revision{}, false, errStaleHead // the base has been read before, so this read is stale
	}
	successor, err := l.Read(ctx, base+1)
	if err != nil {
		return Revision{}, false, err
	}
	if successor.CommandID == commandID {
		return successor, true, nil
	}
	return Revision{}, true, &ConflictError{Base: base, Winner: successor}
}
