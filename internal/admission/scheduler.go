package admission

import (
	"math"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/declare"
)

// Verdict is the outcome of offering a request to a Scheduler.
type Verdict int

// Possible verdicts: the request starts now, is queued or is refused.
const (
	VerdictStart Verdict = iota
	VerdictWait
	VerdictRefuse
)

// queuedRequest is a request in the queue.
type queuedRequest struct {
	id      int64
	request Request
}

// Scheduler holds the state of admission: the requests in flight and the queue. It reads no clock
// and takes no locks; Controller makes it safe for concurrent use.
type Scheduler struct {
	options           Options
	limit             limiter
	inFlight          int
	workspaceInFlight map[string]int  // requests in flight, by workspace
	queue             []queuedRequest // in order of arrival
	lastID            int64
	meanHeldSeconds   float64 // smoothed time that a request is in flight
}

// NewScheduler returns a scheduler with no requests.
func NewScheduler(options Options) *Scheduler {
	return &Scheduler{options: options, limit: newLimiter(options.Limit), workspaceInFlight: map[string]int{}}
}

// Offer starts, queues or refuses a request. If it is queued, the returned id identifies it.
func (s *Scheduler) Offer(request Request, now clock.Instant) (Verdict, int64, error) {
	if err := s.refusal(request, now); err != nil {
		return VerdictRefuse, 0, err
	}
	if s.inFlight < s.limit.current() && s.workspaceInFlight[request.Workspace] < request.WorkspaceLimit {
		s.start(request)
		return VerdictStart, 0, nil
	}
	s.lastID++
	s.queue = append(s.queue, queuedRequest{id: s.lastID, request: request})
	return VerdictWait, s.lastID, nil
}

// refusal returns the reason why a request may not even be queued, or nil.
func (s *Scheduler) refusal(request Request, now clock.Instant) error {
	queuedOfWorkspace := 0
	for _, w := range s.queue {
		if w.request.Workspace == request.Workspace {
			queuedOfWorkspace++
		}
	}
	switch {
	case len(s.queue) >= s.options.Queue:
		return ErrQueueFull
	case s.workspaceInFlight[request.Workspace] >= request.WorkspaceLimit && queuedOfWorkspace >= request.WorkspaceLimit:
		return ErrWorkspaceLimit
	case !request.Deadline.IsZero() && now.Add(s.expectedWait(request)).After(request.Deadline):
		return ErrDeadline
	default:
		return nil
	}
}

// expectedWait estimates how long a new request would wait in the queue. It assumes that the active
// workspaces start requests in rotation and that queued requests of the same workspace start before
// the new one. A batch request also waits for all interactive requests.
func (s *Scheduler) expectedWait(request Request) time.Duration {
	if s.inFlight < s.limit.current() {
		return 0
	}
	active := map[string]bool{request.Workspace: true}
	for w := range s.workspaceInFlight {
		active[w] = true
	}
	ownTurns, interactiveAhead := 1, 0
	for _, w := range s.queue {
		active[w.request.Workspace] = true
		interactive := w.request.Priority != declare.PriorityBatch
		switch {
		case w.request.Workspace == request.Workspace && (interactive || request.Priority == declare.PriorityBatch):
			ownTurns++
		case interactive && request.Priority == declare.PriorityBatch:
			interactiveAhead++
		}
	}
	turns := float64(ownTurns*len(active)+interactiveAhead) / float64(max(s.limit.current(), 1))
	return time.Duration(turns * s.meanHeldSeconds * float64(time.Second))
}

func (s *Scheduler) start(request Request) {
	s.inFlight++
	s.workspaceInFlight[request.Workspace]++
}

// heldTimeWeight is the weight of a new value in the mean time that requests are in flight.
const heldTimeWeight = 0.05

// Finish ends a request that was in flight for a time. It returns the ids of the queued requests
// that start now.
func (s *Scheduler) Finish(request Request, held time.Duration) []int64 {
	if s.meanHeldSeconds == 0 {
		s.meanHeldSeconds = held.Seconds()
	}
	s.meanHeldSeconds += (held.Seconds() - s.meanHeldSeconds) * heldTimeWeight
	s.inFlight--
	s.workspaceInFlight[request.Workspace]--
	if s.workspaceInFlight[request.Workspace] == 0 {
		delete(s.workspaceInFlight, request.Workspace)
	}
	return s.startQueued()
}

// StartMargin returns how long before its deadline a request has to start: the current mean time to
// the first token, but no more than half of its remaining time.
func (s *Scheduler) StartMargin(remaining time.Duration) time.Duration {
	return min(time.Duration(s.limit.meanSeconds*float64(time.Second)), remaining/2)
}

// Cancel removes a request from the queue and reports whether it was queued.
func (s *Scheduler) Cancel(id int64) bool {
	for i, w := range s.queue {
		if w.id == id {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Observe records a time to the first token and adapts the limit to it. It returns the ids of the
// queued requests that start now.
func (s *Scheduler) Observe(kind Kind, firstToken time.Duration) []int64 {
	s.limit.observe(kind, firstToken, s.inFlight)
	return s.startQueued()
}

// startQueued starts queued requests while the limit allows it, and returns their ids.
func (s *Scheduler) startQueued() []int64 {
	var started []int64
	for s.inFlight < s.limit.current() {
		i := Next(s.candidates())
		if i < 0 {
			break
		}
		w := s.queue[i]
		s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
		s.start(w.request)
		started = append(started, w.id)
	}
	return started
}

// InFlight returns the numbers of requests in flight and in the queue.
func (s *Scheduler) InFlight() (inFlight, waiting int) { return s.inFlight, len(s.queue) }

// Candidate is a queued request with the data that Next decides on.
type Candidate struct {
	Priority declare.Priority
	InFlight int // requests of its workspace in flight
	Limit    int // most requests of its workspace in flight
}

func (s *Scheduler) candidates() []Candidate {
	queue := make([]Candidate, len(s.queue))
	for i, w := range s.queue {
		queue[i] = Candidate{Priority: w.request.Priority, InFlight: s.workspaceInFlight[w.request.Workspace], Limit: w.request.WorkspaceLimit}
	}
	return queue
}

// batchPenalty ranks every batch request after every interactive one: the used fraction of a
// workspace's limit, which Next ranks by, is less than 1.
const batchPenalty = 2

// Next returns the index of the request to start from a queue in order of arrival, or -1 if none
// may start: highest priority first, then the workspace that uses the smallest fraction of its
// limit, then the earliest arrival.
func Next(candidates []Candidate) int {
	best, bestRank := -1, math.Inf(1)
	for i, q := range candidates {
		if q.InFlight >= q.Limit {
			continue
		}
		rank := float64(q.InFlight) / float64(q.Limit)
		if q.Priority == declare.PriorityBatch {
			rank += batchPenalty
		}
		if rank < bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}
