// Package once lets a call that may not be repeated run at most once.
//
// # Usage
//
//	result, err := guard.Do(ctx, call, func(ctx context.Context) once.Attempt { ... })
//
// A durable claim is made before the first byte is sent, in a row named by the
// caller's key. Whoever finds the claim there never dispatches: it replays the
// recorded outcome, or says that the call is under way or that its outcome is
// unknown. So a paused claimer, a repeat through another host and a lost reply
// all come to at most one dispatch. A claim is never taken over.
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

// TableClaims holds the claims.
const TableClaims = "claim"

// State is how far a claim has come.
type State string

// States of a claim.
const (
	StateClaimed State = "claimed" // by a host that may have dispatched it
	StateDone    State = "done"    // with its outcome
	StateUnknown State = "unknown" // dispatched, and nobody will learn the outcome
)

// Errors of Do. Nothing was dispatched for the asker with any of them, and only
// ErrNotClaimed means that the call did not run at all.
var (
	// ErrNotClaimed means that the claim could not be made durable.
	ErrNotClaimed = errors.New("claim could not be made")
	// ErrUnderWay means that an earlier call with the key is not finished.
	ErrUnderWay = errors.New("an earlier call with this key is under way")
	// ErrOutcomeUnknown means that the outcome of an earlier call with the key is lost.
	ErrOutcomeUnknown = errors.New("an earlier call with this key may have run")
	// ErrBodyMismatch means that the key was used before for another content.
	ErrBodyMismatch = errors.New("the key was used for a different body")
)

// Call names a call that may not be repeated.
type Call struct {
	Workspace string
	Service   string
	Name      string
	Key       string // the caller's
	Body      []byte
	RequestID string
}

// rowKey is where the claim stands.
func (c Call) rowKey() string {
	return c.Workspace + "/" + c.Service + "/" + c.Name + "/" + digest([]byte(c.Key))
}

// digest shortens a text of any length to a fixed one.
func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

// Outcome is an endpoint's answer, kept to be replayed.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Attempt is the result of the one dispatch.
type Attempt struct {
	Run     problem.Run
	Outcome Outcome
}

// Result is what Do tells.
type Result struct {
	Run      problem.Run
	Outcome  Outcome
	Replayed bool
}

// claim is the row.
type claim struct {
	State       State     `json:"state"`
	RequestID   string    `json:"request_id"`
	Token       string    `json:"token"` // names the claimer's attempt
	BodyDigest  string    `json:"body_digest"`
	Host        string    `json:"host"`
	Incarnation string    `json:"incarnation"`
	At          time.Time `json:"at"`
	Outcome     *Outcome  `json:"outcome,omitempty"`
}

// Options set up a Guard.
type Options struct {
	Tables      store.Tables
	Host        string
	Incarnation string
	// MayBeRunning reports whether the given start of a host may still be running.
	MayBeRunning func(ctx context.Context, host, incarnation string) bool
	Limit        int // most records that wait for the table
}

// Guard makes claims for one host.
type Guard struct {
	options Options

	mu      sync.Mutex // guards waiting
	pending []claimUpdate
}

// claimUpdate is an end of a claim that the table does not have yet.
type claimUpdate struct {
	key    string
	claim  claim
	remove bool // the claim goes: the call certainly did not run
}

// NewGuard returns a guard without records.
func NewGuard(options Options) *Guard { return &Guard{options: options} }

// Do claims a call and dispatches it, or tells what became of an earlier one.
func (g *Guard) Do(ctx context.Context, c Call, dispatch func(context.Context) Attempt) (Result, error) {
	if g.queueFull() {
		return Result{}, fmt.Errorf("%w: too many outcomes wait for the table service", ErrNotClaimed)
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

// maxClaimAttempts bounds how often a claim with a lost reply is looked up.
const maxClaimAttempts = 3

// claimOrRead writes the claimOrRead or returns the one that is there. When it can't learn
// which, it gives up, which is safe: it never dispatches after that.
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

// replay answers from a claim that another call made.
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

// recordResult records the end of a claim, now or when the table is back.
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
