package spread

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// source is one way to read a table.
type source struct {
	read func(ctx context.Context) (tableUpdate, error)
	// hedgeDelay is how long to wait for an answer before the next source is asked too.
	hedgeDelay time.Duration
	// connectedDelay is added to hedgeDelay if the source is connected when hedgeDelay ends: then
	// it is up, and has much to send.
	connectedDelay time.Duration
	connected      func() bool
	// onNoAnswer is called if a later source answered before this one did; it may be nil.
	onNoAnswer func()
}

// maxUnanswered is how many requests may be unanswered at the same time. Beyond that all remaining
// sources are asked at once, since most likely this host's own connections have stopped working
// without an error.
const maxUnanswered = 3

// errNoSource means that there is no source to read from.
var errNoSource = errors.New("nobody to ask")

// answer is the result of reading one source.
type answer struct {
	index  int
	update tableUpdate
	err    error
}

// hedgedRead asks sources in order. It asks the next one as soon as one fails or its delay ends
// without an answer, and returns the first valid answer with the index of its source.
func hedgedRead(ctx context.Context, sources []source) (tableUpdate, int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if len(sources) == 0 {
		return tableUpdate{}, 0, errNoSource
	}
	answers := make(chan answer, len(sources))
	timer := time.NewTimer(sources[0].hedgeDelay)
	defer timer.Stop()
	started, open, extended := 0, 0, false
	failed := make([]bool, len(sources))
	var lastErr error
	start := func() {
		i := started
		started, open, extended = started+1, open+1, false
		timer.Reset(sources[i].hedgeDelay)
		go func() {
			update, err := sources[i].read(ctx)
			answers <- answer{i, update, err}
		}()
	}
	for {
		if open == 0 {
			if started == len(sources) {
				return tableUpdate{}, 0, lastErr
			}
			start()
		}
		select {
		case <-ctx.Done():
			return tableUpdate{}, 0, ctx.Err()
		case <-timer.C:
			latest := sources[started-1]
			switch {
			case latest.connectedDelay > 0 && !extended && latest.connected():
				extended = true
				timer.Reset(latest.connectedDelay)
			case started < len(sources):
				start()
				for open > maxUnanswered && started < len(sources) {
					start()
				}
			}
		case a := <-answers:
			open--
			if a.err == nil {
				reportUnanswered(sources[:started], failed, a.index)
				return a.update, a.index, nil
			}
			lastErr, failed[a.index] = a.err, true
		}
	}
}

// reportUnanswered calls onNoAnswer of the sources before the winner that have not answered.
func reportUnanswered(sources []source, failed []bool, winner int) {
	for i, s := range sources[:winner] {
		if !failed[i] && s.onNoAnswer != nil {
			s.onNoAnswer()
		}
	}
}
