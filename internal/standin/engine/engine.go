// Package engine is the project's stand-in for a model engine that batches
// continuously. It speaks the chat completions API and keeps its own record of
// what ran, so that the router's promises can be checked from outside it.
//
// # Usage
//
//	e := engine.New(engine.Options{ID: "w1", Versions: profiles, Slots: 8})
//	http.Serve(listener, e.Handler())
//	...
//	for _, run := range e.Runs() { ... }
//
// The stand-in models what the router reacts to: token times that grow with
// the batch, priorities in the queue, a prefix cache in limited memory whose
// events come late and with gaps, load reports that lag, streams that resume
// and cancel, and orders fenced by an epoch.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"quaybarrow/internal/declare"
)

// Profile is what is true of a version, which the router has to find out.
type Profile struct {
	Quality float64 // mean of its ratings, 0 to 1
	Fails   bool    // answers every request with an error
}

// Options set an engine's size and faults.
type Options struct {
	ID       string
	Versions map[declare.Ref]Profile
	Slots    int           // requests decoded at once
	Queue    int           // requests that may wait; more are refused
	Prefill  time.Duration // per prompt token that is not cached
	Token    time.Duration // between tokens of an idle engine
	Answer   int           // tokens of an answer when the caller sets no limit
	LoadLag  time.Duration // age of what the load report says
	Cache    int           // prompt tokens the prefix cache holds
	LoadTime time.Duration // to load a version
	// EventGap drops every nth cache event; 0 drops none.
	EventGap int
	// OnFinish is called with each finished run, for the rating stand-in.
	OnFinish func(Run)
	// OnCrash is called where the engine crashes; it does so under each prompt that has the
	// word Crashing in it. Nil for an engine that does not.
	OnCrash func()
}

// withDefaults fills in what is zero.
func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.Queue == 0 {
		o.Queue = 64
	}
	if o.Answer == 0 {
		o.Answer = 12
	}
	if o.Cache == 0 {
		o.Cache = 1 << 16
	}
	return o
}

// Crashing is the word in prompts under which engines crash, and crashAfter when they do.
const (
	Crashing   = "crashing"
	crashAfter = 60 * time.Millisecond
)

// Run is the engine's record of one dispatch.
type Run struct {
	RequestID string      `json:"request_id"`
	AttemptID string      `json:"attempt_id"`
	Version   declare.Ref `json:"version"`
	Session   string      `json:"session,omitempty"`
	Prompt    string      `json:"prompt"`            // text of the last message
	Crashes   bool        `json:"crashes,omitempty"` // a message has the word Crashing
	Tokens    int         `json:"tokens"`
	Started   time.Time   `json:"started"`
	First     time.Time   `json:"first"` // when its first token was ready
	Finished  bool        `json:"finished"`
	Cancelled bool        `json:"cancelled"`
}

// Engine is the stand-in.
type Engine struct {
	options Options

	mu       sync.Mutex // guards all below
	versions map[declare.Ref]Profile
	running  int
	queue    waiters
	draining bool
	epoch    int64
	runs     []Run
	byID     map[string]int // attempt id to index in runs
	streams  map[string]*stream
	report   Load
	cache    prefixCache
	breakAt  int  // cut the next answers after this many tokens; 0 is off
	hung     bool // accept requests and never answer
	mixes    bool // echo another request's id
}

// New returns an engine.
func New(options Options) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options:  options,
		versions: map[declare.Ref]Profile{},
		byID:     map[string]int{},
		streams:  map[string]*stream{},
		cache:    newPrefixCache(options.Cache, options.EventGap),
	}
	for ref, p := range options.Versions {
		e.versions[ref] = p
	}
	return e
}

// Handler serves the engine's API.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.serveCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{attempt}", e.serveResume).Methods(http.MethodGet)
	r.HandleFunc("/v1/streams/{attempt}", e.serveCancel).Methods(http.MethodDelete)
	r.HandleFunc("/v1/load", e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache/events", e.serveEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", e.serveOrder).Methods(http.MethodPost)
	return r
}

// Runs returns a copy of the record.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// SetProfile changes what is true of a version, such as when it turns bad.
func (e *Engine) SetProfile(ref declare.Ref, p Profile) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[ref] = p
}

// SetDraining makes the engine refuse new work, as one that leaves does.
func (e *Engine) SetDraining(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = on
}

// BreakAfter cuts the connection of each answer after a count of tokens; 0
// stops doing so.
func (e *Engine) BreakAfter(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breakAt = tokens
}

// SetHung makes the engine accept requests and never answer them.
func (e *Engine) SetHung(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hung = on
}

// SetMixing makes the engine answer as if for another request.
func (e *Engine) SetMixing(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mixes = on
}

// echo is the request id that the engine says it answers.
func (e *Engine) echo(r Run) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mixes {
		return "another-" + r.RequestID
	}
	return r.RequestID
}

// begin records a dispatch before any work is done on it.
func (e *Engine) begin(run Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byID[run.AttemptID] = len(e.runs)
	e.runs = append(e.runs, run)
}

// update changes the record of a dispatch.
func (e *Engine) update(attempt string, change func(*Run)) Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	index, ok := e.byID[attempt]
	if !ok {
		return Run{}
	}
	change(&e.runs[index])
	return e.runs[index]
}

// finish marks a dispatch as whole and tells the rating stand-in.
func (e *Engine) finish(attempt string) {
	run := e.update(attempt, func(r *Run) { r.Finished = true })
	if e.options.OnFinish != nil {
		e.options.OnFinish(run)
	}
}

// tokenTime is the time between tokens at the present batch.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	share := float64(e.running) / float64(e.options.Slots)
	return time.Duration(float64(e.options.Token) * (1 + share))
}
