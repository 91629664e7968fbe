package soak

import (
	"fmt"
	"regexp"
	"strings"
	"sync"
	"time"

	"quaybarrow/platform/standin"
)

// Kinds of requests that callers send.
const (
	pathOnce   = "/once/"
	pathAgain  = "/again/"
	pathStream = "/stream/"
	// streamEvents is how many events a whole stream has.
	streamEvents = 8
)

// outcome is how a request went, as its caller saw it.
type outcome struct {
	id, path string
	answer   standin.Response
	crashes  bool // endpoints crash under it
}

// history records what callers saw and judges it; safe for use at once.
type history struct {
	mu         sync.Mutex // guards all below
	outcomes   []outcome
	judging    bool
	judged     int
	served     int
	versions   map[string]seenVersion // by host and process
	violations []string
	broken     []string // ids of the requests whose promises were broken
}

// seenVersion is the newest configuration that a process has shown.
type seenVersion struct {
	version int
	at      time.Time
}

func newHistory() *history { return &history{versions: map[string]seenVersion{}} }

func (h *history) violate(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// violateOf notes a broken promise of a request.
func (h *history) violateOf(o outcome, format string, args ...any) {
	h.broken = append(h.broken, o.id)
	h.violate("%s%s: %s", o.path, o.id, fmt.Sprintf(format, args...))
}

// startJudging makes the requests from now on count for the served part.
func (h *history) startJudging() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.judging = true
}

// add records a request's outcome and checks what can be checked at once.
func (h *history) add(o outcome, sentWhileJudging bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes = append(h.outcomes, o)
	if !o.crashes && strings.Contains(o.answer.Body, "quarantined") {
		h.violateOf(o, "taken for a request under which endpoints crash")
	}
	good := o.answer.Status == 200 && o.answer.Err == nil
	if sentWhileJudging {
		h.judged++
		if good {
			h.served++
		}
	}
	if good {
		h.checkAnswer(o)
	}
}

// eventIDs finds the ids of a stream's events.
var eventIDs = regexp.MustCompile(`(?m)^id: (\d+)$`)

// checkAnswer checks that a good answer is whole and the request's own.
func (h *history) checkAnswer(o outcome) {
	if o.answer.SealedBy() == "" {
		h.violateOf(o, "a success without an endpoint's seal")
	}
	if o.path != pathStream {
		if o.answer.Body != bodyOf(o.id) {
			h.violateOf(o, "the body is %q", o.answer.Body)
		}
		return
	}
	ids := eventIDs.FindAllStringSubmatch(o.answer.Body, -1)
	for i, id := range ids {
		if id[1] != fmt.Sprint(i+1) {
			h.violateOf(o, "event %d has id %s", i+1, id[1])
			return
		}
	}
	if len(ids) != streamEvents {
		h.violateOf(o, "a whole stream of %d events", len(ids))
	}
}

// bodyOf is the body that endpoints answer a request with.
func bodyOf(id string) string { return "answer to " + id }

// revertSlack is how long after a newer configuration showed an older one may
// still be seen, since requests overtake one another.
const revertSlack = 250 * time.Millisecond

// showVersion records that a process served a path of a configuration's version.
func (h *history) showVersion(process string, version int, sent, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := h.versions[process]
	if version < seen.version && sent.After(seen.at.Add(revertSlack)) {
		h.violate("%s served configuration %d after %d", process, version, seen.version)
	}
	if version > seen.version {
		h.versions[process] = seenVersion{version: version, at: now}
	}
}

// report judges the whole run; runs counts how often endpoints got each id.
func (h *history) report(runs map[string]int) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Result{Requests: len(h.outcomes)}
	for _, o := range h.outcomes {
		n := runs[o.id]
		switch {
		case o.answer.Status == 200 && o.answer.Err == nil:
			r.Served++
			if n == 0 {
				h.violateOf(o, "answered although no endpoint ran it")
			}
		case o.answer.Status == 503 || o.answer.Status == 429:
			r.Refused++
			if n > 0 {
				h.violateOf(o, "told that it did not run, and it ran")
			}
		default:
			r.Failed++
		}
		if o.path == pathOnce && n > 1 {
			h.violateOf(o, "ran %d times", n)
		}
	}
	if float64(h.served) < servedLeast*float64(h.judged) || h.judged == 0 {
		h.violate("%d of %d requests were served after all faults had ended", h.served, h.judged)
	}
	r.Violations = h.violations
	return r
}
