// Package once dispatches a non-idempotent call at most once.
//
// # Usage
//
//	result, err := guard.Do(ctx, call, func(ctx context.Context) once.Attempt { ... })
//
// Before the first byte is sent, a durable claim is written to a row identified by the
// caller's idempotency key. A host that finds an existing claim never dispatches: it
// replays the recorded outcome, or returns an error that says that the call is in
// progress or that its outcome is unknown. Therefore a paused claimer, a retry through
// another host and a lost reply all lead to at most one dispatch. A claim is never
// taken over by another host.
package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"quaybarrow/internal/codec"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/store"
)

// TableClaims is the table of claims.
const TableClaims = "claim"

// State is the state of a claim.
type State string

// States of a claim.
const (
	StateClaimed State = "claimed" // a host has claimed the call and may have dispatched it
	StateDone    State = "done"    // the call ran and its outcome is recorded
	StateUnknown State = "unknown" // the call was dispatched and its outcome can never be known
)

// Errors returned by Do. Do dispatched nothing when it returns one of them, but only
// ErrNotClaimed means that the call did not run at all.
var (
	// ErrNotClaimed means that the claim could not be written durably.
	ErrNotClaimed = errors.New("claim could not be written")
	// ErrUnderWay means that an earlier call with the same key is still in progress.
	ErrUnderWay = errors.New("an earlier call with this key is under way")
	// ErrOutcomeUnknown means that an earlier call with the same key may have run and its outcome is
	// lost.
	ErrOutcomeUnknown = errors.New("an earlier call with this key may have run")
	// ErrBodyMismatch means that the key was used before with a different body.
	ErrBodyMismatch = errors.New("the key was used with a different body")
)

// Call identifies a non-idempotent call.
type Call struct {
	Workspace string
	Service   string
	Name      string
	Key       string // the caller's idempotency key
	Body      []byte
	RequestID string
}

// rowKey returns the key of the claim in TableClaims.
func (c Call) rowKey() string {
	return c.Workspace + "/" + c.Service + "/" + c.Name + "/" + digest([]byte(c.Key))
}

// digest returns a hash of fixed length, truncated to 128 bits.
func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

// Outcome is an endpoint's response, recorded for replay.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Attempt is the result of the single dispatch of a call.
type Attempt struct {
	Run     problem.Run
	Outcome Outcome
}

// Result is returned by Do.
type Result struct {
	Run      problem.Run
	Outcome  Outcome
	Replayed bool
}

// claim is a row of TableClaims.
type claim struct {
	State       State     `json:"state"`
	RequestID   string    `json:"request_id"`
	Token       string    `json:"token"` // unique ID of the claimer's attempt
	BodyDigest  string    `json:"body_digest"`
	Host        string    `json:"host"`
	Incarnation string    `json:"incarnation"`
	At          time.Time `json:"at"`
	Outcome     *Outcome  `json:"outcome,omitempty"`
}

// Options configure a Guard.
type Options struct {
	Tables      store.Tables
	Host        string
	Incarnation string
	// MayBeRunning reports whether the given incarnation of a host may still be running.
	MayBeRunning func(ctx context.Context, host, incarnation string) bool
	Limit        int // maximum number of updates waiting for the table service
}

// Guard claims and dispatches calls on one host.
type Guard struct {
	options Options

	mu      sync.Mutex // guards pending
	pending []claimUpdate
}

// claimUpdate is the final state of a claim, not yet written to the table service.
type claimUpdate struct {
	key    string
	claim  claim
	remove bool // delete the claim, because the call certainly did not run
}

// NewGuard returns a guard without pending updates.
func NewGuard(options Options) *Guard { return &Guard{options: options} }

// Do claims a call and dispatches it, or returns the outcome of an earlier call with the same key.
func (g *Guard) Do(ctx context.Context, c Call, dispatch func(context.Context) Attempt) (Result, error) {
	if g.queueFull() {
		return Result{}, fmt.Errorf("%w: too many claim updates are waiting for the table service", ErrNotClaimed)
	}
	own := claim{
		State: StateClaimed, RequestID: c.RequestID, Token: uuid.NewString(), BodyDigest: digest(c.Body),
		Host: g.options.Host, Incarnation: g.options.Incarnation, At: time.Now().UTC(),
	}
	existing, err := g.claimOrRead(ctx, c.rowKey(), own)
	if err != nil {
		return Result{}, err
	}
	if existing.Token != own.Token {
		return g.replay(ctx, c, existing)
	}
	attempt := dispatch(ctx)
	g.recordResult(c.rowKey(), own, attempt)
	return Result{Run: attempt.Run, Outcome: attempt.Outcome}, nil
}

// maxClaimAttempts bounds the attempts to write a claim or read an existing one.
const maxClaimAttempts = 3

// claimOrRead writes the claim or returns the existing one. If it can't determine which of the
// two applies, it returns an error. This is safe, because Do does not dispatch after an error.
func (g *Guard) claimOrRead(ctx context.Context, key string, own claim) (claim, error) {
	data, err := codec.Encode(own)
	if err != nil {
		return claim{}, err
	}
	mayBeWritten := false
	for range maxClaimAttempts {
		err = g.options.Tables.Commit(ctx, store.Transaction{
			Conditions: []store.Condition{store.Absent(TableClaims, key)},
			Writes:     []store.Write{store.Put(TableClaims, key, data)},
		})
		if err == nil {
			return own, nil
		}
		mayBeWritten = mayBeWritten || store.Uncertain(err)
		if errors.Is(err, store.ErrThrottled) {
			break
		}
		var existing claim
		if existing, _, err = g.read(ctx, key); err == nil {
			return existing, nil
		}
	}
	if mayBeWritten {
		g.enqueue(claimUpdate{key: key, claim: own, remove: true})
	}
	return claim{}, fmt.Errorf("%w: %w", ErrNotClaimed, err)
}

func (g *Guard) read(ctx context.Context, key string) (claim, store.Row, error) {
	row, err := g.options.Tables.Get(ctx, TableClaims, key)
	if err != nil {
		return claim{}, store.Row{}, fmt.Errorf("read claim: %w", err)
	}
	c, err := codec.Decode[claim](row.Value)
	if err != nil {
		return claim{}, store.Row{}, fmt.Errorf("read claim: %w", err)
	}
	return c, row, nil
}

// replay returns the result of the earlier call that made the existing claim.
func (g *Guard) replay(ctx context.Context, c Call, existing claim) (Result, error) {
	if existing.BodyDigest != digest(c.Body) {
		return Result{}, ErrBodyMismatch
	}
	switch {
	case existing.State == StateDone && existing.Outcome != nil:
		return Result{Run: problem.Ran, Outcome: *existing.Outcome, Replayed: true}, nil
	case existing.State == StateUnknown:
		return Result{}, ErrOutcomeUnknown
	case g.options.MayBeRunning(ctx, existing.Host, existing.Incarnation):
		return Result{}, ErrUnderWay
	default:
		return Result{}, ErrOutcomeUnknown
	}
}

// recordResult writes the final state of a claim, or enqueues it if the table service is
// unavailable.
func (g *Guard) recordResult(key string, own claim, attempt Attempt) {
	update := claimUpdate{key: key, claim: own}
	switch attempt.Run {
	case problem.NotRun:
		update.remove = true
	case problem.Ran:
		update.claim.State = StateDone
		update.claim.Outcome = &attempt.Outcome
	case problem.Unknown:
		update.claim.State = StateUnknown
	}
	ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
	defer cancel()
	if err := g.applyUpdate(ctx, update); err != nil {
		g.enqueue(update)
	}
}
