package fleet

import (
	"slices"
	"time"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
)

// Rule is a rule by which a choice passes over endpoints.
type Rule string

// Rules, in the order in which they apply: an endpoint counts for the first one.
const (
	RuleDraining  Rule = "draining"
	RuleEvacuated Rule = "evacuated"
	RuleVersion   Rule = "version" // an upgrade of the service does not allow its version
	RuleRegion    Rule = "region"
	RuleModel     Rule = "model"
	RuleTried     Rule = "tried" // the request was sent there before
	RulePaused    Rule = "paused"
	RuleFull      Rule = "full" // its rejections are costly and it has no room, or it has just rejected a request
	RuleCold      Rule = "cold"
	RuleLimit     Rule = "limit"
	RuleBudget    Rule = "budget"  // of prompts that it holds unread, or of slots
	RuleEjected   Rule = "ejected" // chosen only if no other endpoint can be
	RuleOther     Rule = "other"   // the rest of those that may not be chosen
)

// Rules returns all rules in order.
func Rules() []Rule {
	return []Rule{
		RuleDraining, RuleEvacuated, RuleVersion, RuleRegion, RuleModel, RuleTried, RulePaused, RuleFull, RuleCold, RuleLimit, RuleBudget, RuleEjected, RuleOther,
	}
}

// maxScored bounds the endpoints that a Placement lists.
const maxScored = 10

// Placement tells where a request would go now, and why. It is immutable.
type Placement struct {
	Decision admission.Decision // a Wait has no turn
	// Endpoint is the ID of the endpoint to which the request would be sent; empty if it waits or is
	// refused, or if no endpoint may get it.
	Endpoint   string
	Expected   Expectation      // of the best endpoint
	Urgency    int              // with which it would be sent
	Best       []ScoredEndpoint // the best endpoints, the best first; those that a rule excludes are left out
	PassedOver map[Rule]int     // number of endpoints that a rule passed over
	Listed     int              // endpoints of the service
	// Sampled means that a request would score only some of the service's endpoints, most of them drawn at
	// random, and may go to another good one. The placement is the best of all.
	Sampled   bool
	ListKnown bool          // the list of endpoints has been read
	ListAge   time.Duration // time since the list was last known to be current
}

// ScoredEndpoint is an endpoint with its score for a request. It is immutable.
type ScoredEndpoint struct {
	Endpoint
	Score         Score
	KeptTokens    int     // tokens of the prompt that it is expected to have kept
	PrefillTokens int     // tokens of the prompt that it is expected to prefill
	Load          float64 // part of its slots in use
	Reported      bool    // it has reported its load
	ReportAge     time.Duration
}

// scoreObserver is told of each endpoint that may be chosen.
type scoreObserver func(m *member, s Score, load float64, prefillTokens int)

// Where returns where Place would put a request now. It changes nothing: it takes no slot, borrows no
// loan, and the request waits nowhere. Ties go to the endpoint that was listed first.
func (f *Fleet) Where(req Request) Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.preserve(req)()
	if !req.unadvised() {
		f.advisorTenure = f.advisorTenure.at(f.options.Now())
	}
	w := whereScan{fleet: f}
	p := f.decideLimited(placement{choice: w.choose(req), req: req, urgency: req.Urgency, decision: admission.Send{}})
	return w.report(f.decide(p, w.choose))
}

// preserve returns a function that restores what a decision on a request changes: counts drop what is
// out of date, and the request enters or leaves the waiting list. The caller holds mu.
func (f *Fleet) preserve(req Request) (restore func()) {
	tenure := f.advisorTenure
	waiting, anyWaiting := f.waitingLists[req.Service]
	model := modelKey{req.Service, req.Model}
	_, modelKnown := f.prefillModels[model]
	var restoreMembers []func()
	for _, m := range f.endpointsOf(req.Service) {
		if len(m.advised) > 0 || len(m.awaiting) > 0 {
			restoreMembers = append(restoreMembers, m.preserve())
		}
	}
	f.waitingLists[req.Service] = waiting.Clone()
	return func() {
		f.advisorTenure = tenure
		f.waitingLists[req.Service] = waiting
		if !anyWaiting {
			delete(f.waitingLists, req.Service)
		}
		if !modelKnown {
			delete(f.prefillModels, model)
		}
		for _, undo := range restoreMembers {
			undo()
		}
	}
}

// preserve returns a function that restores the member's requests that have not ended.
func (m *member) preserve() (restore func()) {
	advised, awaiting, queue := m.advised, m.awaiting, m.queue
	var before queueState
	if queue != nil {
		before = *queue
	}
	m.awaiting = slices.Clone(awaiting)
	return func() {
		m.advised, m.awaiting, m.queue = advised, awaiting, queue
		if queue != nil {
			*queue = before
		}
	}
}

// whereScan chooses among all endpoints of a service and keeps the best scores of the last choice.
type whereScan struct {
	fleet  *Fleet
	terms  scoreTerms
	scored int              // endpoints that may be chosen
	best   []ScoredEndpoint // the best of them, the best first
}

// choose returns the best of all endpoints for a request. Unlike Fleet.choose it draws no random numbers.
func (w *whereScan) choose(req Request) choice {
	c := choice{now: w.fleet.options.Now()}
	w.scored, w.best = 0, nil
	p, ok := w.fleet.byService[req.Service]
	if !ok {
		return c
	}
	w.terms = w.fleet.terms(req, c.now)
	w.terms.random = func() float64 { return 0 }
	w.terms.observe = w.observe
	w.fleet.scoreAll(&c, p.all, w.terms)
	return c
}

// observe records the score of an endpoint. Of equal ones the first is the better one.
func (w *whereScan) observe(m *member, s Score, load float64, prefillTokens int) {
	w.scored++
	at := len(w.best)
	for at > 0 && s.Sum() < w.best[at-1].Score.Sum() {
		at--
	}
	if at == maxScored {
		return
	}
	e := ScoredEndpoint{Endpoint: m.Endpoint, Score: s, KeptTokens: max(w.terms.req.Tokens-prefillTokens, 0), PrefillTokens: prefillTokens, Load: load}
	e.Slots = m.slots()
	if !m.loadAt.IsZero() {
		e.Reported, e.ReportAge = true, w.terms.now.Sub(m.loadAt)
	}
	w.best = slices.Insert(w.best, at, e)
	w.best = w.best[:min(len(w.best), maxScored)]
}

// report returns the report of a placement.
func (w *whereScan) report(p placement) Placement {
	f := w.fleet
	listed := len(f.endpointsOf(p.req.Service))
	r := Placement{
		Decision: withoutTurn(p.decision), Expected: p.expected, Urgency: p.req.Urgency, Best: w.best,
		Listed: listed, Sampled: listed > scoreAllUpTo, ListKnown: f.listRead,
	}
	if p.sent() {
		r.Endpoint = p.member.ID
	}
	if f.listRead {
		r.ListAge = p.now.Sub(f.listConfirmed)
	}
	r.PassedOver = w.passedOver(p.req.Service, r.Endpoint, p.now)
	return r
}

// passedOver counts the endpoints of a service, but for the chosen one, by the rule that passes over them.
func (w *whereScan) passedOver(service, chosen string, now clock.Instant) map[Rule]int {
	counts := map[Rule]int{}
	list := w.fleet.endpointsOf(service)
	others := len(list) - w.scored
	for _, m := range list {
		rule := w.fleet.ruleExcluding(m, w.terms, now)
		if rule != "" {
			others--
		} else if m.ID != chosen {
			rule = m.rulePostponing(now)
		}
		if rule != "" {
			counts[rule]++
		}
	}
	if others > 0 {
		counts[RuleOther] = others
	}
	return counts
}

// withoutTurn returns a decision without the turn of a request that waits.
func withoutTurn(d admission.Decision) admission.Decision {
	if wait, ok := d.(admission.Wait); ok {
		wait.Turn = 0
		return wait
	}
	return d
}

// ruleExcluding returns the first rule by which an endpoint may not be chosen; empty if it may.
func (f *Fleet) ruleExcluding(m *member, t scoreTerms, now clock.Instant) Rule {
	if rule := f.ruleUnsuited(m, t.req); rule != "" {
		return rule
	}
	switch {
	case slices.Contains(t.req.Avoid, m.ID):
		return RuleTried
	case m.paused(t.req, now):
		return RulePaused
	case f.crowded(m, t.req, now):
		return RuleFull
	case !m.warmUp.admits(t.coldLimits, t.req, now):
		return RuleCold
	case f.enforcesLimit(m) && m.limit.active() && m.limit.available(now) == 0:
		return RuleLimit
	case !m.hasRoom(t, m.load(now, t.sendingHosts), t.prefillTokens(m), now):
		return RuleBudget
	default:
		return ""
	}
}

// ruleUnsuited returns the first rule by which an endpoint does not suit a request at any attempt; empty
// if it does.
func (f *Fleet) ruleUnsuited(m *member, req Request) Rule {
	switch {
	case m.draining():
		return RuleDraining
	case f.inEvacuatedHall(m):
		return RuleEvacuated
	case req.Allowed != nil && !req.Allowed(m.Version):
		return RuleVersion
	case req.Regions != nil && !slices.Contains(req.Regions, m.region):
		return RuleRegion
	case m.models != nil && req.Model != "" && !slices.Contains(m.models, req.Model):
		return RuleModel
	default:
		return ""
	}
}

// rulePostponing returns the rule by which an endpoint is chosen only if no other can be; empty if there
// is none.
func (m *member) rulePostponing(now clock.Instant) Rule {
	switch {
	case m.ejected(now):
		return RuleEjected
	case now.Before(m.health.fullUntil):
		return RuleFull
	default:
		return ""
	}
}

// ConfirmList records that the list of endpoints is known to be current.
func (f *Fleet) ConfirmList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listConfirmed = f.options.Now()
}
