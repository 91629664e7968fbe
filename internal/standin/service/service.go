// Package service is the project's stand-in for a plain service, such as
// orders and payouts. It records every call that ran.
//
// # Usage
//
//	s := service.New("payouts")
//	http.Serve(listener, s.Handler())
//	...
//	runs := s.Runs()
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"quaybarrow/internal/chat"
)

// maxBodyBytes bounds a request.
const maxBodyBytes = 1 << 20

// Run is the record of one call.
type Run struct {
	Call      string `json:"call"`
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	Body      string `json:"body"`
}

// Reply is what the service answers.
type Reply struct {
	Service string `json:"service"`
	Call    string `json:"call"`
	Number  int    `json:"number"` // counts the calls that ran
	Echo    string `json:"echo"`
}

// Service is the stand-in.
type Service struct {
	name  string
	delay time.Duration

	mu   sync.Mutex // guards runs, cut and lies
	runs []Run
	cut  int // break this many next calls after running them
	lies int // refuse this many next calls as not run, after running them
}

// New returns a service that answers after a delay.
func New(name string, delay time.Duration) *Service {
	return &Service{name: name, delay: delay}
}

// Handler serves the service's calls at /{call}.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/{call}", s.serveCall)
	return r
}

// Runs returns a copy of the record.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// CutReplies breaks the connection of the next calls after they ran.
func (s *Service) CutReplies(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = count
}

// Lie makes the service run the next calls and say that it did not: a broken
// endpoint, with which the promise checker is itself checked.
func (s *Service) Lie(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lies = count
}

// lying reports whether to lie about a call, once for each asked for.
func (s *Service) lying() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lies == 0 {
		return false
	}
	s.lies--
	return true
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run := Run{
		Call:      mux.Vars(r)["call"],
		RequestID: r.Header.Get(chat.HeaderRequestID),
		AttemptID: r.Header.Get(chat.HeaderAttempt),
		Body:      string(body),
	}
	number, cut := s.record(run)
	if s.delay > 0 {
		time.Sleep(s.delay)
	}
	if cut {
		panic(http.ErrAbortHandler)
	}
	if s.lying() {
		w.Header().Set(chat.HeaderRun, chat.NotRun)
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(chat.HeaderRequestID, run.RequestID)
	w.Header().Set(chat.HeaderAttempt, run.AttemptID)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Reply{Service: s.name, Call: run.Call, Number: number, Echo: run.Body})
}

func (s *Service) record(run Run) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
	if s.cut > 0 {
		s.cut--
		return len(s.runs), true
	}
	return len(s.runs), false
}
