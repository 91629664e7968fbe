package faults_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestRaceDetectorWhileTimersFire guards against a toolchain whose race detector crashes in tests under a paused clock:
// goroutines look at timers that are due while others of the same moment fire.
func TestRaceDetectorWhileTimersFire(t *testing.T) {
	const goroutines, times = 300, 2000
	synctest.Test(t, func(*testing.T) {
		var running sync.WaitGroup
		for range goroutines {
			running.Go(func() {
				for range times {
					due := time.NewTimer(time.Millisecond)
					time.Sleep(time.Millisecond)
					select {
					case <-due.C:
					default:
					}
				}
			})
		}
		running.Wait()
	})
}
