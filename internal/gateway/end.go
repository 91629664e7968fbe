package gateway

import (
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
)

// endsItself reports whether the response states where it ends. One that does not ends with its
// connection, which a crash closes too.
func (a *attempt) endsItself() bool { return conn.StatesEnd(a.response) }

// Errors of responses that state no end.
var (
	// errEndedByCrash means that the response ended as its endpoint crashed.
	errEndedByCrash = fmt.Errorf("the endpoint crashed as the answer ended: %w", io.ErrUnexpectedEOF)
	// errEndUnknown means that an endpoint that crashed as the response ended may have started again since.
	errEndUnknown = errors.New("the answer ended while the host stood still")
)

// unreadAfterStall is how long after a stall the host may read what arrived during it.
const unreadAfterStall = 2 * time.Second

// checkEnd returns an error if a response that states no end may have ended before its time. An endpoint that
// listens has not crashed, unless the host stood still for so long that it may have started again.
func (a *attempt) checkEnd() error {
	e := a.hold.Endpoint
	switch {
	case a.endsItself():
		return nil
	case a.stalledAsItEnded():
		return errEndUnknown
	case a.x.g.Quarantine.EndpointCrashed(a.x.ctx, e.ID, e.Address):
		return errEndedByCrash
	default:
		return nil
	}
}

// stalledAsItEnded reports whether the response may have ended while the host stood still.
func (a *attempt) stalledAsItEnded() bool {
	since := clock.Now().Add(-unreadAfterStall)
	if a.sentAt.After(since) {
		since = a.sentAt
	}
	return a.x.g.Stalls != nil && a.x.g.Stalls.Since(since)
}
