package gatewayd

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"quaybarrow/internal/quarantine"
)

// PathQuarantine is where a host tells at its control address which requests it knows that
// endpoints crash under; a POST to PathRelease below it lets one out.
const (
	PathQuarantine = "/quarantine"
	PathRelease    = PathQuarantine + "/{request}/release"
)

// QuarantineView is what a host knows of requests that endpoints crash under, for operators.
type QuarantineView struct {
	Host     string              `json:"host"`
	Requests []QuarantineRequest `json:"requests"` // the latest crash first
}

// QuarantineRequest is a request in quarantine, or one that a crash more may bring there.
type QuarantineRequest struct {
	Request     quarantine.Fingerprint `json:"request"` // its fingerprint
	Of          string                 `json:"of"`      // workspace and route
	Quarantined bool                   `json:"quarantined"`
	Crashes     int                    `json:"crashes"` // of endpoints that ran it, since it last came to a good end
	Chance      float64                `json:"chance"`  // that it was beside them by chance
	FirstMsAgo  int64                  `json:"first_ms_ago"`
	LastMsAgo   int64                  `json:"last_ms_ago"`
}

// viewQuarantine answers with the requests that endpoints crash under.
func (h *Host) viewQuarantine(w http.ResponseWriter, _ *http.Request) {
	view := QuarantineView{Host: h.Settings.Host, Requests: []QuarantineRequest{}}
	for _, l := range h.Quarantine.List() {
		view.Requests = append(view.Requests, QuarantineRequest{
			Request: l.Request, Of: l.Label, Quarantined: l.Quarantined, Crashes: l.Crashes, Chance: l.Chance,
			FirstMsAgo: l.First.Milliseconds(), LastMsAgo: l.Last.Milliseconds(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(view); err != nil {
		h.Logger.Debug("view of the quarantine not written", "error", err)
	}
}

// release lets a request out of quarantine, on all hosts.
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
