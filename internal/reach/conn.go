package reach

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is a connection to an endpoint, direct or relayed. While its user waits for data, the tracker
// watches whether any arrives.
type Conn struct {
	net.Conn
	tracker *Tracker
	link    *link
	way     Way

	lastRead    atomic.Int64 // when data last arrived, in ns of the tracker's clock
	expectedAt  atomic.Int64 // since when the user has waited for data; 0 while it does not
	abandonable atomic.Bool  // the user can do without the connection
	lost        atomic.Bool  // it was abandoned
	timer       *time.Timer  // checks for a stall while the user waits
	closeOnce   sync.Once
}

// newConn wraps a connection that has just been opened.
func (t *Tracker) newConn(l *link, w Way, c net.Conn) *Conn {
	wrapped := &Conn{Conn: c, tracker: t, link: l, way: w}
	wrapped.lastRead.Store(int64(t.now()))
	wrapped.timer = time.AfterFunc(time.Hour, wrapped.checkStall)
	wrapped.timer.Stop()
	t.mu.Lock()
	l.conns[wrapped] = struct{}{}
	t.mu.Unlock()
	return wrapped
}

// Host returns the address of the host that relays the connection; empty if it is direct.
func (c *Conn) Host() string { return string(c.way) }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		now := int64(c.tracker.now())
		c.lastRead.Store(now)
		if c.way == Direct {
			c.link.heardAt.Store(now)
		}
	}
	if err != nil && c.lost.Load() {
		return n, ErrWayLost
	}
	return n, err
}

// SetDeadline implements net.Conn. An abandoned connection stays interrupted.
func (c *Conn) SetDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetDeadline, t) }

// SetReadDeadline implements net.Conn. An abandoned connection stays interrupted.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetReadDeadline, t) }

func (c *Conn) setDeadline(set func(time.Time) error, t time.Time) error {
	err := set(t)
	if c.lost.Load() {
		return c.Conn.SetDeadline(longAgo)
	}
	return err
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.Expect(false)
		c.tracker.mu.Lock()
		delete(c.link.conns, c)
		c.tracker.mu.Unlock()
	})
	return c.Conn.Close()
}

// Unwrap returns the connection below.
func (c *Conn) Unwrap() net.Conn { return c.Conn }

// Usable reports whether an idle connection may be used for a request.
func (c *Conn) Usable() bool {
	if c.lost.Load() || !c.tracker.trusts(c.link, c.way) {
		return false
	}
	relayed, ok := c.Conn.(*tunnel)
	return !ok || relayed.reusable()
}

// Expect sets whether the user waits for data.
func (c *Conn) Expect(on bool) {
	if !on {
		c.expectedAt.Store(0)
		c.timer.Stop()
		return
	}
	c.expectedAt.Store(int64(c.tracker.now()))
	c.timer.Reset(firstStallTime)
}

// SetAbandonable sets whether the connection is to be interrupted if its way is lost: the user can
// send the request again. Otherwise the user waits, since data that was sent may still arrive.
func (c *Conn) SetAbandonable(on bool) { c.abandonable.Store(on) }

// Lost reports whether the connection was interrupted because its way is lost.
func (c *Conn) Lost() bool { return c.lost.Load() }

// quietFor returns for how long no data has arrived; 0 while the user waits for some.
func (c *Conn) quietFor() time.Duration {
	if c.expectedAt.Load() != 0 {
		return 0
	}
	return c.tracker.now() - time.Duration(c.lastRead.Load())
}

// checkStall checks the way if nothing has arrived for stallTime while the user waits.
func (c *Conn) checkStall() {
	expected := c.expectedAt.Load()
	if expected == 0 {
		return
	}
	last, limit := max(expected, c.lastRead.Load()), stallTime
	if last == expected {
		limit = firstStallTime // the response has not begun
	}
	if c.way == Direct {
		last = max(last, c.link.heardAt.Load())
	}
	if silent := c.tracker.now() - time.Duration(last); silent < limit {
		c.timer.Reset(limit - silent)
		return
	}
	c.timer.Reset(limit)
	c.tracker.startCheck(c.link, c.way, stallCheckAge)
}

// stalledSince reports whether the user has waited for data since before a time, would rather do
// without the connection, and has received nothing since.
func (c *Conn) stalledSince(at time.Duration) bool {
	expected := c.expectedAt.Load()
	return expected != 0 && time.Duration(expected) <= at && time.Duration(c.lastRead.Load()) <= at && c.abandonable.Load()
}

// abandon interrupts the connection for good.
func (c *Conn) abandon() {
	c.lost.Store(true)
	_ = c.Conn.SetDeadline(longAgo)
}
