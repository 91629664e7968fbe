package conn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
)

// Probe opens a new connection to an address, whatever is at rest, and reports whether the
// peer still has it open after a while; the error is that of the dial. The connection is kept
// at rest for the next request.
func (p *Pool) Probe(ctx context.Context, address string, wait time.Duration) (open bool, err error) {
	raw, err := p.options.Dial(ctx, address)
	if err != nil {
		return false, fmt.Errorf("reach %s: %w", address, err)
	}
	c := &Conn{pool: p, address: address, raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), idleUntil: clock.Now().Add(defaultIdleTimeout)}
	p.count(address)
	clock.Sleep(ctx, wait)
	if !c.alive() {
		c.Release(false)
		return false, nil
	}
	p.putIdle(c)
	return true, nil
}

// count takes in a connection that was made without a request for it.
func (p *Pool) count(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.peers[address]
	if conns == nil {
		conns = &peer{}
		p.peers[address] = conns
	}
	conns.open++
}

// IsDisconnect reports whether an error of an exchange is its connection's: the peer closed or reset
// it. Time that runs out and answers that are no good are others.
func IsDisconnect(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
