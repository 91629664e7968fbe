package reach

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/telemetry"
)

// dialed is the result of a dial that runs in the background.
type dialed struct {
	conn *Conn
	err  error
}

// inBackground starts a dial and returns the channel of its result, which is closed afterwards.
func inBackground(dial func() (*Conn, error)) <-chan dialed {
	result := make(chan dialed, 1)
	go func() {
		c, err := dial()
		result <- dialed{c, err}
		close(result)
	}()
	return result
}

// discard closes the connection of a dial that is not needed any more. The result may have been read,
// or the channel may be nil.
func discard(result <-chan dialed) {
	if result == nil {
		return
	}
	go func() {
		if d := <-result; d.conn != nil {
			_ = d.conn.Close()
		}
	}()
}

// Dial connects to an endpoint, directly if possible. It returns ErrDown or ErrNoWay if it gets no
// connection, and the context's error if that ended.
func (t *Tracker) Dial(ctx context.Context, address string) (net.Conn, error) {
	t.mu.Lock()
	l := t.link(address)
	t.mu.Unlock()
	s := t.stateOf(l)
	if s.downErr != nil {
		return nil, s.downErr
	}
	if !s.lost {
		return nilIfError(t.dialHedged(ctx, l, s.doubtful))
	}
	if s.retry {
		go t.retryDirect(l)
	}
	c, err := t.dialRelayed(ctx, l, Direct, forRequests)
	return nilIfError(c, t.explain(ctx, l, errWayKnownLost, err))
}

// errWayKnownLost stands for the error of a direct dial that was not made.
var errWayKnownLost = errors.New("the direct way is lost")

// nilIfError returns a nil interface with an error.
func nilIfError(c *Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return c, nil
}

// dialDirect connects to an endpoint directly.
func (t *Tracker) dialDirect(ctx context.Context, l *link) (*Conn, error) {
	raw, err := t.options.Dial(ctx, l.address)
	if err != nil {
		return nil, fmt.Errorf("dial directly: %w", err)
	}
	t.heard(l)
	return t.newConn(l, Direct, raw), nil
}

// retryDirect tries a direct way that was lost.
func (t *Tracker) retryDirect(l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), retryInterval)
	defer cancel()
	c, err := t.dialDirect(ctx, l)
	if err == nil {
		_ = c.Close()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l.shownAt = t.now()
}

// dialHedged dials directly, and asks other hosts to connect if that fails or takes long.
func (t *Tracker) dialHedged(ctx context.Context, l *link, doubtful bool) (*Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := t.now()
	direct := inBackground(func() (*Conn, error) { return t.dialDirect(ctx, l) })
	delay := hedgeDelay
	if doubtful {
		delay = doubtfulHedgeDelay
	}
	var directErr error
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	select {
	case d := <-direct:
		if d.err == nil || ctx.Err() != nil {
			return d.conn, d.err
		}
		directErr = d.err
	case <-hedge.C:
	}
	relayed := inBackground(func() (*Conn, error) { return t.dialRelayed(ctx, l, Direct, forRequests) })
	return t.settle(ctx, l, race{direct: direct, directErr: directErr, relayed: relayed, began: began})
}

// race is a direct and a relayed dial to the same address.
type race struct {
	direct, relayed <-chan dialed
	directErr       error // set if the direct dial has failed
	began           time.Duration
}

// settle returns the connection of the dial that succeeds, and what that tells about the direct way.
func (t *Tracker) settle(ctx context.Context, l *link, r race) (*Conn, error) {
	for r.directErr == nil {
		select {
		case d := <-r.direct:
			if d.err == nil {
				discard(r.relayed)
				return d.conn, nil
			}
			r.directErr = d.err
		case d := <-r.relayed:
			if d.err == nil {
				return t.awaitDirect(l, r, d.conn), nil
			}
			if !errors.Is(d.err, errNoHelper) {
				discard(r.direct)
				return nil, t.explain(ctx, l, errNoAnswer, d.err)
			}
			// Nobody can tell; the direct dial decides.
			if direct := <-r.direct; direct.err == nil {
				return direct.conn, nil
			} else {
				return nil, t.explain(ctx, l, direct.err, d.err)
			}
		}
	}
	d := <-r.relayed
	if d.err != nil {
		return nil, t.explain(ctx, l, r.directErr, d.err)
	}
	return t.awaitDirect(l, r, d.conn), nil
}

// errNoAnswer means that a direct dial had no result when another host's had.
var errNoAnswer = errors.New("no answer")

// awaitDirect gives the direct way a last chance once a helper has connected, and returns the
// connection to use.
func (t *Tracker) awaitDirect(l *link, r race, relayed *Conn) *Conn {
	c, err := t.dialAgain(l, r.direct)
	if err == nil {
		_ = relayed.Close()
		return c
	}
	if r.directErr != nil {
		err = r.directErr
	}
	t.lose(l, Direct, r.began, err)
	return relayed
}

// dialAgain dials directly once more, for settleTime, while the first dial goes on. The endpoint may
// have started just after it refused the first dial, or the first dial's packet may be lost, which is
// sent again only after a second.
func (t *Tracker) dialAgain(l *link, first <-chan dialed) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	second := inBackground(func() (*Conn, error) { return t.dialDirect(ctx, l) })
	err := errNoAnswer
	for range 2 {
		var d dialed
		select {
		case d = <-first:
			first = nil
		case d = <-second:
			second = nil
		case <-ctx.Done():
		}
		switch {
		case d.conn != nil:
			discard(first)
			discard(second)
			return d.conn, nil
		case ctx.Err() != nil:
			discard(first)
			discard(second)
			return nil, err
		case d.err != nil:
			err = d.err
		}
	}
	return nil, err
}

// explain returns the error of a dial that failed directly and through other hosts.
func (t *Tracker) explain(ctx context.Context, l *link, direct, relayed error) error {
	if relayed == nil {
		return nil
	}
	if ctx.Err() != nil {
		return fmt.Errorf("dial %s: %w", l.address, ctx.Err())
	}
	if !errors.Is(relayed, errUnreachedByHelper) && (t.isCutOff() || !errors.Is(relayed, errNoHelper)) {
		return fmt.Errorf("dial %s: %w: %v; through others: %v", l.address, ErrNoWay, direct, relayed) //nolint:errorlint // the causes tell nothing about the endpoint
	}
	err := fmt.Errorf("dial %s: %w: %w; through others: %w", l.address, ErrDown, direct, relayed)
	t.mu.Lock()
	defer t.mu.Unlock()
	l.downUntil, l.downErr = t.now()+downTime, err
	return err
}

// countRelayed counts the connections through other hosts by outcome.
func (t *Tracker) countRelayed(outcome string) {
	t.options.Telemetry.Count("relayed_dials", 1, telemetry.Label("outcome", outcome))
}
