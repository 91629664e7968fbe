package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"quaybarrow/internal/clock"
)

// Limits on log lines.
const (
	// lineQueueSize is the number of lines that are queued for a slow output.
	lineQueueSize = 1024
	// maxLinesPerSecond limits the log volume under load. A host serves a few dozen requests
	// per second, each of which logs one or two lines.
	maxLinesPerSecond = 500
)

// LogWriter is an io.Writer for log lines that never blocks the caller. It drops and counts
// lines that exceed the rate limit or arrive while the queue to the output is full.
type LogWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.Mutex // guards the fields below
	second int64
	lines  int
	closed bool
	start  clock.Steady
}

// NewLogWriter starts a LogWriter that writes to out.
func NewLogWriter(out io.Writer) *LogWriter {
	l := &LogWriter{out: out, queue: make(chan []byte, lineQueueSize), done: make(chan struct{}), start: clock.NewSteady()}
	go l.run()
	return l
}

// Write implements io.Writer. Each call writes one line.
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

// allow counts a line and reports whether it is within the limit of this second.
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
		// The error is ignored: there is no other place to report a failure to write the log.
		_, _ = l.out.Write(line)
	}
}

// Dropped returns the number of dropped lines.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

// Close stops accepting lines and waits up to limit for the queued ones to be written.
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
