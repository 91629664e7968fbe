package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"quaybarrow/internal/chat"
	"quaybarrow/internal/declare"
)

// maxBodyBytes bounds a request.
const maxBodyBytes = 8 << 20

// work is one accepted request.
type work struct {
	request chat.Request
	ref     declare.Ref
	run     Run
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	item, status, reason := e.accept(r)
	if status != http.StatusOK {
		refuse(w, status, reason)
		return
	}
	if err := e.acquire(r.Context(), r.Header.Get(chat.HeaderPriority)); err != nil {
		refuse(w, http.StatusTooManyRequests, err.Error())
		return
	}
	if e.isHung() {
		e.begin(item.run)
		<-r.Context().Done()
		e.release()
		return
	}
	e.begin(item.run)
	if e.options.OnCrash != nil && item.run.Crashes {
		time.Sleep(crashAfter)
		e.options.OnCrash()
		e.release()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(chat.HeaderRequestID, e.echo(item.run))
	w.Header().Set(chat.HeaderAttempt, item.run.AttemptID)
	if e.profile(item.ref).Fails {
		e.release()
		http.Error(w, "the version failed", http.StatusInternalServerError)
		return
	}
	s := e.start(r, item)
	if item.request.Stream {
		e.relay(w, r, s, 0)
		return
	}
	e.whole(w, r, s)
}

// accept checks a request before any work on it.
func (e *Engine) accept(r *http.Request) (work, int, string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return work{}, http.StatusBadRequest, err.Error()
	}
	request, err := chat.ParseRequest(body)
	if err != nil {
		return work{}, http.StatusBadRequest, err.Error()
	}
	ref := declare.ParseRef(request.Model)
	e.mu.Lock()
	_, loaded := e.versions[ref]
	draining := e.draining
	e.mu.Unlock()
	if draining {
		return work{}, http.StatusServiceUnavailable, "draining"
	}
	if !loaded {
		return work{}, http.StatusNotFound, "version is not loaded"
	}
	run := Run{
		RequestID: r.Header.Get(chat.HeaderRequestID),
		AttemptID: r.Header.Get(chat.HeaderAttempt),
		Version:   ref,
		Prompt:    promptOf(request),
		Crashes:   slices.ContainsFunc(request.Messages, func(m chat.Message) bool { return strings.Contains(string(m.Content), Crashing) }),
		Started:   time.Now(),
	}
	return work{request: request, ref: ref, run: run}, http.StatusOK, ""
}

// refuse answers a request on which no work was done.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(chat.HeaderRun, chat.NotRun)
	http.Error(w, reason, status)
}

func (e *Engine) isHung() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hung
}

func (e *Engine) profile(ref declare.Ref) Profile {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[ref]
}

// promptOf is the text of the last message.
func promptOf(r chat.Request) string {
	if len(r.Messages) == 0 {
		return ""
	}
	var text string
	last := r.Messages[len(r.Messages)-1]
	if err := json.Unmarshal(last.Content, &text); err != nil {
		return string(last.Content)
	}
	return text
}

// start begins to generate the answer in a stream of its own.
func (e *Engine) start(r *http.Request, item work) *stream {
	tokens := item.request.MaxTokens
	if tokens <= 0 {
		tokens = e.options.Answer
	}
	prompt := 0
	for _, m := range item.request.Messages {
		prompt += len(m.Content)/4 + 1
	}
	ctx, cancel := context.WithCancel(r.Context())
	if r.Header.Get(chat.HeaderResumable) != "" {
		ctx, cancel = context.WithCancel(context.WithoutCancel(r.Context()))
	}
	s := newStream(item, tokens, prompt, cancel)
	e.mu.Lock()
	e.streams[item.run.AttemptID] = s
	e.mu.Unlock()
	go e.generate(ctx, s)
	return s
}

// whole answers without streaming.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, s *stream) {
	if !s.wait(r.Context(), s.total) {
		return
	}
	if e.cutsAt() > 0 {
		panic(http.ErrAbortHandler)
	}
	stop := "stop"
	text := ""
	for i := range s.total {
		text += s.token(i)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(chat.HeaderConfidence, strconv.FormatFloat(e.confidence(s), 'f', 3, 64))
	_ = json.NewEncoder(w).Encode(chat.Completion{
		ID: s.work.run.RequestID, Object: chat.ObjectCompletion, Model: s.work.ref.String(),
		Choices: []chat.Choice{{Message: &chat.Message{Role: "assistant", Content: chat.Text(text)}, FinishReason: &stop}},
		Usage:   s.usage(),
	})
}

// confidence is what the engine says of its own answer: high for good ones, with
// some noise.
func (e *Engine) confidence(s *stream) float64 {
	if e.Good(s.work.run) {
		return 0.9
	}
	return 0.3
}

// Good reports whether an answer is a good one: a fixed draw for each request
// and version, with the version's quality as its chance.
func (e *Engine) Good(r Run) bool {
	draw := float64(xxhash.Sum64String(r.RequestID+"\x00"+r.Version.String())>>11) / (1 << 53)
	return draw < e.profile(r.Version).Quality
}

func (e *Engine) cutsAt() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.breakAt
}

// relay streams tokens from the given one on.
func (e *Engine) relay(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	for i := from; i < s.total; i++ {
		if !s.wait(r.Context(), i+1) {
			return
		}
		if cut := e.cutsAt(); cut > 0 && i >= cut && from == 0 {
			panic(http.ErrAbortHandler)
		}
		writeEvent(w, i, s.chunk(i))
		flusher.Flush()
	}
	if from <= s.total {
		writeEvent(w, s.total, s.last())
	}
	if s.work.request.WantsUsage() && from <= s.total+1 {
		writeEvent(w, s.total+1, s.usageChunk())
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", chat.Done)
	flusher.Flush()
}

func writeEvent(w io.Writer, id int, chunk chat.Completion) {
	data, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
}

// closingEvents follow the tokens of a stream: its finish and its usage.
const closingEvents = 2

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	s := e.streamOf(mux.Vars(r)["attempt"])
	if s == nil {
		refuse(w, http.StatusNotFound, "no such stream")
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 || from > s.total+closingEvents {
		refuse(w, http.StatusBadRequest, "from must be an event's number")
		return
	}
	w.Header().Set(chat.HeaderRequestID, s.work.run.RequestID)
	w.Header().Set(chat.HeaderAttempt, s.work.run.AttemptID)
	e.relay(w, r, s, from)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if s := e.streamOf(mux.Vars(r)["attempt"]); s != nil {
		s.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) streamOf(attempt string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[attempt]
}
