package pipeline

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/billing"
	"quaybarrow/internal/chat"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/problem"
)

// meter accumulates the usage of a request and reports it to the open bill.
type meter struct {
	entry *billing.Entry

	mu         sync.Mutex // guards all below
	total      billing.Usage
	mayHaveRun bool // an attempt may have run
}

// recordAttempt records an attempt that may have run.
func (a *meter) recordAttempt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mayHaveRun = true
	a.total.Attempts++
	a.entry.Progress(a.total)
}

// charge adds the usage of an attempt that ended, and updates the bill.
func (a *meter) charge(u billing.Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mayHaveRun = true
	a.total = a.total.Add(u)
	a.entry.Progress(a.total)
}

// reportProgress updates the open bill with the usage of a stream that is still running, without
// adding it to the total.
func (a *meter) reportProgress(u billing.Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entry.Progress(a.total.Add(u))
}

// closeBill settles the bill, or voids it if no attempt can have run.
func (a *meter) closeBill() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.mayHaveRun {
		a.entry.Void()
		return
	}
	a.entry.Settle(a.total)
}

func (a *meter) usage() billing.Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}

// billedRequest is a completion with an open bill that also exists outside this host.
type billedRequest struct {
	routedRequest
	*meter
}

// openBill opens the bill of a completion.
func (p *Pipeline) openBill(ctx context.Context, in routedRequest) (billedRequest, error) {
	class := in.chat.Model
	if in.pin.Class != "" {
		class = in.pin.Class
	}
	entry, err := p.options.Ledger.Open(ctx, billing.Bill{
		RequestID: in.requestID, Workspace: in.workspace.Name, Subject: in.first.Candidate.Name,
		Class: class, Session: in.pin.ID,
	})
	if err != nil {
		return billedRequest{}, billingUnavailable(err)
	}
	return billedRequest{routedRequest: in, meter: &meter{entry: entry}}, nil
}

func billingUnavailable(err error) error {
	reason := "the request's bill can't be kept safe"
	if errors.Is(err, billing.ErrFull) {
		reason = "too many bills wait for the table service"
	}
	return problem.New(http.StatusServiceUnavailable, problem.CodeBilling, problem.NotRun, reason).
		WithCause(err).WithRetryAfter(2 * time.Second)
}

// billedCall is a service call with an open bill that also exists outside this host.
type billedCall struct {
	parsedRequest
	*meter
}

// openCallBill opens the bill of a service call.
func (p *Pipeline) openCallBill(ctx context.Context, in parsedRequest) (billedCall, error) {
	entry, err := p.options.Ledger.Open(ctx, billing.Bill{
		RequestID: in.requestID, Workspace: in.workspace.Name, Subject: in.subject(),
	})
	if err != nil {
		return billedCall{}, billingUnavailable(err)
	}
	return billedCall{parsedRequest: in, meter: &meter{entry: entry}}, nil
}

// usageOf returns the usage and cost of an answer. If the engine reported no usage, it uses the
// estimate for the prompt and counts each event as one token.
func usageOf(v declare.Version, reported *chat.Usage, promptEstimate, events int) billing.Usage {
	u := billing.Usage{PromptTokens: promptEstimate, CompletionTokens: events, Attempts: 1}
	if reported != nil {
		u.PromptTokens, u.CompletionTokens = reported.PromptTokens, reported.CompletionTokens
	}
	u.Cost = int64(u.PromptTokens)*v.InputCost + int64(u.CompletionTokens)*v.OutputCost
	return u
}
