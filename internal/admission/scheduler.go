package admission

import (
	"math"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/declare"
)

// Verdict is what becomes of a request that asks for a place.
type Verdict int

// Verdicts.
const (
	VerdictStart Verdict = iota
	VerdictWait
	VerdictRefuse
)

// queuedRequest is a request in the line.
type queuedRequest struct {
	id      int64
	request Request
}

// Scheduler is the state of admission: who is in flight and who waits. It reads no
// clock and takes no locks; Controller makes it safe for use at once.
type Scheduler struct {
	options           Options
	limit             limiter
	inFlight          int
	workspaceInFlight map[string]int // in flight, by workspace
	queue             []queuedRequest
	lastID            int64
	meanHeldSeconds   float64 // smoothed seconds that a request holds its place
}

// NewScheduler returns a line with nobody in it.
func NewScheduler(options Options) *Scheduler {
	return &Scheduler{options: options, limit: newLimiter(options.Limit), workspaceInFlight: map[string]int{}}
}

// Offer decides on a request. One that has to wait is named by the id.
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

// refusal tells why a request can't even wait.
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

// expectedWait estimates a newcomer's wait: its workspace gets one turn in as
// many as there are active workspaces, and those of its own that are ahead of it
// go first. A batch request goes behind all that are not.
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

// heldTimeWeight of the mean time that requests hold places.
const heldTimeWeight = 0.05

// Finish ends a request that held its place for a time, and returns the ids of
// those whose turn it is.
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

// StartMargin is how long before its deadline a request has to start: as long as first
// tokens take now, but no more than half of the time it has.
func (s *Scheduler) StartMargin(remaining time.Duration) time.Duration {
	return min(time.Duration(s.limit.meanSeconds*float64(time.Second)), remaining/2)
}

// Cancel takes a request out that waits no longer; false if it does not wait.
func (s *Scheduler) Cancel(id int64) bool {
	for i, w := range s.queue {
		if w.id == id {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Observe tells how long a first token took; the limit follows. It returns the
// ids of those whose turn it is.
func (s *Scheduler) Observe(kind Kind, firstToken time.Duration) []int64 {
	s.limit.observe(kind, firstToken, s.inFlight)
	return s.startQueued()
}

// startQueued starts waiting requests while there is room.
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

// InFlight counts requests with a place and requests that wait.
func (s *Scheduler) InFlight() (inFlight, waiting int) { return s.inFlight, len(s.queue) }

// Candidate is a waiting request as the decision sees it.
type Candidate struct {
	Priority declare.Priority
	InFlight int // its workspace's requests in flight
	Limit    int
}

func (s *Scheduler) candidates() []Candidate {
	queue := make([]Candidate, len(s.queue))
	for i, w := range s.queue {
		queue[i] = Candidate{Priority: w.request.Priority, InFlight: s.workspaceInFlight[w.request.Workspace], Limit: w.request.WorkspaceLimit}
	}
	return queue
}

// batchPenalty puts every batch request behind every interactive one; a part of
// a share is less than 1.
const batchPenalty = 2

// Next picks the request to start from a queue in order of arrival, or -1 if
// none may: higher priority first, then the workspace that uses the smallest
// part of its share, then the first come.
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
