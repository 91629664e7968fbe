package gateway

import (
	"math"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"

	"quaybarrow/internal/bound"
)

// unbounded returns a holder of memory without a bound on all events.
func unbounded() *bound.Holder {
	return bound.NewMemory(func() int64 { return math.MaxInt64 }).NewHolder(bound.PlaceEvent, func() {})
}

// FuzzEvents checks that a stream yields its complete events in order, once each, and nothing
// else, however its bytes are split between reads.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "", true)
	f.Add("id: 1\ndata: a\n\nid: 2\nda", "", false)
	f.Add("data: no id\n\n\n\nid: 5\n\n", "4", true)
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\ni", "", true)
	f.Add("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", "", false)
	f.Add("id: 1\rdata: a\r\rid: 2\rda", "", true)
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
		if a != "" && !endsWithEmptyLine(a) {
			t.Fatalf("the last event is incomplete: %q", a)
		}
		if cleanA && strings.Trim(text, "\r\n") != "" && !endsWithEmptyLine(text) {
			t.Fatalf("%q ended cleanly", text)
		}
	})
}

// emptyLine matches the end of a text whose last line is empty, and those after it.
var emptyLine = regexp.MustCompile(`(^|\r\n|\n|\r)(\r\n|\n|\r)$`)

func endsWithEmptyLine(text string) bool { return emptyLine.MatchString(text) }

// lineEnds are the line ends of streams.
var lineEnds = map[string]string{"LF": "\n", "CR LF": "\r\n", "CR": "\r"}

// TestCutStreamsDoNotEndAsComplete guards against a stream that breaks off inside an event, or before
// its first one, and ends as complete.
func TestCutStreamsDoNotEndAsComplete(t *testing.T) {
	for name, end := range lineEnds {
		t.Run(name, func(t *testing.T) {
			first := "id: 1" + end + "data: a" + end + end
			stream := first + end + ": a comment" + end + "id: 2" + end + "data: b" + end + end
			for cut := range len(stream) + 1 {
				e := newEventReader(iotest.OneByteReader(strings.NewReader(stream[:cut])), "", unbounded())
				var err error
				for err == nil {
					_, err = e.next()
				}
				rest := strings.TrimPrefix(stream[:cut], first)
				between := cut == len(stream) || cut >= len(first) && strings.Trim(rest, "\r\n") == "" || strings.Trim(stream[:cut], "\r\n") == ""
				// The LF of the last line end changes nothing.
				between = between || end == "\r\n" && (cut == len(first)-1 || cut == len(stream)-1)
				if complete := errors.Is(err, errStreamEnd); complete != between {
					t.Errorf("%q ends as complete: %v (%v)", stream[:cut], complete, err)
				}
			}
		})
	}
}

// TestEmptyLinesAfterTheLastEventArePassedOn guards against an answer whose body is not the endpoint's.
func TestEmptyLinesAfterTheLastEventArePassedOn(t *testing.T) {
	for name, end := range lineEnds {
		stream := "id: 1" + end + "data: a" + end + end + end
		e := newEventReader(strings.NewReader(stream), "", unbounded())
		var passedOn strings.Builder
		for {
			c, err := e.next()
			passedOn.Write(c.data)
			if err != nil {
				break
			}
		}
		if passedOn.String() != stream {
			t.Errorf("%s: %q is passed on of %q", name, passedOn.String(), stream)
		}
	}
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
