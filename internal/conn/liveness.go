package conn

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Liveness is how soon the kernel gives up a TCP connection whose peer is silent. Once a user timeout
// is set, it also decides when unanswered keep-alive probes end the connection, whatever their count,
// so both are derived from the same values. The kernel counts in whole seconds.
type Liveness struct {
	Idle     time.Duration // without data from the peer, before the first keep-alive probe
	Interval time.Duration // between probes
	Probes   int           // unanswered probes after which the connection ends
}

// EndpointLiveness is that of connections to endpoints and other servers: these may be silent for a
// second or more and go on. CallerLiveness is that of connections from callers and between hosts.
var (
	EndpointLiveness = Liveness{Idle: time.Second, Interval: time.Second, Probes: 2}
	CallerLiveness   = Liveness{Idle: 2 * time.Second, Interval: time.Second, Probes: 3}
)

// Timeout returns how long a peer may be silent: without an answer to probes, or without
// acknowledging data.
func (l Liveness) Timeout() time.Duration { return l.Idle + time.Duration(l.Probes)*l.Interval }

// KeepAlive returns the configuration of keep-alive probes.
func (l Liveness) KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: l.Idle, Interval: l.Interval, Count: l.Probes}
}

// Control sets the user timeout of a socket, for net.Dialer and net.ListenConfig.
func (l Liveness) Control(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.Timeout().Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	if setErr != nil {
		return fmt.Errorf("set user timeout: %w", setErr)
	}
	return nil
}

// Dialer returns a dialer whose dials end after a timeout.
func (l Liveness) Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: l.KeepAlive(), Control: l.Control}
}

// Dial connects to an endpoint over TCP.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return EndpointLiveness.Dialer(dialTimeout).DialContext(ctx, "tcp4", address)
}
