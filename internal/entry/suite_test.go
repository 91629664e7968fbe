package entry_test

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the suite's own testing.T, which synctest needs.
var suiteT *testing.T

func TestSuite(t *testing.T) {
	suiteT = t
	// fx listens for signals; the watcher has to start outside of any bubble.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGUSR2)
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

// paused runs a body under the paused clock.
func paused(body func()) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		body()
	})
}
