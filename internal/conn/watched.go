package conn

import (
	"bufio"
	"context"
	"net"
	"os"

	"github.com/pkg/errors"

	"quaybarrow/internal/bound"
)

// watched is a connection whose way to the endpoint is watched; see package reach.
type watched interface {
	// Unwrap returns the connection below.
	Unwrap() net.Conn
	// Usable reports whether an idle connection may be used for a request.
	Usable() bool
	// Expect sets whether data is awaited.
	Expect(on bool)
	// SetAbandonable sets whether reads are to fail once the way is lost.
	SetAbandonable(on bool)
	// WayLost reports whether the way is lost, after a check if that is wanted.
	WayLost(ctx context.Context, check bool) bool
	// Host returns the address of the host that relays the connection; empty for none.
	Host() string
}

// SetAbandonable sets whether the connection is interrupted once its way to the endpoint is lost.
func (c *Conn) SetAbandonable(on bool) {
	if c.watch != nil {
		c.watch.SetAbandonable(on)
	}
}

// WayLost reports whether the way to the endpoint is lost, so that the end of the exchange tells
// nothing about the endpoint. If that is not known, it checks the way first, if check is set.
func (c *Conn) WayLost(ctx context.Context, check bool) bool {
	return c.watch != nil && c.watch.WayLost(ctx, check)
}

// RelayedBy returns the address of the host that relays the connection; empty for none.
func (c *Conn) RelayedBy() string {
	if c.watch == nil {
		return ""
	}
	return c.watch.Host()
}

// newConn returns a connection of the pool.
func (p *Pool) newConn(address string, raw net.Conn) *Conn {
	c := &Conn{pool: p, id: ID(p.lastID.Add(1)), address: address, netConn: raw}
	c.head = bound.NewHeadReader(patientReader{c})
	c.reader = bufio.NewReaderSize(c.head, readBuffer)
	c.watch, _ = raw.(watched)
	return c
}

// SetOnSilence sets a function that is called when a read deadline passes before data arrives. If it returns
// true, having set another deadline, the read goes on. It is called by reads of the response's body.
func (c *Conn) SetOnSilence(goOn func() bool) { c.onSilence = goOn }

// patientReader reads from a connection, and goes on after a read deadline where SetOnSilence says so. A body
// could not be read on after an error.
type patientReader struct{ conn *Conn }

// Read implements io.Reader.
func (r patientReader) Read(p []byte) (int, error) {
	for {
		n, err := r.conn.netConn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || r.conn.onSilence == nil || !r.conn.onSilence() {
			return n, err
		}
	}
}
