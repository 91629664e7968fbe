package spread

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestRaceAsksTheNextAfterSilence has a race pass by sources that say nothing, and
// tell them so.
func TestRaceAsksTheNextAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := 0
		mute := source{
			patience: 200 * time.Millisecond,
			read: func(ctx context.Context) (news, error) {
				<-ctx.Done()
				return news{}, ctx.Err()
			},
			silent: func() { silent++ },
		}
		sound := source{patience: time.Second, read: func(context.Context) (news, error) { return news{version: 7}, nil }}
		began := time.Now()
		n, place, err := race(context.Background(), []source{mute, mute, sound})
		if err != nil || n.version != 7 || place != 2 {
			t.Fatalf("version %d of source %d: %v", n.version, place, err)
		}
		if took := time.Since(began); took != 400*time.Millisecond {
			t.Errorf("took %s", took)
		}
		if silent != 2 {
			t.Errorf("%d sources were told that they were silent", silent)
		}
	})
}
