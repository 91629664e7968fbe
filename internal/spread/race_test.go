package spread

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestHedgedReadAsksNextAfterNoAnswer checks that a read goes on to the next source when one does
// not answer, and calls onNoAnswer of each such source.
func TestHedgedReadAsksNextAfterNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unanswered := 0
		unresponsive := source{
			hedgeDelay: 200 * time.Millisecond,
			read: func(ctx context.Context) (tableUpdate, error) {
				<-ctx.Done()
				return tableUpdate{}, ctx.Err()
			},
			onNoAnswer: func() { unanswered++ },
		}
		sound := source{hedgeDelay: time.Second, read: func(context.Context) (tableUpdate, error) { return tableUpdate{version: 7}, nil }}
		began := time.Now()
		update, index, err := hedgedRead(context.Background(), []source{unresponsive, unresponsive, sound})
		if err != nil || update.version != 7 || index != 2 {
			t.Fatalf("version %d of source %d: %v", update.version, index, err)
		}
		if took := time.Since(began); took != 400*time.Millisecond {
			t.Errorf("took %s", took)
		}
		if unanswered != 2 {
			t.Errorf("onNoAnswer was called for %d sources, want 2", unanswered)
		}
	})
}
