package conn

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
)

// Probe opens a new connection to an address, even if there are idle ones, and reports whether the
// peer still keeps it open after the given duration. The error is that of the dial. An open
// connection is kept idle for the next request.
func (p *Pool) Probe(ctx context.Context, address string, wait time.Duration) (open bool, err error) {
	raw, err := p.options.Dial(ctx, address)
	if err != nil {
		return false, fmt.Errorf("probe %s: %w", address, err)
	}
	c := p.newConn(address, raw)
	c.idleUntil = clock.Now().Add(defaultIdleTimeout)
	p.count(address)
	clock.Sleep(ctx, wait)
	if !c.alive() {
		c.Release(false)
		return false, nil
	}
	p.putIdle(c)
	return true, nil
}

// count counts a connection that was opened without a call of takeIdle.
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

// IsDisconnect reports whether an exchange failed because the peer closed or reset the connection.
// Timeouts and invalid responses are not disconnects.
func IsDisconnect(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
