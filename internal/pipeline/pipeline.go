// Package pipeline is the way of a request through a host: named stages, one
// after the other, each with a span of its own.
//
// # Usage
//
//	err := p.Complete(ctx, incoming, sink)
//
// A completion passes through
//
//	authenticate -> read -> check quarantine -> admit -> pin session ->
//	choose version -> open bill -> dispatch -> relay -> settle bill
//
// and a call to a plain service through the same, with a claim in place of a
// session where the call may not be repeated. A stage is a function from one
// immutable value to the next; what a later stage needs travels in the value.
// The errors are problems that say whether the request ran.
package pipeline

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/billing"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/config"
	"quaybarrow/internal/dispatch"
	"quaybarrow/internal/estimate"
	"quaybarrow/internal/once"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/session"
	"quaybarrow/internal/telemetry"
	"quaybarrow/internal/traffic"

	"quaybarrow/internal/declare"
)

// Credits says which versions in roll-out may take a request on this host.
type Credits interface {
	// Available reports whether a credit is left.
	Available(ref declare.Ref) bool
	// Spend takes one; a pinned session's request takes it even if none is left.
	Spend(ref declare.Ref)
	// Report tells how an attempt went.
	Report(ctx context.Context, ref declare.Ref, failed bool)
}

// Options are what the stages work with.
type Options struct {
	Host       string
	Config     *config.Holder
	Admission  *admission.Controller
	Keyring    func() session.Keyring
	Names      *session.Names
	Ready      func(declare.Ref) bool // whether some endpoint serves a version
	Dispatcher *dispatch.Dispatcher
	Quarantine *quarantine.Tracker
	Ledger     *billing.Ledger
	Guard      *once.Guard
	Credits    Credits
	Estimates  func() estimate.Table
	Telemetry  *telemetry.Telemetry
	Traffic    *traffic.Log
	Deadlines  *clock.Deadlines // watched by the host
	Stale      time.Duration
	Proven     time.Duration
	Longest    time.Duration // of a request
}

// Pipeline serves requests.
type Pipeline struct{ options Options }

// New returns a pipeline.
func New(options Options) *Pipeline { return &Pipeline{options: options} }

// Incoming is a request as it arrived.
type Incoming struct {
	Secret         string // the caller's API key
	Body           []byte
	IdempotencyKey string
	SessionToken   string
	SessionName    string
	NewSession     bool
	Timeout        time.Duration // the caller's own; 0 if it set none
	Priority       declare.Priority

	// Of calls to plain services.
	Service     string
	Call        string
	Method      string
	ContentType string

	// RequestID names the request when it was named before, as a job is.
	RequestID string
	// Workspace stands in for a secret when the request was authenticated
	// before, as a job's was.
	Workspace string
}

// Head is what is told of an answer before its content.
type Head struct {
	RequestID    string
	TraceID      string
	Version      string
	SessionToken string
	Replayed     bool
}

// Sink takes an answer.
type Sink interface {
	// Whole takes an answer in one piece.
	Whole(head Head, status int, contentType string, body []byte) error
	// Begin starts a streamed answer.
	Begin(head Head) error
	// Event takes one event of it; more says that the next follows at once.
	Event(data []byte, more bool) error
}

// stage runs one stage under a span.
func stage[In, Out any](ctx context.Context, p *Pipeline, name string, f func(context.Context, In) (Out, error), in In) (Out, error) {
	ctx, span := p.options.Telemetry.Start(ctx, name)
	defer span.End()
	out, err := f(ctx, in)
	telemetry.Fail(span, err)
	return out, err
}

// Complete serves a chat completion.
func (p *Pipeline) Complete(ctx context.Context, in Incoming, sink Sink) (err error) {
	ctx, span := p.options.Telemetry.Start(ctx, "completion")
	defer span.End()
	record := p.newRecord(ctx)
	defer func() { p.finish(record, err) }()

	caller, err := stage(ctx, p, "authenticate", p.authenticate, in)
	if err != nil {
		return err
	}
	ask, err := stage(ctx, p, "read", p.read, caller)
	if err != nil {
		return err
	}
	record.Workspace, record.Asked, record.RequestID = ask.workspace.Name, ask.chat.Model, ask.requestID
	span.SetAttributes(attribute.String("request.id", ask.requestID), attribute.String("workspace", ask.workspace.Name))
	if ask, err = stage(ctx, p, "check quarantine", p.checkQuarantine, ask); err != nil {
		return err
	}
	ctx, cancel := p.options.Deadlines.With(ctx, ask.deadline)
	defer cancel()
	permit, err := stage(ctx, p, "admit", p.admit, ask)
	if err != nil {
		return err
	}
	defer permit.Release()
	pinned, err := stage(ctx, p, "pin session", p.pin, ask)
	if err != nil {
		return err
	}
	chosen, err := stage(ctx, p, "choose version", p.choose, pinned)
	if err != nil {
		return err
	}
	record.Version, record.Reason, record.Session = chosen.first.Candidate.Name, string(chosen.first.Reason), chosen.pin.ID
	opened, err := stage(ctx, p, "open bill", p.openBill, chosen)
	if err != nil {
		return err
	}
	defer opened.conclude()
	answer, err := stage(ctx, p, "dispatch", p.dispatch, opened)
	if err != nil {
		return err
	}
	defer answer.stream.Close()
	record.first(time.Now())
	record.Version = answer.decision.Candidate.Name
	if ask.chat.Stream && answer.whole == nil {
		// Of an answer in one piece the first token is not seen.
		permit.RecordFirstToken(admission.KindOf(record.Version, len(in.Body)))
	}
	_, err = stage(ctx, p, "relay", func(ctx context.Context, a answered) (struct{}, error) {
		return struct{}{}, p.relay(ctx, a, sink)
	}, answer)
	record.usage(opened.usage())
	return err
}

// Serve passes a call on to a plain service.
func (p *Pipeline) Serve(ctx context.Context, in Incoming, sink Sink) (err error) {
	ctx, span := p.options.Telemetry.Start(ctx, "service call")
	defer span.End()
	record := p.newRecord(ctx)
	defer func() { p.finish(record, err) }()

	caller, err := stage(ctx, p, "authenticate", p.authenticate, in)
	if err != nil {
		return err
	}
	ask, err := stage(ctx, p, "read", p.readCall, caller)
	if err != nil {
		return err
	}
	record.Workspace, record.Asked, record.RequestID = ask.workspace.Name, ask.subject(), ask.requestID
	span.SetAttributes(attribute.String("request.id", ask.requestID), attribute.String("workspace", ask.workspace.Name))
	if ask, err = stage(ctx, p, "check quarantine", p.checkQuarantine, ask); err != nil {
		return err
	}
	ctx, cancel := p.options.Deadlines.With(ctx, ask.deadline)
	defer cancel()
	permit, err := stage(ctx, p, "admit", p.admit, ask)
	if err != nil {
		return err
	}
	defer permit.Release()
	opened, err := stage(ctx, p, "open bill", p.openCallBill, ask)
	if err != nil {
		return err
	}
	defer opened.conclude()
	result, err := stage(ctx, p, "dispatch", p.call, opened)
	if err != nil {
		return err
	}
	record.first(time.Now())
	record.usage(opened.usage())
	head := Head{RequestID: ask.requestID, TraceID: telemetry.TraceID(ctx), Replayed: result.Replayed}
	if err := sink.Whole(head, result.Outcome.Status, result.Outcome.ContentType, result.Outcome.Body); err != nil {
		return problem.New(http.StatusOK, problem.CodeCut, problem.Ran, "caller left").WithCause(err)
	}
	return nil
}
