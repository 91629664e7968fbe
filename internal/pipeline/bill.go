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

// meter is the open bill of a request with what was used so far.
type meter struct {
	entry *billing.Entry

	mu         sync.Mutex // guards all below
	total      billing.Usage
	mayHaveRun bool // something may have run
}

// recordAttempt notes that something may have run.
func (a *meter) recordAttempt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mayHaveRun = true
	a.total.Attempts++
	a.entry.Progress(a.total)
}

// charge adds the usage of an attempt that ended.
func (a *meter) charge(u billing.Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mayHaveRun = true
	a.total = a.total.Add(u)
	a.entry.Progress(a.total)
}

// reportProgress tells the bill's holders how far a stream has come.
func (a *meter) reportProgress(u billing.Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entry.Progress(a.total.Add(u))
}

// closeBill settles the bill, or voids it if nothing ran.
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

// billedRequest is a request whose bill is kept in a second place.
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

// billedCall is a service call whose bill is kept in a second place.
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

// usageOf prices an answer. Where the engine did not report, the prompt is
// estimated from its length and each event counts as one token.
func usageOf(v declare.Version, reported *chat.Usage, promptEstimate, events int) billing.Usage {
	u := billing.Usage{PromptTokens: promptEstimate, CompletionTokens: events, Attempts: 1}
	if reported != nil {
		u.PromptTokens, u.CompletionTokens = reported.PromptTokens, reported.CompletionTokens
	}
	u.Cost = int64(u.PromptTokens)*v.InputCost + int64(u.CompletionTokens)*v.OutputCost
	return u
}
