package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"quaybarrow/internal/check"
	"quaybarrow/internal/entry"
	"quaybarrow/internal/job"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/standin/caller"
)

// Callers of the demonstration, by what they do.
const (
	buyers    = 8
	clerks    = 4
	sellers   = 4
	payers    = 2
	examiners = 1
)

// thinking is a caller's pause between two requests.
const thinking = 40 * time.Millisecond

// traffic starts the callers; the channel closes when all have stopped.
func (s *scene) traffic(ctx context.Context) <-chan struct{} {
	var wait sync.WaitGroup
	start := func(count int, f func(context.Context, int)) {
		for i := range count {
			wait.Go(func() {
				for ctx.Err() == nil {
					f(ctx, i)
					_ = pause(ctx, thinking/2+time.Duration(rand.Int64N(int64(thinking))))
				}
			})
		}
	}
	start(buyers, s.buy)
	start(clerks, s.converse)
	start(sellers, s.list)
	start(payers, s.pay)
	start(examiners, s.submit)
	done := make(chan struct{})
	go func() {
		wait.Wait()
		close(done)
	}()
	return done
}

// detached lets a request that was sent come to its end when the traffic stops.
func detached(ctx context.Context) context.Context { return context.WithoutCancel(ctx) }

// address picks a host as the balancer would.
func (s *scene) address() string {
	s.mu.Lock()
	stopped := append([]int(nil), s.stopped...)
	s.mu.Unlock()
	for {
		i := rand.IntN(len(s.cluster.Hosts))
		if len(stopped) == 0 || stopped[0] != i {
			return s.host(i).Callers()
		}
	}
}

// buy asks support questions, half of them streamed.
func (s *scene) buy(ctx context.Context, _ int) {
	kind, stream := check.KindPlain, rand.IntN(2) == 0
	if stream {
		kind = check.KindStream
	}
	s.caller.Chat(detached(ctx), caller.Ask{
		Address: s.address(), Key: keyOf("buyers"), Workspace: "buyers", Model: "support", Kind: kind, Stream: stream,
	})
}

// converse holds a session of a few turns, by token or by name.
func (s *scene) converse(ctx context.Context, _ int) {
	const turns = 5
	name := fmt.Sprintf("talk-%d", rand.Int64())
	model := []string{"support", "summary"}[rand.IntN(2)]
	named := rand.IntN(3) == 0
	token := ""
	for turn := range turns {
		a := caller.Ask{
			Address: s.address(), Key: keyOf("clerks"), Workspace: "clerks", Model: model, Kind: check.KindSession,
			Stream: turn%2 == 0, Session: name, System: "You help the clerks of the register. " + name,
		}
		if named {
			a.SessionName = name
		} else {
			a.SessionToken, a.NewSession = token, token == ""
		}
		r := s.caller.Chat(detached(ctx), a)
		if r.Code == problem.CodeSessionEnded || ctx.Err() != nil {
			return
		}
		if r.SessionToken != "" {
			token = r.SessionToken
		}
		_ = pause(ctx, thinking)
	}
}

// list drafts listings through a cascade.
func (s *scene) list(ctx context.Context, _ int) {
	s.caller.Chat(detached(ctx), caller.Ask{
		Address: s.address(), Key: keyOf("sellers"), Workspace: "sellers", Model: "listing", Kind: check.KindCascade,
		Stream: rand.IntN(2) == 0,
	})
}

// pay requests a payout, and again through another host while it is not sure
// that it ran, always with the same key.
func (s *scene) pay(ctx context.Context, _ int) {
	const tries = 6
	prompt := s.caller.Prompt("clerks", "payouts.pay")
	for range tries {
		r := s.caller.Serve(detached(ctx), caller.Ask{
			Address: s.address(), Key: keyOf("clerks"), Workspace: "clerks", Service: "payouts", Call: "pay",
			IdempotencyKey: prompt, Nonrepeatable: true, Prompt: prompt,
		})
		if r.Answered || ctx.Err() != nil {
			return
		}
		_ = pause(ctx, 500*time.Millisecond)
	}
}

// submit hands in a summary as a job.
func (s *scene) submit(ctx context.Context, _ int) {
	prompt := s.caller.Prompt("examiners", "summary")
	body := fmt.Sprintf(`{"request":{"model":"summary","messages":[{"role":"user","content":%q}]}}`, prompt)
	request, err := http.NewRequestWithContext(detached(ctx), http.MethodPost, "http://"+s.address()+"/v1/jobs", strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+keyOf("examiners"))
	response, err := s.cluster.Client().Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	var reply entry.JobReply
	if response.StatusCode == http.StatusAccepted && json.NewDecoder(response.Body).Decode(&reply) == nil {
		s.mu.Lock()
		s.jobs = append(s.jobs, reply.ID)
		s.mu.Unlock()
	}
	_ = pause(ctx, 150*time.Millisecond)
}

// settle waits until accepted jobs have ended and bills are written.
func (s *scene) settle(ctx context.Context) {
	until(ctx, settleWait, func() bool {
		if _, ended := s.jobCounts(); ended < s.accepted() {
			return false
		}
		for _, h := range s.cluster.Hosts {
			open, pending, _ := h.Daemon().Ledger.Size()
			if open+pending+h.Daemon().Guard.PendingUpdates() > 0 {
				return false
			}
		}
		return true
	})
}

func (s *scene) accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.jobs)
}

// jobCounts counts the jobs that ended well, and all that ended.
func (s *scene) jobCounts() (done, ended int) {
	for _, row := range s.cluster.Store.Rows(job.TableJobs) {
		j := decodeJob(row.Value)
		if j.State == job.StateDone {
			done++
		}
		if j.State == job.StateDone || j.State == job.StateFailed {
			ended++
		}
	}
	return done, ended
}
