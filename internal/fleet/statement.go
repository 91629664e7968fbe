package fleet

import (
	"time"

	"quaybarrow/internal/clock"
)

// Statement is what a response says about the endpoint that sent it.
type Statement struct {
	Load    Load
	Limit   Limit
	Brittle Brittle
	Leaving bool // it stops soon and takes no new requests
	Pause   Pause
}

// Pause is for how long an endpoint that turns a request away wants no other from the host that sent
// it.
type Pause struct {
	For    time.Duration // 0 if it asks for none
	Unread string        // the beginning of the text if it can't be parsed
}

// Origin describes the response that a statement is from.
type Origin struct {
	Request string        // ID of the request
	Sent    clock.Instant // when the request was sent
	Sealed  bool          // the endpoint produced the response
	NotRun  bool          // the response says that the endpoint did not run the request
}

// Change is what a statement has changed. Limits are in requests a second, 0 for none; brittleness is
// in rejections a second that an endpoint survives, 0 for a service that is not brittle.
type Change struct {
	LimitBefore, LimitAfter     float64
	BrittleBefore, BrittleAfter int
}

// Observe records what a response of an endpoint says about it. That a field is missing counts only
// in a response that has all fields: one that the endpoint has sealed, or for brittleness one that
// says that the request did not run.
func (f *Fleet) Observe(id string, s Statement, o Origin) Change {
	var c Change
	if s.Limit.Named || s.Limit.Unread != "" || o.Sealed {
		c.LimitBefore, c.LimitAfter = f.ObserveLimit(id, s.Limit, o.Sent)
	}
	if s.Brittle.Named || o.Sealed || o.NotRun {
		c.BrittleBefore, c.BrittleAfter = f.ObserveBrittle(id, s.Brittle, o.Sent)
	}
	if s.Leaving {
		f.NoteLeaving(id, NoticeSource{By: NoticeInResponse, Request: o.Request})
	}
	if s.Pause.For > 0 {
		f.notePause(id, s.Pause.For, s.Load, NoticeSource{By: NoticeInResponse, Request: o.Request})
	}
	return c
}
