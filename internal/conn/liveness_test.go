package conn_test

import (
	"context"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"quaybarrow/internal/conn"
)

// silentEndpoint is how long an endpoint that is well may be silent, with a margin for a probe that is
// sent at its beginning.
const silentEndpoint = 1500 * time.Millisecond

var _ = Describe("liveness", func() {
	option := func(c net.Conn, name int) int {
		raw, err := c.(syscall.Conn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		value := 0
		Expect(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) })).To(Succeed())
		Expect(err).NotTo(HaveOccurred())
		return value
	}
	// The kernel ends a connection at the first probe that is due after the user timeout, so a silence
	// that begins with the first probe must end before that.
	It("keeps the connection to an endpoint that is silent for a second and goes on", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = l.Close() }()
		c, err := conn.Dial(context.Background(), l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		idle := time.Duration(option(c, unix.TCP_KEEPIDLE)) * time.Second
		interval := time.Duration(option(c, unix.TCP_KEEPINTVL)) * time.Second
		userTimeout := time.Duration(option(c, unix.TCP_USER_TIMEOUT)) * time.Millisecond
		endsAt := idle
		for probes := 1; endsAt < userTimeout || probes < 2; probes++ {
			endsAt += interval
		}
		Expect(endsAt - idle).To(BeNumerically(">=", silentEndpoint))
	})

	It("gives up data that nobody acknowledges when it gives up unanswered probes", func() {
		for _, l := range []conn.Liveness{conn.EndpointLiveness, conn.CallerLiveness} {
			Expect(l.Timeout()).To(Equal(l.KeepAlive().Idle + time.Duration(l.KeepAlive().Count)*l.KeepAlive().Interval))
		}
	})
})
