package gateway

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"quaybarrow/internal/conn"
)

// Bounds of callers' connections.
const (
	headerTimeout      = 5 * time.Second // to read a header, once its first byte has arrived
	defaultIdleTimeout = 5 * time.Minute // where operators declare none
)

// Server returns an HTTP server for routed requests, to be run on a listener made by Wrap.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:    stdlog.New(io.Discard, "", 0), // malformed headers are the caller's fault
		ConnContext: withConn,
		ConnState: func(c net.Conn, s http.ConnState) {
			if caller, ok := c.(*callerConn); ok && s == http.StateIdle {
				caller.markIdle()
			}
		},
	}
}

// Listen listens on an address, with timeouts and keep-alive probes that detect vanished callers.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		Control:         conn.CallerLiveness.Control,
		KeepAliveConfig: conn.CallerLiveness.KeepAlive(),
	}
	inner, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return inner, nil
}

// Wrap makes a listener's connections record request headers for checking.
func (g *Gateway) Wrap(inner net.Listener) net.Listener {
	return &listener{Listener: inner, idleTimeout: g.idleTimeout}
}

// idleTimeout returns how long a caller's connection may be idle.
func (g *Gateway) idleTimeout() time.Duration {
	if t := g.Holder.Table(); t != nil {
		return t.Limits().IdleTimeout
	}
	return 0
}

// listener accepts connections that record request headers.
type listener struct {
	net.Listener
	idleTimeout func() time.Duration
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCallerConn(raw, l.idleTimeout), nil
}
