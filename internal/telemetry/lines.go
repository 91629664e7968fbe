package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"quaybarrow/internal/clock"
)

// Bounds of logged lines.
const (
	// lineQueueSize is how many lines wait for a slow reader.
	lineQueueSize = 1024
	// maxLinesPerSecond bounds the volume under load; a host serves a few dozen
	// requests a second, and each takes a line or two.
	maxLinesPerSecond = 500
)

// LogWriter writes log lines without ever blocking who logs: lines that the reader
// is too slow for, or that come too fast, are dropped and counted.
type LogWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.Mutex // guards all below
	second int64
	lines  int
	closed bool
	start  clock.Steady
}

// NewLogWriter starts a writer of lines.
func NewLogWriter(out io.Writer) *LogWriter {
	l := &LogWriter{out: out, queue: make(chan []byte, lineQueueSize), done: make(chan struct{}), start: clock.NewSteady()}
	go l.run()
	return l
}

// Write implements io.Writer; it takes one line.
func (l *LogWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.allow(int64(l.start.Now()/time.Second)) {
		l.dropped.Add(1)
		return len(p), nil
	}
	select {
	case l.queue <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// allow counts a line against the second's bound.
func (l *LogWriter) allow(second int64) bool {
	if second != l.second {
		l.second, l.lines = second, 0
	}
	l.lines++
	return l.lines <= maxLinesPerSecond
}

func (l *LogWriter) run() {
	defer close(l.done)
	reported := int64(0)
	for line := range l.queue {
		if dropped := l.dropped.Load(); dropped > reported {
			_, _ = fmt.Fprintf(l.out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"total\":%d}\n", dropped)
			reported = dropped
		}
		// Nobody can be told that the log itself can't be written.
		_, _ = l.out.Write(line)
	}
}

// Dropped counts the lines that were dropped.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

// Close writes what waits, for at most a time.
func (l *LogWriter) Close(limit time.Duration) {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(limit):
	}
}
