// Package suite runs a package's ginkgo specs, under a paused clock where they
// ask for it.
//
// # Usage
//
//	func TestSuite(t *testing.T) { suite.Run(t, "lease") }
//
//	It("lapses", func() {
//		suite.Paused(func() { time.Sleep(time.Hour) })
//	})
package suite

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// running is the testing.T of the suite that runs, which synctest needs; there
// is one suite in a test binary.
var running *testing.T

// Run runs the specs of a package.
func Run(t *testing.T, name string) {
	running = t
	// fx listens for signals; the runtime's watcher has to start outside of any
	// bubble, or it would keep the first one alive for ever.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGUSR2)
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, name)
}

// Paused runs a body under the paused clock, in a bubble of its own. It fails
// when the body leaves a goroutine behind.
func Paused(body func()) {
	synctest.Test(running, func(*testing.T) {
		defer ginkgo.GinkgoRecover()
		body()
	})
}
