package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"quaybarrow/internal/clock"
)

// waits are the cases of TestSleep.
var waits = map[string]struct {
	wait, took time.Duration
	ctxEnded   bool // ctx has ended before the call
	want       bool
}{
	"positive":                    {wait: time.Second, took: time.Second, want: true},
	"zero":                        {want: true},
	"negative":                    {wait: -time.Hour, want: true},
	"positive, context has ended": {wait: time.Second, ctxEnded: true},
	"zero, context has ended":     {ctxEnded: true},
	"negative, context has ended": {wait: -time.Hour, ctxEnded: true},
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
					t.Errorf("Sleep returned %v, want %v", got, w.want)
				}
				if took := time.Since(started); took != w.took {
					t.Errorf("took %v, want %v", took, w.took)
				}
			})
		})
	}
}
