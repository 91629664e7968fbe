// Package bound limits what a host reads of an endpoint's response. A faulty endpoint may send bytes
// without end, in the head of a response, in one that is to be skipped, in an event, or in a body.
//
// # Usage
//
//	head := bound.NewHeadReader(connection)
//	reader := bufio.NewReader(head)
//	head.Begin(buffered)
//	response, err := http.ReadResponse(reader, request)
//	head.End()
//	if err := head.Err(); err != nil { ... } // the parser may return another error for it
//
//	holder := memory.NewHolder(bound.PlaceEvent, connection.Interrupt)
//	defer holder.Release()
//	if err := holder.Resize(len(event)); err != nil { ... }
//
// A response that exceeds its bound is reported as an Error. The request may have run, and the endpoint
// has failed.
package bound

import (
	"fmt"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"quaybarrow/internal/telemetry"
)

// Bounds of responses.
const (
	HeadBytes    = 64 << 10 // status line and header of one response
	HeadLines    = 100      // status line and header lines of one response
	SkippedBytes = 64 << 10 // bodies of all responses that are skipped for one request
	EventBytes   = 1 << 20  // one event of a stream
)

// Place is the part of a response that exceeds its bound.
type Place string

// Places.
const (
	PlaceHead    Place = "head"
	PlaceSkipped Place = "skipped" // an informational response, or one to an earlier request
	PlaceEvent   Place = "event"
	PlaceBody    Place = "body" // one that is read whole before it is passed on
)

// Error means that a response exceeds its bound.
type Error struct {
	Place Place
	Bytes int64 // read of the part
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("response exceeds its bound: %s of %d bytes or more", e.Place, e.Bytes)
}

// IsExceeded reports whether an error means that a response exceeds its bound.
func IsExceeded(err error) bool {
	var e *Error
	return errors.As(err, &e)
}

// Report counts and logs a response that exceeds its bound. It ignores other errors.
func Report(err error, t *telemetry.Telemetry, l *log.Logger, request, endpoint string) {
	var e *Error
	if !errors.As(err, &e) {
		return
	}
	t.Count("endless_responses", 1, telemetry.Label("place", string(e.Place)))
	if l != nil {
		l.Warn("response exceeds its bound", "id", request, "endpoint", endpoint, "place", e.Place, "bytes", e.Bytes)
	}
}
