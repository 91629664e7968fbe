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
	// linesWaiting is how many lines wait for a slow reader.
	linesWaiting = 1024
	// linesPerSecond bounds the volume under load; a host serves a few dozen
	// requests a second, and each takes a line or two.
	linesPerSecond = 500
)

// LogWriter writes log lines without ever blocking who logs: lines that the reader
// is too slow for, or that come too fast, are dropped and counted.
type LogWriter struct {
	out     io.Writer
	waiting chan []byte
	dropped atomic.Int64
	ended   chan struct{}

	mu     sync.Mutex // guards all below
	second int64
	lines  int
	closed bool
	began  clock.Steady
}

// NewLogWriter starts a writer of lines.
func NewLogWriter(out io.Writer) *LogWriter {
	l := &LogWriter{out: out, waiting: make(chan []byte, linesWaiting), ended: make(chan struct{}), began: clock.NewSteady()}
	go l.run()
	return l
}

// Write implements io.Writer; it takes one line.
func (l *LogWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.within(int64(l.began.Now()/time.Second)) {
		l.dropped.Add(1)
		return len(p), nil
	}
	select {
	case l.waiting <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// within counts a line against the second's bound.
func (l *LogWriter) within(second int64) bool {
	if second != l.second {
		l.second, l.lines = second, 0
	}
	l.lines++
	return l.lines <= linesPerSecond
}

func (l *LogWriter) run() {
	defer close(l.ended)
	told := int64(0)
	for line := range l.waiting {
		if dropped := l.dropped.Load(); dropped > told {
			_, _ = fmt.Fprintf(l.out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"total\":%d}\n", dropped)
			told = dropped
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
		close(l.waiting)
	}
	l.mu.Unlock()
	select {
	case <-l.ended:
	case <-time.After(limit):
	}
}
