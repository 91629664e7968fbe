package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quaybarrow/internal/clock"
)

func TestInstantCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := clock.Now()
		time.Sleep(2 * time.Second)
		clock.SimulateSuspension(5 * time.Second)
		if since := clock.Since(before); since != 7*time.Second {
			t.Errorf("%v have passed, want 7s", since)
		}
		if until := clock.Until(before.Add(10 * time.Second)); until != 3*time.Second {
			t.Errorf("%v are left, want 3s", until)
		}
		if due := time.Until(before.Add(10 * time.Second).Time()); due != 3*time.Second {
			t.Errorf("a timer is due in %v, want 3s", due)
		}
	})
}

func TestInstantWithoutSuspension(t *testing.T) {
	started, before := time.Now(), clock.Now()
	time.Sleep(20 * time.Millisecond)
	since, elapsed := clock.Since(before), time.Since(started)
	if since < 20*time.Millisecond || since > elapsed {
		t.Errorf("%v have passed by instants, %v by the runtime", since, elapsed)
	}
	if suspended := clock.SuspendedTime(); clock.SuspendedTime() != suspended {
		t.Error("this machine is said to be suspended all the time")
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		clock.Now()
	}
}

// BenchmarkSuspended is what each Now would cost that asks the kernel.
func BenchmarkSuspended(b *testing.B) {
	for b.Loop() {
		clock.SuspendedTime()
	}
}
