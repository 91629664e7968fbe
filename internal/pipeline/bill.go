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

// account is the open bill of a request with what was used so far.
type account struct {
	entry *billing.Entry

	mu    sync.Mutex // guards all below
	total billing.Usage
	ran   bool // something may have run
}

// attempted notes that something may have run.
func (a *account) attempted() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ran = true
	a.total.Attempts++
	a.entry.Progress(a.total)
}

// charge adds the usage of an attempt that ended.
func (a *account) charge(u billing.Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ran = true
	a.total = a.total.Add(u)
	a.entry.Progress(a.total)
}

// progress tells the bill's holders how far a stream has come.
func (a *account) progress(u billing.Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entry.Progress(a.total.Add(u))
}

// conclude settles the bill, or voids it if nothing ran.
func (a *account) conclude() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ran {
		a.entry.Void()
		return
	}
	a.entry.Settle(a.total)
}

func (a *account) usage() billing.Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}

// opened is a request whose bill is kept in a second place.
type opened struct {
	chosen
	*account
}

// openBill opens the bill of a completion.
func (p *Pipeline) openBill(ctx context.Context, in chosen) (opened, error) {
	class := in.chat.Model
	if in.pin.Class != "" {
		class = in.pin.Class
	}
	entry, err := p.options.Ledger.Open(ctx, billing.Bill{
		RequestID: in.requestID, Workspace: in.workspace.Name, Subject: in.first.Candidate.Name,
		Class: class, Session: in.pin.ID,
	})
	if err != nil {
		return opened{}, billingAway(err)
	}
	return opened{chosen: in, account: &account{entry: entry}}, nil
}

func billingAway(err error) error {
	reason := "the request's bill can't be kept safe"
	if errors.Is(err, billing.ErrFull) {
		reason = "too many bills wait for the table service"
	}
	return problem.New(http.StatusServiceUnavailable, problem.CodeBilling, problem.NotRun, reason).
		WithCause(err).WithRetryAfter(2 * time.Second)
}

// openedCall is a service call whose bill is kept in a second place.
type openedCall struct {
	ask
	*account
}

// openCallBill opens the bill of a service call.
func (p *Pipeline) openCallBill(ctx context.Context, in ask) (openedCall, error) {
	entry, err := p.options.Ledger.Open(ctx, billing.Bill{
		RequestID: in.requestID, Workspace: in.workspace.Name, Subject: in.subject(),
	})
	if err != nil {
		return openedCall{}, billingAway(err)
	}
	return openedCall{ask: in, account: &account{entry: entry}}, nil
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
