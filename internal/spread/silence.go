package spread

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"quaybarrow/internal/clock"
)

// unansweredTimeout is how long a connection may give no answer, while calls time out, before it is
// replaced. Connections may stop delivering data without an error, and the keep-alive of the gRPC
// library detects that after ten seconds at the earliest. Without this check an advisor remained
// unreachable for the lifetime of the hosts.
const unansweredTimeout = 500 * time.Millisecond

// trackAnswers returns an interceptor that records answers and timeouts of the connection to an
// address.
func (pool *connPool) trackAnswers(address string) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, request, reply any, c *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
		err := invoke(ctx, method, request, reply, c, options...)
		switch status.Code(err) {
		case codes.DeadlineExceeded:
			pool.recordTimeout(address)
		case codes.Canceled: // no evidence: another source was faster, or the connection was closed
		default:
			pool.recordAnswer(address)
		}
		return err
	}
}

// recordAnswer records an answer on the connection to an address.
func (pool *connPool) recordAnswer(address string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	delete(pool.timeoutsSince, address)
}

// recordTimeout records a call that timed out, and closes the connection if it has given no answer
// for unansweredTimeout.
func (pool *connPool) recordTimeout(address string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	since, found := pool.timeoutsSince[address]
	switch {
	case !found:
		pool.timeoutsSince[address] = clock.Now()
	case clock.Since(since) >= unansweredTimeout && pool.conns[address] != nil:
		_ = pool.conns[address].Close()
		delete(pool.timeoutsSince, address)
		delete(pool.conns, address)
	}
}
