package engine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"quaybarrow/internal/chat"
	"quaybarrow/internal/clock"
)

// keepStream is how long a finished stream can still be resumed.
const keepStream = 30 * time.Second

// stream is an answer being generated.
type stream struct {
	work   work
	total  int // tokens of the whole answer
	prompt int // tokens of the prompt
	cancel context.CancelFunc

	mu    sync.Mutex
	ready int           // tokens generated; guarded by mu
	ended bool          // no more will come; guarded by mu
	wake  chan struct{} // closed and replaced at each change; guarded by mu
}

func newStream(item work, total, prompt int, cancel context.CancelFunc) *stream {
	return &stream{work: item, total: total, prompt: prompt, cancel: cancel, wake: make(chan struct{})}
}

// advance makes one more token ready, or ends the stream.
func (s *stream) advance(ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ended {
		s.ended = true
	} else {
		s.ready++
	}
	close(s.wake)
	s.wake = make(chan struct{})
}

// wait blocks until a count of tokens is ready; false if it never will be.
func (s *stream) wait(ctx context.Context, count int) bool {
	for {
		s.mu.Lock()
		ready, ended, wake := s.ready, s.ended, s.wake
		s.mu.Unlock()
		if ready >= count {
			return true
		}
		if ended {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-wake:
		}
	}
}

// token is the text of one token. The first names the prompt, so that an
// answer given to the wrong caller shows.
func (s *stream) token(i int) string {
	if i == 0 {
		return "re: " + s.work.run.Prompt
	}
	return fmt.Sprintf(" t%d", i)
}

func (s *stream) chunk(i int) chat.Completion {
	return chat.Completion{
		ID: s.work.run.RequestID, Object: chat.ObjectChunk, Model: s.work.ref.String(),
		Choices: []chat.Choice{{Delta: &chat.Message{Role: "assistant", Content: chat.Text(s.token(i))}}},
	}
}

// last is the chunk that ends the answer.
func (s *stream) last() chat.Completion {
	stop := "stop"
	return chat.Completion{
		ID: s.work.run.RequestID, Object: chat.ObjectChunk, Model: s.work.ref.String(),
		Choices: []chat.Choice{{Delta: &chat.Message{}, FinishReason: &stop}},
	}
}

// usageChunk is the chunk after the last, for those who asked for it.
func (s *stream) usageChunk() chat.Completion {
	return chat.Completion{
		ID: s.work.run.RequestID, Object: chat.ObjectChunk, Model: s.work.ref.String(),
		Choices: []chat.Choice{}, Usage: s.usage(),
	}
}

func (s *stream) usage() *chat.Usage {
	return &chat.Usage{PromptTokens: s.prompt, CompletionTokens: s.total, TotalTokens: s.prompt + s.total}
}

// generate makes the answer's tokens, one token time apart.
func (e *Engine) generate(ctx context.Context, s *stream) {
	defer s.cancel()
	defer e.release()
	attempt := s.work.run.AttemptID
	cached := e.touchPrefix(s.work.request)
	if !clock.Sleep(ctx, time.Duration(max(s.prompt-cached, 0))*e.options.Prefill) {
		e.stop(s, attempt)
		return
	}
	for i := range s.total {
		if !clock.Sleep(ctx, e.tokenTime()) {
			e.stop(s, attempt)
			return
		}
		e.update(attempt, func(r *Run) {
			r.Tokens++
			if i == 0 {
				r.First = time.Now()
			}
		})
		if i == s.total-1 {
			e.finish(attempt)
		}
		s.advance(false)
	}
	s.advance(true)
	time.AfterFunc(keepStream, func() { e.forget(attempt) })
}

// stop ends a stream whose client left.
func (e *Engine) stop(s *stream, attempt string) {
	e.update(attempt, func(r *Run) { r.Cancelled = true })
	s.advance(true)
	e.forget(attempt)
}

func (e *Engine) forget(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, attempt)
}
