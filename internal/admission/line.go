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

// waiting is a request in the line.
type waiting struct {
	id  int64
	ask Request
}

// Scheduler is the state of admission: who is in flight and who waits. It reads no
// clock and takes no locks; Controller makes it safe for use at once.
type Scheduler struct {
	options Options
	limit   limiter
	flying  int
	shares  map[string]int // in flight, by workspace
	queue   []waiting
	serial  int64
	mean    float64 // smoothed seconds that a request holds its place
}

// NewScheduler returns a line with nobody in it.
func NewScheduler(options Options) *Scheduler {
	return &Scheduler{options: options, limit: newLimiter(options.Limit), shares: map[string]int{}}
}

// Offer decides on a request. One that has to wait is named by the id.
func (l *Scheduler) Offer(ask Request, now clock.Instant) (Verdict, int64, error) {
	if err := l.refusal(ask, now); err != nil {
		return VerdictRefuse, 0, err
	}
	if l.flying < l.limit.now() && l.shares[ask.Workspace] < ask.WorkspaceLimit {
		l.start(ask)
		return VerdictStart, 0, nil
	}
	l.serial++
	l.queue = append(l.queue, waiting{id: l.serial, ask: ask})
	return VerdictWait, l.serial, nil
}

// refusal tells why a request can't even wait.
func (l *Scheduler) refusal(ask Request, now clock.Instant) error {
	mine := 0
	for _, w := range l.queue {
		if w.ask.Workspace == ask.Workspace {
			mine++
		}
	}
	switch {
	case len(l.queue) >= l.options.Queue:
		return ErrQueue
	case l.shares[ask.Workspace] >= ask.WorkspaceLimit && mine >= ask.WorkspaceLimit:
		return ErrShare
	case !ask.Deadline.IsZero() && now.Add(l.expectedWait(ask)).After(ask.Deadline):
		return ErrDeadline
	default:
		return nil
	}
}

// expectedWait estimates a newcomer's wait: its workspace gets one turn in as
// many as there are active workspaces, and those of its own that are ahead of it
// go first. A batch request goes behind all that are not.
func (l *Scheduler) expectedWait(ask Request) time.Duration {
	if l.flying < l.limit.now() {
		return 0
	}
	active := map[string]bool{ask.Workspace: true}
	for w := range l.shares {
		active[w] = true
	}
	mine, before := 1, 0
	for _, w := range l.queue {
		active[w.ask.Workspace] = true
		urgent := w.ask.Priority != declare.PriorityBatch
		switch {
		case w.ask.Workspace == ask.Workspace && (urgent || ask.Priority == declare.PriorityBatch):
			mine++
		case urgent && ask.Priority == declare.PriorityBatch:
			before++
		}
	}
	turns := float64(mine*len(active)+before) / float64(max(l.limit.now(), 1))
	return time.Duration(turns * l.mean * float64(time.Second))
}

func (l *Scheduler) start(ask Request) {
	l.flying++
	l.shares[ask.Workspace]++
}

// smoothing of the mean time that requests hold places.
const smoothing = 0.05

// Finish ends a request that held its place for a time, and returns the ids of
// those whose turn it is.
func (l *Scheduler) Finish(ask Request, held time.Duration) []int64 {
	if l.mean == 0 {
		l.mean = held.Seconds()
	}
	l.mean += (held.Seconds() - l.mean) * smoothing
	l.flying--
	l.shares[ask.Workspace]--
	if l.shares[ask.Workspace] == 0 {
		delete(l.shares, ask.Workspace)
	}
	return l.advance()
}

// Margin is how long before its deadline a request has to start: as long as first
// tokens take now, but no more than half of the time it has.
func (l *Scheduler) Margin(left time.Duration) time.Duration {
	return min(time.Duration(l.limit.seconds*float64(time.Second)), left/2)
}

// Leave takes a request out that waits no longer; false if it does not wait.
func (l *Scheduler) Leave(id int64) bool {
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
	l.limit.observe(kind, firstToken, l.flying)
	return l.advance()
}

// advance starts waiting requests while there is room.
func (l *Scheduler) advance() []int64 {
	var started []int64
	for l.flying < l.limit.now() {
		i := Next(l.queued())
		if i < 0 {
			break
		}
		w := l.queue[i]
		l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
		l.start(w.ask)
		started = append(started, w.id)
	}
	return started
}

// InFlight counts requests with a place and requests that wait.
func (l *Scheduler) InFlight() (flying, waiting int) { return l.flying, len(l.queue) }

// Queued is a waiting request as the decision sees it.
type Queued struct {
	Priority declare.Priority
	InFlight int // its workspace's requests in flight
	Limit    int
}

func (l *Scheduler) queued() []Queued {
	queue := make([]Queued, len(l.queue))
	for i, w := range l.queue {
		queue[i] = Queued{Priority: w.ask.Priority, InFlight: l.shares[w.ask.Workspace], Limit: w.ask.WorkspaceLimit}
	}
	return queue
}

// batchPenalty puts every batch request behind every interactive one; a part of
// a share is less than 1.
const batchPenalty = 2

// Next picks the request to start from a queue in order of arrival, or -1 if
// none may: higher priority first, then the workspace that uses the smallest
// part of its share, then the first come.
func Next(queue []Queued) int {
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
