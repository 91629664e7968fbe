package gateway

import (
	"math"
	"strings"
	"testing"
	"testing/iotest"

	"quaybarrow/internal/bound"
)

// unbounded returns a holder of memory without a bound on all events.
func unbounded() *bound.Holder {
	return bound.NewMemory(func() int64 { return math.MaxInt64 }).NewHolder(func() {})
}

// FuzzEvents checks that a stream yields its complete events in order, once each, and nothing
// else, however its bytes are split between reads.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "", true)
	f.Add("id: 1\ndata: a\n\nid: 2\nda", "", false)
	f.Add("data: no id\n\n\n\nid: 5\n\n", "4", true)
	f.Fuzz(func(t *testing.T, text, last string, slow bool) {
		read := func(oneByOne bool) (string, bool) {
			from := strings.NewReader(text)
			var e *eventReader
			if oneByOne {
				e = newEventReader(iotest.OneByteReader(from), last, unbounded())
			} else {
				e = newEventReader(from, last, unbounded())
			}
			var out strings.Builder
			for {
				c, err := e.next()
				out.Write(c.data)
				if err != nil {
					return out.String(), err == errStreamEnd //nolint:errorlint // identity tells a clean end
				}
			}
		}
		a, cleanA := read(slow)
		b, cleanB := read(!slow)
		if a != b || cleanA != cleanB {
			t.Fatalf("reads of different sizes gave %q and %q, ended cleanly: %v and %v", a, b, cleanA, cleanB)
		}
		if a != "" && !strings.HasSuffix(a, "\n\n") {
			t.Fatalf("the last event is incomplete: %q", a)
		}
		if cleanA && len(text) > 0 && !strings.HasSuffix(text, "\n\n") {
			t.Fatalf("%q ended cleanly", text)
		}
	})
}

func TestEventsAreNotRepeated(t *testing.T) {
	e := newEventReader(strings.NewReader("id: 3\ndata: old\n\nid: 4\ndata: new\n\n"), "3", unbounded())
	c, err := e.next()
	if err != nil || string(c.data) != "id: 4\ndata: new\n\n" || c.events != 1 || c.lastID != "4" {
		t.Fatalf("got %q, %d events, last %s: %v", c.data, c.events, c.lastID, err)
	}
}

func FuzzFraming(f *testing.F) {
	f.Add("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
	f.Fuzz(func(t *testing.T, head string) {
		low := strings.ToLower(head)
		problem := framingProblem([]byte(head))
		if strings.Contains(low, "\r\ncontent-length:") && strings.Contains(low, "\r\ntransfer-encoding:") && problem == "" {
			t.Fatalf("%q has two lengths", head)
		}
	})
}
