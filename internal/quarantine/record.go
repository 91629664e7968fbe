package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"quaybarrow/internal/codec"
)

// Bounds of what a host tells. A row is some 20 KB at most; what callers make a host keep is
// no more than that.
const (
	crashesMost  = 64
	runsMost     = 256 // of all crashes together
	finishedMost = 128
)

// record is what a host has seen, on a steady clock of its own.
type record struct {
	crashes  map[string]Crash // by the endpoint's start
	finished map[Fingerprint]time.Duration
}

func newRecord() record {
	return record{crashes: map[string]Crash{}, finished: map[Fingerprint]time.Duration{}}
}

// isEmpty reports whether the host has seen nothing.
func (r record) isEmpty() bool { return len(r.crashes) == 0 && len(r.finished) == 0 }

// add takes in a crash, or more of one that is known.
func (r record) add(c Crash) {
	known, ok := r.crashes[c.Endpoint]
	if !ok {
		r.crashes[c.Endpoint] = Crash{Endpoint: c.Endpoint, Service: c.Service, At: c.At, Under: maps.Clone(c.Under)}
		return
	}
	known.At = min(known.At, c.At)
	for f, run := range c.Under {
		known.Under[f] = known.Under[f].Longer(run)
	}
	r.crashes[c.Endpoint] = known
}

// finish takes in that a request came to a good end.
func (r record) finish(f Fingerprint, at time.Duration) {
	if old, ok := r.finished[f]; !ok || old < at {
		r.finished[f] = at
	}
}

// merge takes in what another record has.
func (r record) merge(o record) {
	for _, c := range o.crashes {
		r.add(c)
	}
	for f, at := range o.finished {
		r.finish(f, at)
	}
}

// trim drops what is older than a moment, and what is beyond the bounds: the oldest crashes
// but those of requests that are to be kept.
func (r record) trim(oldest time.Duration, keep func(f Fingerprint) bool) {
	maps.DeleteFunc(r.crashes, func(_ string, c Crash) bool { return c.At < oldest })
	maps.DeleteFunc(r.finished, func(_ Fingerprint, at time.Duration) bool { return at < oldest })
	crashes := slices.SortedFunc(maps.Values(r.crashes), func(a, b Crash) int {
		return cmp.Or(-compareBool(a.has(keep), b.has(keep)), cmp.Compare(b.At, a.At))
	})
	runs := 0
	for i, c := range crashes {
		runs += len(c.Under)
		if i >= crashesMost || runs > runsMost {
			delete(r.crashes, c.Endpoint)
		}
	}
	latest := slices.SortedFunc(maps.Keys(r.finished), func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(r.finished[b], r.finished[a]), slices.Compare(a[:], b[:]))
	})
	for _, f := range latest[min(len(latest), finishedMost):] {
		delete(r.finished, f)
	}
}

// has reports whether one of some requests was at the crash.
func (c Crash) has(wanted func(f Fingerprint) bool) bool {
	for f := range c.Under {
		if wanted(f) {
			return true
		}
	}
	return false
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// byTime compares crashes by when they were.
func byTime(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Endpoint, b.Endpoint))
}

// sortedCrashes lists crashes in the order of time.
func sortedCrashes(r record) []Crash { return slices.SortedFunc(maps.Values(r.crashes), byTime) }

// open is the part of the record that still speaks against somebody.
func (r record) open() record {
	o := newRecord()
	for _, c := range r.crashes {
		left := Crash{Endpoint: c.Endpoint, Service: c.Service, At: c.At, Under: map[Fingerprint]Run{}}
		for f, run := range c.Under {
			if end, ok := r.finished[f]; !ok || end < c.At {
				left.Under[f] = run
			}
		}
		if len(left.Under) > 0 {
			o.add(left)
		}
	}
	return o
}

// Wire forms of what a host has seen. Times are ms, on a clock that the reader knows.
type (
	// keptJSON is a host's row in the store.
	keptJSON struct {
		Version int64   `json:"version"`
		Row     rowJSON `json:"row"`
	}
	rowJSON struct {
		Crashes  []crashJSON  `json:"crashes,omitempty"`
		Finished []finishJSON `json:"finished,omitempty"`
	}
	crashJSON struct {
		Endpoint string    `json:"endpoint"`
		Service  string    `json:"service"`
		AtMs     int64     `json:"at_ms"`
		Under    []runJSON `json:"under,omitempty"`
	}
	runJSON struct {
		Request    Fingerprint `json:"request"`
		LastedMs   int64       `json:"lasted_ms"`
		AnsweredMs int64       `json:"answered_ms,omitempty"`
		Copies     int         `json:"copies,omitempty"`
		Of         string      `json:"of,omitempty"`
	}
	finishJSON struct {
		Request Fingerprint `json:"request"`
		AtMs    int64       `json:"at_ms"`
	}
)

// toJSON makes the wire form; ahead is how far the reader's clock is ahead of the record's. Runs
// of requests that came to a good end afterwards are left out.
func (r record) toJSON(ahead time.Duration) rowJSON {
	var w rowJSON
	at := func(d time.Duration) int64 { return (d + ahead).Milliseconds() }
	for _, c := range sortedCrashes(r) {
		crash := crashJSON{Endpoint: c.Endpoint, Service: c.Service, AtMs: at(c.At)}
		for _, f := range sorted(c.Under) {
			if end, ok := r.finished[f]; ok && end >= c.At {
				continue
			}
			run := c.Under[f]
			crash.Under = append(crash.Under, runJSON{
				Request: f, LastedMs: run.Lasted.Milliseconds(), AnsweredMs: run.ResponseLasted.Milliseconds(), Copies: run.Copies, Of: run.Label,
			})
		}
		w.Crashes = append(w.Crashes, crash)
	}
	for _, f := range sorted(r.finished) {
		w.Finished = append(w.Finished, finishJSON{Request: f, AtMs: at(r.finished[f])})
	}
	return w
}

// sorted lists the requests of a map in an order.
func sorted[V any](of map[Fingerprint]V) []Fingerprint {
	return slices.SortedFunc(maps.Keys(of), func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
}

// record reads the wire form.
func (w rowJSON) record(ahead time.Duration) record {
	r := newRecord()
	at := func(ms int64) time.Duration { return time.Duration(ms)*time.Millisecond - ahead }
	for _, c := range w.Crashes {
		crash := Crash{Endpoint: c.Endpoint, Service: c.Service, At: at(c.AtMs), Under: map[Fingerprint]Run{}}
		for _, run := range c.Under {
			crash.Under[run.Request] = Run{
				Lasted: time.Duration(run.LastedMs) * time.Millisecond, ResponseLasted: time.Duration(run.AnsweredMs) * time.Millisecond, Copies: run.Copies, Label: run.Of,
			}
		}
		r.add(crash)
	}
	for _, f := range w.Finished {
		r.finish(f.Request, at(f.AtMs))
	}
	return r
}

// encode makes what is told other hosts.
func (r record) encode(ahead time.Duration) ([]byte, error) { return codec.Encode(r.toJSON(ahead)) }

// decodeRecord reads what another host told.
func decodeRecord(data []byte, ahead time.Duration) (record, error) {
	w, err := codec.Decode[rowJSON](data)
	if err != nil {
		return record{}, err
	}
	return w.record(ahead), nil
}

// encodeKept makes a host's row in the store.
func encodeKept(r record, version int64, ahead time.Duration) ([]byte, error) {
	return codec.Encode(keptJSON{Version: version, Row: r.toJSON(ahead)})
}

// decodeKept reads a host's row in the store.
func decodeKept(data []byte, ahead time.Duration) (row, error) {
	w, err := codec.Decode[keptJSON](data)
	if err != nil {
		return row{}, err
	}
	return row{w.Row.record(ahead), w.Version}, nil
}
