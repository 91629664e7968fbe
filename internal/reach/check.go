package reach

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// check is a check of a way. Its fields are guarded by the tracker's
// mutex, but for done.
type check struct {
	startedAt time.Duration
	endedAt   time.Duration // 0 while it runs
	lost      bool
	done      chan struct{} // closed when the check has ended
}

// checkTimeout bounds a check.
const checkTimeout = 500 * time.Millisecond

// startCheck checks a way in the background and returns the check. If one of the way runs, or has ended
// no longer than maxAge ago, it returns that one.
func (t *Tracker) startCheck(l *link, w Way, maxAge time.Duration) *check {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if k, ok := l.checks[w]; ok && (k.endedAt == 0 || now-k.endedAt <= maxAge) {
		return k
	}
	k := &check{startedAt: now, done: make(chan struct{})}
	l.checks[w] = k
	go t.runCheck(l, w, k)
	return k
}

// runCheck finds out whether a way is lost: it does not work, and another one does.
func (t *Tracker) runCheck(l *link, w Way, k *check) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	lost := t.isLost(ctx, l, w, k.startedAt)
	t.mu.Lock()
	k.lost, k.endedAt = lost, t.now()
	t.mu.Unlock()
	close(k.done)
}

// isLost dials an address over a way and over another one.
func (t *Tracker) isLost(ctx context.Context, l *link, w Way, began time.Duration) bool {
	if w == Direct {
		return t.isDirectLost(ctx, l, began)
	}
	t.mu.Lock()
	h := t.helper(string(w))
	t.mu.Unlock()
	this := inBackground(func() (*Conn, error) { return t.dialThrough(ctx, l, h) })
	other := inBackground(func() (*Conn, error) { return t.dialOther(ctx, l, w) })
	var lost bool
	select {
	case d := <-this:
		lost = d.err != nil && (<-other).closed()
		if d.err == nil {
			_ = d.conn.Close()
			discard(other)
		}
	case d := <-other:
		if !d.closed() {
			discard(this)
			return false
		}
		lost = !t.succeedsWithin(this, settleTime)
	}
	if lost {
		t.mu.Lock()
		h.provenAt, h.retryAt = 0, t.now()+cutOffPause
		t.mu.Unlock()
		t.lose(l, w, began, errLostByHelper)
	}
	return lost
}

// errLostByHelper means that the host that relays connections does not reach the endpoint any more.
var errLostByHelper = errors.New("the host that relays does not reach it")

// closed closes the connection of a dial that succeeded, and reports whether it did.
func (d dialed) closed() bool {
	if d.err != nil {
		return false
	}
	_ = d.conn.Close()
	return true
}

// succeedsWithin reports whether a dial succeeds within a time.
func (t *Tracker) succeedsWithin(result <-chan dialed, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case r := <-result:
		return r.closed()
	case <-timer.C:
		discard(result)
		return false
	}
}

// isDirectLost dials an address directly and, if that does not succeed soon, through other hosts.
func (t *Tracker) isDirectLost(ctx context.Context, l *link, began time.Duration) bool {
	direct := inBackground(func() (*Conn, error) { return t.dialDirect(ctx, l) })
	reason := errNoAnswer
	hedge := time.NewTimer(doubtfulHedgeDelay)
	defer hedge.Stop()
	select {
	case d := <-direct:
		if d.closed() {
			return false
		}
		reason = d.err
	case <-hedge.C:
	}
	c, err := t.dialRelayed(ctx, l, Direct, forCheck)
	if err != nil {
		discard(direct)
		_ = t.explain(ctx, l, reason, err) // remembers that the endpoint is down, if it is
		return false
	}
	_ = c.Close()
	if !errors.Is(reason, errNoAnswer) {
		direct = nil // it has failed
	}
	if again, err := t.dialAgain(l, direct); err == nil {
		_ = again.Close()
		return false
	}
	t.lose(l, Direct, began, reason)
	return true
}

// dialThrough connects through one host.
func (t *Tracker) dialThrough(ctx context.Context, l *link, h *helper) (*Conn, error) {
	a := t.ask(ctx, h, l.address, forCheck)
	if a.tunnel == nil {
		return nil, errUnreachedByHelper
	}
	return t.newConn(l, Way(h.address), a.tunnel), nil
}

// dialOther connects by any way but one through a host.
func (t *Tracker) dialOther(ctx context.Context, l *link, w Way) (*Conn, error) {
	t.mu.Lock()
	lost := l.lost
	t.mu.Unlock()
	if !lost {
		return t.dialDirect(ctx, l)
	}
	return t.dialRelayed(ctx, l, w, forCheck)
}

// WayLost reports whether the way of a connection is lost, so that what happened on the connection
// tells nothing about the endpoint. If that is not known, it has the way checked, and waits for the
// result if check is set.
func (c *Conn) WayLost(ctx context.Context, check bool) bool {
	t := c.tracker
	t.mu.Lock()
	known := c.way == Direct && c.link.lost
	t.mu.Unlock()
	if known || c.Lost() {
		return true
	}
	if !check {
		t.startCheck(c.link, c.way, stallCheckAge)
		return false
	}
	k := t.startCheck(c.link, c.way, brokenCheckAge)
	select {
	case <-k.done:
	case <-ctx.Done():
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return k.lost
}
