package gatewayd

import (
	"encoding/json"
	"net/http"
	"time"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/gateway"
)

// PathWhere is the path at a host's control address that shows where a request would go now, and why.
const PathWhere = "/where"

// Decisions on a request, as a WhereView shows them.
const (
	WhereSend       = "send"
	WhereBehind     = "behind" // sent behind all requests that can be in time
	WhereWait       = "wait"
	WhereRefuse     = "refuse"
	WherePaused     = "paused"
	WhereNoEndpoint = "no endpoint"
)

// whereNote is the note of each WhereView.
const whereNote = "this answer is based on this host's own knowledge; another host, or this one a moment later, may decide otherwise"

// WhereView is the operators' view of where a request would go now, as one host knows it.
type WhereView struct {
	Host     string `json:"host"`
	Service  string `json:"service"`
	Model    string `json:"model,omitempty"`
	Decision string `json:"decision"`
	// Endpoint is the endpoint to which the request would be sent; empty if it would not be sent.
	Endpoint string `json:"endpoint,omitempty"`
	// WaitMs is the time after which the request would be decided on again, or until there should be room;
	// 0 if that is not known.
	WaitMs  float64 `json:"wait_ms,omitempty"`
	Urgency int     `json:"urgency"` // with which it would be sent; -1 if not stated
	// Expected is what is expected of the response of the best endpoint; nil for a request without a prompt.
	Expected *WhereExpected `json:"expected,omitempty"`
	// Adviser is the address of the host that would decide; empty if this host decides alone.
	Adviser string `json:"adviser,omitempty"`
	Note    string `json:"note"`
	// Endpoints are the best ones, the best first.
	Endpoints  []WhereEndpoint    `json:"endpoints"`
	PassedOver map[fleet.Rule]int `json:"passed_over"` // endpoints by the rule that passes over them, all rules
	Listed     int                `json:"listed"`      // endpoints of the service
	// Sampled means that a request would score only some of them and may go to another good one.
	Sampled       bool  `json:"sampled"`
	ListAgeMs     int64 `json:"list_age_ms"` // since the list was last known to be current; -1 if it was not read
	ConfigVersion int64 `json:"config_version"`
	ConfigAgeMs   int64 `json:"config_age_ms"`
}

// WhereExpected is what is expected of a response.
type WhereExpected struct {
	HeadMs  float64 `json:"head_ms"`  // until it begins
	QueueMs float64 `json:"queue_ms"` // part of it: the wait for other requests
	InTime  float64 `json:"in_time"`  // probability that it begins within the objective
}

// WhereEndpoint is an endpoint with its score for a request.
type WhereEndpoint struct {
	ID            string     `json:"id"`
	Hall          string     `json:"hall"`
	Version       string     `json:"version"`
	Score         WhereScore `json:"score"`
	KeptTokens    int        `json:"kept_tokens"`    // tokens of the prompt that it is expected to have kept
	PrefillTokens int        `json:"prefill_tokens"` // tokens of the prompt that it is expected to read
	Slots         int        `json:"slots"`
	Load          float64    `json:"load"`          // part of the slots in use
	ReportAgeMs   int64      `json:"report_age_ms"` // of its latest load report; -1 if there is none
}

// WhereScore is a score by its terms, which add up to Sum; the lowest is chosen. Of requests with a prompt
// they are in seconds, of others in loads: 1 is the cost of full slots.
type WhereScore struct {
	Sum     float64 `json:"sum"`
	Queue   float64 `json:"queue"`
	Prefill float64 `json:"prefill"`
	Load    float64 `json:"load"`
	Hall    float64 `json:"hall"`
	Reread  float64 `json:"reread"`
	Tier    float64 `json:"tier"`
	Busy    float64 `json:"busy"`
	Pace    float64 `json:"pace"`
}

// serveWhere answers with the WhereView of the request that the query describes.
func (h *Host) serveWhere(w http.ResponseWriter, r *http.Request) {
	table := h.Holder.Table()
	if table == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	q, err := parseWhere(r.URL.RawQuery, table)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	view := whereView(h.Gateway.Where(q), q)
	view.Host, view.ConfigVersion = h.Settings.Host, table.Version()
	if age, ok := h.Holder.Age(); ok {
		view.ConfigAgeMs = age.Milliseconds()
	}
	if len(q.Parts) > 0 {
		view.Adviser, _ = h.Advice.HostToAsk()
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(view); err != nil {
		h.Logger.Debug("writing the view of a placement failed", "error", err)
	}
}

// whereView returns the view of a placement.
func whereView(p fleet.Placement, q gateway.Inquiry) WhereView {
	v := WhereView{
		Service: q.Service, Model: q.Model, Endpoint: p.Endpoint, Urgency: p.Urgency, Note: whereNote,
		Endpoints: []WhereEndpoint{}, PassedOver: map[fleet.Rule]int{}, Listed: p.Listed, Sampled: p.Sampled, ListAgeMs: -1,
	}
	v.Decision, v.WaitMs = decisionView(p)
	if len(q.Parts) > 0 && p.Expected.Head > 0 {
		v.Expected = &WhereExpected{HeadMs: milliseconds(p.Expected.Head), QueueMs: milliseconds(p.Expected.Queue), InTime: p.Expected.InTime(q.Objective)}
	}
	if p.ListKnown {
		v.ListAgeMs = p.ListAge.Milliseconds()
	}
	for _, rule := range fleet.Rules() {
		v.PassedOver[rule] = p.PassedOver[rule]
	}
	for _, e := range p.Best {
		v.Endpoints = append(v.Endpoints, whereEndpoint(e))
	}
	return v
}

// decisionView returns the decision of a placement and the time after which there is another.
func decisionView(p fleet.Placement) (decision string, waitMs float64) {
	switch d := p.Decision.(type) {
	case admission.Wait:
		return WhereWait, milliseconds(d.For)
	case admission.Refuse:
		return WhereRefuse, milliseconds(d.After)
	case admission.Paused:
		return WherePaused, milliseconds(d.For)
	case admission.Behind:
		return WhereBehind, 0
	}
	if p.Endpoint == "" {
		return WhereNoEndpoint, 0
	}
	return WhereSend, 0
}

func whereEndpoint(e fleet.ScoredEndpoint) WhereEndpoint {
	s := e.Score
	v := WhereEndpoint{
		ID: e.ID, Hall: e.Hall, Version: e.Version, KeptTokens: e.KeptTokens, PrefillTokens: e.PrefillTokens, Slots: e.Slots, Load: e.Load, ReportAgeMs: -1,
		Score: WhereScore{Sum: s.Sum(), Queue: s.Queue, Prefill: s.Prefill, Load: s.Load, Hall: s.Hall, Reread: s.Reread, Tier: s.Tier, Busy: s.Busy, Pace: s.Pace},
	}
	if e.Reported {
		v.ReportAgeMs = e.ReportAge.Milliseconds()
	}
	return v
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
