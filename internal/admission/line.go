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
func (l *Scheduler) Offer(request Request, now clock.Instant) (Verdict, int64, error) {
	if err := l.refusal(request, now); err != nil {
		return VerdictRefuse, 0, err
	}
	if l.inFlight < l.limit.current() && l.workspaceInFlight[request.Workspace] < request.WorkspaceLimit {
		l.start(request)
		return VerdictStart, 0, nil
	}
	l.lastID++
	l.queue = append(l.queue, queuedRequest{id: l.lastID, request: request})
	return VerdictWait, l.lastID, nil
}

// refusal tells why a request can't even wait.
func (l *Scheduler) refusal(request Request, now clock.Instant) error {
	queuedOfWorkspace := 0
	for _, w := range l.queue {
		if w.request.Workspace == request.Workspace {
			queuedOfWorkspace++
		}
	}
	switch {
	case len(l.queue) >= l.options.Queue:
		return ErrQueue
	case l.workspaceInFlight[request.Workspace] >= request.WorkspaceLimit && queuedOfWorkspace >= request.WorkspaceLimit:
		return ErrShare
	case !request.Deadline.IsZero() && now.Add(l.expectedWait(request)).After(request.Deadline):
		return ErrDeadline
	default:
		return nil
	}
}

// expectedWait estimates a newcomer's wait: its workspace gets one turn in as
// many as there are active workspaces, and those of its own that are ahead of it
// go first. A batch request goes behind all that are not.
func (l *Scheduler) expectedWait(request Request) time.Duration {
	if l.inFlight < l.limit.current() {
		return 0
	}
	active := map[string]bool{request.Workspace: true}
	for w := range l.workspaceInFlight {
		active[w] = true
	}
	ownTurns, interactiveAhead := 1, 0
	for _, w := range l.queue {
		active[w.request.Workspace] = true
		urgent := w.request.Priority != declare.PriorityBatch
		switch {
		case w.request.Workspace == request.Workspace && (urgent || request.Priority == declare.PriorityBatch):
			ownTurns++
		case urgent && request.Priority == declare.PriorityBatch:
			interactiveAhead++
		}
	}
	turns := float64(ownTurns*len(active)+interactiveAhead) / float64(max(l.limit.current(), 1))
	return time.Duration(turns * l.meanHeldSeconds * float64(time.Second))
}

func (l *Scheduler) start(request Request) {
	l.inFlight++
	l.workspaceInFlight[request.Workspace]++
}

// heldTimeWeight of the mean time that requests hold places.
const heldTimeWeight = 0.05

// Finish ends a request that held its place for a time, and returns the ids of
// those whose turn it is.
func (l *Scheduler) Finish(request Request, held time.Duration) []int64 {
	if l.meanHeldSeconds == 0 {
		l.meanHeldSeconds = held.Seconds()
	}
	l.meanHeldSeconds += (held.Seconds() - l.meanHeldSeconds) * heldTimeWeight
	l.inFlight--
	l.workspaceInFlight[request.Workspace]--
	if l.workspaceInFlight[request.Workspace] == 0 {
		delete(l.workspaceInFlight, request.Workspace)
	}
	return l.startQueued()
}

// StartMargin is how long before its deadline a request has to start: as long as first
// tokens take now, but no more than half of the time it has.
func (l *Scheduler) StartMargin(remaining time.Duration) time.Duration {
	return min(time.Duration(l.limit.meanSeconds*float64(time.Second)), remaining/2)
}

// Cancel takes a request out that waits no longer; false if it does not wait.
func (l *Scheduler) Cancel(id int64) bool {
	for i, w := range l.queue {
		if w.id == id {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Observe tells how long a first token took; the limit follows. It returns the
// ids of those whose turn it is.
func (l *Scheduler) Observe(kind Kind, firstToken time.Duration) []int64 {
	l.limit.observe(kind, firstToken, l.inFlight)
	return l.startQueued()
}

// startQueued starts waiting requests while there is room.
func (l *Scheduler) startQueued() []int64 {
	var started []int64
	for l.inFlight < l.limit.current() {
		i := Next(l.candidates())
		if i < 0 {
			break
		}
		w := l.queue[i]
		l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
		l.start(w.request)
		started = append(started, w.id)
	}
	return started
}

// InFlight counts requests with a place and requests that wait.
func (l *Scheduler) InFlight() (inFlight, waiting int) { return l.inFlight, len(l.queue) }

// Candidate is a waiting request as the decision sees it.
type Candidate struct {
	Priority declare.Priority
	InFlight int // its workspace's requests in flight
	Limit    int
}

func (l *Scheduler) candidates() []Candidate {
	queue := make([]Candidate, len(l.queue))
	for i, w := range l.queue {
		queue[i] = Candidate{Priority: w.request.Priority, InFlight: l.workspaceInFlight[w.request.Workspace], Limit: w.request.WorkspaceLimit}
	}
	return queue
}

// batchPenalty puts every batch request behind every interactive one; a part of
// a share is less than 1.
const batchPenalty = 2

// Next picks the request to start from a queue in order of arrival, or -1 if
// none may: higher priority first, then the workspace that uses the smallest
// part of its share, then the first come.
func Next(queue []Candidate) int {
	best, bestRank := -1, math.Inf(1)
	for i, q := range queue {
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
