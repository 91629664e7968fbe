// Package pipeline processes a request on a host in a sequence of named stages, each with its own
// trace span.
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
// A call to a plain service passes through the same stages, except that it has no session and no
// choice of a version; if it may not be repeated, it is dispatched under a claim. Each stage is a
// function from one immutable value to the next, and the value carries everything that later stages
// need. The errors are problems that state whether the request ran.
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

// Credits limits the requests that versions in roll-out may take on this host.
type Credits interface {
	// Available reports whether a credit is left.
	Available(ref declare.Ref) bool
	// Spend uses up one credit. A request of a session pinned to the version does so even if none
	// is left.
	Spend(ref declare.Ref)
	// Report records whether an attempt failed because of the version.
	Report(ctx context.Context, ref declare.Ref, failed bool)
}

// Options are the settings and dependencies of a Pipeline.
type Options struct {
	Host       string
	Config     *config.Holder
	Admission  *admission.Controller
	Keyring    func() session.Keyring
	Names      *session.NamedSessions
	Ready      func(declare.Ref) bool // reports whether some endpoint serves a version
	Dispatcher *dispatch.Dispatcher
	Quarantine *quarantine.Tracker
	Ledger     *billing.Ledger
	Guard      *once.Guard
	Credits    Credits
	Estimates  func() estimate.Table
	Telemetry  *telemetry.Telemetry
	Traffic    *traffic.Log
	Deadlines  *clock.Deadlines // watched by the host
	StaleAfter time.Duration    // age above which the configuration is stale
	Proven     time.Duration    // required time in service of a version while the configuration is stale
	MaxTimeout time.Duration    // upper limit on the timeout of a request
}

// Pipeline serves requests.
type Pipeline struct{ options Options }

// New returns a pipeline.
func New(options Options) *Pipeline { return &Pipeline{options: options} }

// Incoming is a request before parsing.
type Incoming struct {
	Secret         string // the caller's API key
	Body           []byte
	IdempotencyKey string
	SessionToken   string
	SessionName    string
	NewSession     bool
	Timeout        time.Duration // requested by the caller; 0 if none
	Priority       declare.Priority

	// The following are set only for calls to plain services.
	Service     string
	Call        string
	Method      string
	ContentType string

	// RequestID is the id of a request that already has one, such as a job.
	RequestID string
	// Workspace replaces Secret if the request was authenticated before, as that of a job.
	Workspace string
}

// Head is the metadata of an answer, sent before its content.
type Head struct {
	RequestID    string
	TraceID      string
	Version      string
	SessionToken string
	Replayed     bool
}

// Sink sends an answer to the caller.
type Sink interface {
	// Whole sends a complete answer.
	Whole(head Head, status int, contentType string, body []byte) error
	// Begin starts a streamed answer.
	Begin(head Head) error
	// Event sends one event of a streamed answer; more means that the next follows immediately, so
	// no flush is needed.
	Event(data []byte, more bool) error
}

// stage runs one stage in its own span.
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

	authenticated, err := stage(ctx, p, "authenticate", p.authenticate, in)
	if err != nil {
		return err
	}
	request, err := stage(ctx, p, "read", p.parseCompletion, authenticated)
	if err != nil {
		return err
	}
	record.Workspace, record.Asked, record.RequestID = request.workspace.Name, request.chat.Model, request.requestID
	span.SetAttributes(attribute.String("request.id", request.requestID), attribute.String("workspace", request.workspace.Name))
	if request, err = stage(ctx, p, "check quarantine", p.checkQuarantine, request); err != nil {
		return err
	}
	ctx, cancel := p.options.Deadlines.WithDeadline(ctx, request.deadline)
	defer cancel()
	permit, err := stage(ctx, p, "admit", p.admit, request)
	if err != nil {
		return err
	}
	defer permit.Release()
	withSession, err := stage(ctx, p, "pin session", p.findSession, request)
	if err != nil {
		return err
	}
	routed, err := stage(ctx, p, "choose version", p.choose, withSession)
	if err != nil {
		return err
	}
	record.Version, record.Reason, record.Session = routed.first.Candidate.Name, string(routed.first.Reason), routed.pin.ID
	billed, err := stage(ctx, p, "open bill", p.openBill, routed)
	if err != nil {
		return err
	}
	defer billed.closeBill()
	response, err := stage(ctx, p, "dispatch", p.dispatch, billed)
	if err != nil {
		return err
	}
	defer response.stream.Close()
	record.setFirstToken(time.Now())
	record.Version = response.decision.Candidate.Name
	if request.chat.Stream && response.checkedBody == nil {
		// The time of the first token is known only for a streamed answer.
		permit.RecordFirstToken(admission.KindOf(record.Version, len(in.Body)))
	}
	_, err = stage(ctx, p, "relay", func(ctx context.Context, a startedResponse) (struct{}, error) {
		return struct{}{}, p.relay(ctx, a, sink)
	}, response)
	record.setUsage(billed.usage())
	return err
}

// Serve processes a call to a plain service.
func (p *Pipeline) Serve(ctx context.Context, in Incoming, sink Sink) (err error) {
	ctx, span := p.options.Telemetry.Start(ctx, "service call")
	defer span.End()
	record := p.newRecord(ctx)
	defer func() { p.finish(record, err) }()

	authenticated, err := stage(ctx, p, "authenticate", p.authenticate, in)
	if err != nil {
		return err
	}
	request, err := stage(ctx, p, "read", p.parseServiceCall, authenticated)
	if err != nil {
		return err
	}
	record.Workspace, record.Asked, record.RequestID = request.workspace.Name, request.subject(), request.requestID
	span.SetAttributes(attribute.String("request.id", request.requestID), attribute.String("workspace", request.workspace.Name))
	if request, err = stage(ctx, p, "check quarantine", p.checkQuarantine, request); err != nil {
		return err
	}
	ctx, cancel := p.options.Deadlines.WithDeadline(ctx, request.deadline)
	defer cancel()
	permit, err := stage(ctx, p, "admit", p.admit, request)
	if err != nil {
		return err
	}
	defer permit.Release()
	billed, err := stage(ctx, p, "open bill", p.openCallBill, request)
	if err != nil {
		return err
	}
	defer billed.closeBill()
	result, err := stage(ctx, p, "dispatch", p.call, billed)
	if err != nil {
		return err
	}
	record.setFirstToken(time.Now())
	record.setUsage(billed.usage())
	head := Head{RequestID: request.requestID, TraceID: telemetry.TraceID(ctx), Replayed: result.Replayed}
	if err := sink.Whole(head, result.Outcome.Status, result.Outcome.ContentType, result.Outcome.Body); err != nil {
		return problem.New(http.StatusOK, problem.CodeCut, problem.Ran, "caller left").WithCause(err)
	}
	return nil
}
