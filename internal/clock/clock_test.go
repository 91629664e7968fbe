package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"quaybarrow/internal/clock"
)

// sleepCases are the cases of TestSleep.
var sleepCases = map[string]struct {
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
	for name, c := range sleepCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if c.ctxEnded {
					cancel()
				}
				started := time.Now()
				if got := clock.Sleep(ctx, c.wait); got != c.want {
					t.Errorf("Sleep returned %v, want %v", got, c.want)
				}
				if took := time.Since(started); took != c.took {
					t.Errorf("took %v, want %v", took, c.took)
				}
			})
		})
	}
}
