package telemetry_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaybarrow/internal/telemetry"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestLogWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{release: make(chan struct{})}
		lines := telemetry.NewLogWriter(out)
		start := time.Now()
		for range 100 {
			for range 100 {
				_, _ = fmt.Fprintln(lines, "line")
			}
			time.Sleep(time.Second)
		}
		if took := time.Since(start); took != 100*time.Second {
			t.Fatalf("writing took %s", took)
		}
		if lines.Dropped() == 0 {
			t.Fatal("no line was dropped")
		}
		close(out.release)
		lines.Close(time.Second)
	})
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func TestLogWriterLimitsRateAndCountsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &syncBuffer{}
		lines := telemetry.NewLogWriter(out)
		for range 800 {
			_, _ = fmt.Fprintln(lines, "line")
		}
		time.Sleep(time.Second)
		_, _ = fmt.Fprintln(lines, "later")
		lines.Close(time.Second)
		text := out.b.String()
		if n := strings.Count(text, "line\n"); n != 500 {
			t.Fatalf("%d lines", n)
		}
		if !strings.Contains(text, `"total":300`) || !strings.Contains(text, "later") {
			t.Fatalf("the log does not report the dropped lines: %s", text[len(text)-200:])
		}
	})
}
