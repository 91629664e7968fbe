package gatewayd

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"quaybarrow/internal/quarantine"
)

// PathQuarantine is the path at a host's control address that shows the requests that crash endpoints;
// a POST to PathRelease releases one from quarantine.
const (
	PathQuarantine = "/quarantine"
	PathRelease    = PathQuarantine + "/{request}/release"
)

// QuarantineView is the operators' view of the requests that crash endpoints, as one host knows them.
type QuarantineView struct {
	Host     string              `json:"host"`
	Requests []QuarantineRequest `json:"requests"` // sorted by last crash, the latest first
}

// QuarantineRequest is a request that is in quarantine, or may be after another crash.
type QuarantineRequest struct {
	Request     quarantine.Fingerprint `json:"request"` // its fingerprint
	Label       string                 `json:"of"`      // workspace and route
	Quarantined bool                   `json:"quarantined"`
	Crashes     int                    `json:"crashes"` // of endpoints that ran it, since it last succeeded
	Chance      float64                `json:"chance"`  // probability that it ran during these crashes by chance
	FirstMsAgo  int64                  `json:"first_ms_ago"`
	LastMsAgo   int64                  `json:"last_ms_ago"`
}

// serveQuarantine answers with the QuarantineView.
func (h *Host) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	view := QuarantineView{Host: h.Settings.Host, Requests: []QuarantineRequest{}}
	for _, l := range h.Quarantine.List() {
		view.Requests = append(view.Requests, QuarantineRequest{
			Request: l.Request, Label: l.Label, Quarantined: l.Quarantined, Crashes: l.Crashes, Chance: l.Chance,
			FirstMsAgo: l.First.Milliseconds(), LastMsAgo: l.Last.Milliseconds(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(view); err != nil {
		h.Logger.Debug("writing the quarantine view failed", "error", err)
	}
}

// release releases a request from quarantine, on all hosts.
func (h *Host) release(w http.ResponseWriter, r *http.Request) {
	var f quarantine.Fingerprint
	if err := f.UnmarshalText([]byte(mux.Vars(r)["request"])); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !h.Quarantine.Release(f) {
		http.Error(w, "no such request is in quarantine", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
