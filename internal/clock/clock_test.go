package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"quaybarrow/internal/clock"
)

// waits are times with what Sleep does with them.
var waits = map[string]struct {
	wait, took time.Duration
	ctxEnded   bool // the context, before
	want       bool
}{
	"a while":                       {wait: time.Second, took: time.Second, want: true},
	"no time":                       {want: true},
	"a time that is over":           {wait: -time.Hour, want: true},
	"a while, in an ended context":  {wait: time.Second, ctxEnded: true},
	"no time, in an ended context":  {ctxEnded: true},
	"over, and in an ended context": {wait: -time.Hour, ctxEnded: true},
}

func TestSleep(t *testing.T) {
	for name, w := range waits {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if w.ctxEnded {
					cancel()
				}
				started := time.Now()
				if got := clock.Sleep(ctx, w.wait); got != w.want {
					t.Errorf("slept %v, want %v", got, w.want)
				}
				if took := time.Since(started); took != w.took {
					t.Errorf("took %v, want %v", took, w.took)
				}
			})
		})
	}
}
