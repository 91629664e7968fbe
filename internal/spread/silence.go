package spread

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"quaybarrow/internal/clock"
)

// unansweredTimeout is how long a connection has given no answer, while calls ran out of time,
// until it is made anew. Connections may fall silent without an error, and the gRPC
// library notices by its keep-alive after ten seconds at the earliest: an adviser was not
// heard of again for as long as hosts lived.
const unansweredTimeout = 500 * time.Millisecond

// trackAnswers notices on a connection whether it has fallen silent.
func (l *connPool) trackAnswers(address string) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, request, reply any, c *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
		err := invoke(ctx, method, request, reply, c, options...)
		switch status.Code(err) {
		case codes.DeadlineExceeded:
			l.recordTimeout(address)
		case codes.Canceled: // says nothing: another source was faster, or the connection was closed
		default:
			l.recordAnswer(address)
		}
		return err
	}
}

// recordAnswer notes an answer on the connection to an address.
func (l *connPool) recordAnswer(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.timeoutsSince, address)
}

// recordTimeout notes a call that ran out of time, and closes a connection that is silent.
func (l *connPool) recordTimeout(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, known := l.timeoutsSince[address]
	switch {
	case !known:
		l.timeoutsSince[address] = clock.Now()
	case clock.Since(since) >= unansweredTimeout && l.conns[address] != nil:
		_ = l.conns[address].Close()
		delete(l.timeoutsSince, address)
		delete(l.conns, address)
	}
}
