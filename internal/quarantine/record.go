package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"quaybarrow/internal/codec"
)

// Limits on what a host sends. The stored part of a row stays under 64 KB, which also bounds what
// callers can make a host store.
const (
	maxCrashes   = 64
	maxRuns      = 256 // of all crashes together
	maxCompleted = 128
	maxParts     = 160 // of all crashes together
)

// record is what a host has seen, with times on its own steady clock.
type record struct {
	crashes   map[string]Crash // by endpoint instance
	completed map[Fingerprint]time.Duration
	cleared   map[Fingerprint]time.Duration // when parts of prompts were last seen to be answered
	answered  map[Fingerprint]time.Duration // when parts at crashes had been answered before
}

func newRecord() record {
	return record{crashes: map[string]Crash{}, completed: map[Fingerprint]time.Duration{}, cleared: map[Fingerprint]time.Duration{}, answered: map[Fingerprint]time.Duration{}}
}

// isEmpty reports whether the host has seen nothing.
func (r record) isEmpty() bool {
	return len(r.crashes) == 0 && len(r.completed) == 0 && len(r.cleared) == 0 && len(r.answered) == 0
}

// add adds a crash, or more of one that is known.
func (r record) add(c Crash) {
	known, ok := r.crashes[c.Endpoint]
	if !ok {
		c.UpdatedAt, c.Runs = 0, maps.Clone(c.Runs)
		r.crashes[c.Endpoint] = c
		return
	}
	known.At, known.Trimmed = min(known.At, c.At), known.Trimmed || c.Trimmed
	known.Parts = mergeParts(known.Parts, c.Parts)
	for f, run := range c.Runs {
		known.Runs[f] = known.Runs[f].Max(run)
	}
	r.crashes[c.Endpoint] = known
}

// complete notes that a request completed.
func (r record) complete(f Fingerprint, at time.Duration) {
	if old, ok := r.completed[f]; !ok || old < at {
		r.completed[f] = at
	}
}

// merge adds the contents of another record.
func (r record) merge(o record) {
	for _, c := range o.crashes {
		r.add(c)
	}
	for f, at := range o.completed {
		r.complete(f, at)
	}
	for key, at := range o.cleared {
		r.noteCleared(key, at)
	}
	for key, at := range o.answered {
		r.noteAnswered(key, at)
	}
}

// noteAnswered notes that an answer on a part ended whole at a time; the earliest counts.
func (r record) noteAnswered(key Fingerprint, at time.Duration) {
	if old, ok := r.answered[key]; !ok || at < old {
		r.answered[key] = at
	}
}

// trim drops entries older than a time, and entries beyond the limits: the oldest crashes first,
// except those of requests and parts for which keep returns true.
func (r record) trim(oldest time.Duration, keep func(f Fingerprint) bool) {
	maps.DeleteFunc(r.crashes, func(_ string, c Crash) bool { return c.At < oldest })
	maps.DeleteFunc(r.completed, func(_ Fingerprint, at time.Duration) bool { return at < oldest })
	crashes := slices.SortedFunc(maps.Values(r.crashes), func(a, b Crash) int {
		return cmp.Or(-compareBool(a.hasAny(keep), b.hasAny(keep)), cmp.Compare(b.At, a.At))
	})
	runs, parts := 0, 0
	for i, c := range crashes {
		runs, parts = runs+len(c.Runs), parts+len(c.Parts)
		if runs > maxRuns {
			c.Runs, c.Trimmed = map[Fingerprint]Run{}, true
		}
		if parts > maxParts {
			c.Parts = nil
		}
		if i >= maxCrashes || (c.Trimmed && len(c.Runs) == 0 && len(c.Parts) == 0) {
			delete(r.crashes, c.Endpoint)
			continue
		}
		r.crashes[c.Endpoint] = c
	}
	r.trimCleared(oldest)
	latest := slices.SortedFunc(maps.Keys(r.completed), func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(r.completed[b], r.completed[a]), slices.Compare(a[:], b[:]))
	})
	for _, f := range latest[min(len(latest), maxCompleted):] {
		delete(r.completed, f)
	}
}

// hasAny reports whether a request, or one with a part, for which wanted returns true ran at the
// crash.
func (c Crash) hasAny(wanted func(f Fingerprint) bool) bool {
	for f := range c.Runs {
		if wanted(f) {
			return true
		}
	}
	for key := range c.Parts {
		if wanted(key) {
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

// byTime compares crashes by their time.
func byTime(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Endpoint, b.Endpoint))
}

// sortedCrashes returns the crashes in order of time.
func sortedCrashes(r record) []Crash { return slices.SortedFunc(maps.Values(r.crashes), byTime) }

// unresolved returns what of the record still counts against some request, and against the parts for
// which wanted returns true.
func (r record) unresolved(wanted func(part Fingerprint) bool) record {
	o := newRecord()
	for _, c := range r.crashes {
		unresolvedCrash := Crash{Endpoint: c.Endpoint, Service: c.Service, At: c.At, Trimmed: c.Trimmed, Runs: map[Fingerprint]Run{}, Parts: map[Fingerprint]PartRun{}}
		for key, part := range c.Parts {
			if wanted(key) {
				unresolvedCrash.Parts[key] = part
			}
		}
		for f, run := range c.Runs {
			if end, ok := r.completed[f]; !ok || end < c.At {
				unresolvedCrash.Runs[f] = run
			}
		}
		if len(unresolvedCrash.Runs) > 0 || len(unresolvedCrash.Parts) > 0 {
			o.add(unresolvedCrash)
		}
	}
	return o
}

// Encoded forms of what a host has seen. Times are in ms, on a clock that the reader knows.
type (
	// storedJSON is a host's row in the store.
	storedJSON struct {
		Version int64   `json:"version"`
		Row     rowJSON `json:"row"`
	}
	rowJSON struct {
		Crashes  []crashJSON     `json:"crashes,omitempty"`
		Finished []completedJSON `json:"finished,omitempty"`
		Cleared  []completedJSON `json:"cleared,omitempty"`
		Answered []completedJSON `json:"answered,omitempty"`
	}
	crashJSON struct {
		Endpoint string     `json:"endpoint"`
		Service  string     `json:"service"`
		AtMs     int64      `json:"at_ms"`
		Runs     []runJSON  `json:"under,omitempty"`
		Parts    []partJSON `json:"parts,omitempty"`
		Trimmed  bool       `json:"trimmed,omitempty"`
	}
	partJSON struct {
		Part      Fingerprint `json:"part"`
		ID        string      `json:"id,omitempty"`
		Workspace string      `json:"of,omitempty"`
		Several   bool        `json:"several,omitempty"`
		Requests  []uint32    `json:"requests,omitempty"`
	}
	runJSON struct {
		Request    Fingerprint `json:"request"`
		LastedMs   int64       `json:"lasted_ms"`
		AnsweredMs int64       `json:"answered_ms,omitempty"`
		Copies     int         `json:"copies,omitempty"`
		Of         string      `json:"of,omitempty"`
	}
	completedJSON struct {
		Request Fingerprint `json:"request"`
		AtMs    int64       `json:"at_ms"`
	}
)

// toJSON returns the encoded form; offset is how far the reader's clock is ahead of the record's.
// Runs of requests that completed afterwards are left out.
func (r record) toJSON(offset time.Duration) rowJSON {
	var w rowJSON
	at := func(d time.Duration) int64 { return (d + offset).Milliseconds() }
	for _, c := range sortedCrashes(r) {
		crash := crashJSON{Endpoint: c.Endpoint, Service: c.Service, AtMs: at(c.At), Trimmed: c.Trimmed}
		for _, key := range sortedFingerprints(c.Parts) {
			p := c.Parts[key]
			crash.Parts = append(crash.Parts, partJSON{Part: key, ID: p.Label, Workspace: p.Workspace, Several: p.Several, Requests: p.Requests})
		}
		for _, f := range sortedFingerprints(c.Runs) {
			if end, ok := r.completed[f]; ok && end >= c.At {
				continue
			}
			run := c.Runs[f]
			crash.Runs = append(crash.Runs, runJSON{
				Request: f, LastedMs: run.Lasted.Milliseconds(), AnsweredMs: run.ResponseLasted.Milliseconds(), Copies: run.Copies, Of: run.Label,
			})
		}
		w.Crashes = append(w.Crashes, crash)
	}
	for _, f := range sortedFingerprints(r.completed) {
		w.Finished = append(w.Finished, completedJSON{Request: f, AtMs: at(r.completed[f])})
	}
	for _, key := range sortedFingerprints(r.cleared) {
		w.Cleared = append(w.Cleared, completedJSON{Request: key, AtMs: at(r.cleared[key])})
	}
	for _, key := range sortedFingerprints(r.answered) {
		w.Answered = append(w.Answered, completedJSON{Request: key, AtMs: at(r.answered[key])})
	}
	return w
}

// sortedFingerprints returns the keys of a map in a fixed order.
func sortedFingerprints[V any](m map[Fingerprint]V) []Fingerprint {
	return slices.SortedFunc(maps.Keys(m), func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
}

// toRecord decodes the encoded form.
func (w rowJSON) toRecord(offset time.Duration) record {
	r := newRecord()
	at := func(ms int64) time.Duration { return time.Duration(ms)*time.Millisecond - offset }
	for _, c := range w.Crashes {
		crash := Crash{Endpoint: c.Endpoint, Service: c.Service, At: at(c.AtMs), Trimmed: c.Trimmed, Runs: map[Fingerprint]Run{}, Parts: map[Fingerprint]PartRun{}}
		for _, p := range c.Parts {
			crash.Parts[p.Part] = PartRun{Label: p.ID, Workspace: p.Workspace, Several: p.Several, Requests: p.Requests}
		}
		for _, run := range c.Runs {
			crash.Runs[run.Request] = Run{
				Lasted: time.Duration(run.LastedMs) * time.Millisecond, ResponseLasted: time.Duration(run.AnsweredMs) * time.Millisecond, Copies: run.Copies, Label: run.Of,
			}
		}
		r.add(crash)
	}
	for _, f := range w.Finished {
		r.complete(f.Request, at(f.AtMs))
	}
	for _, f := range w.Cleared {
		r.noteCleared(f.Request, at(f.AtMs))
	}
	for _, f := range w.Answered {
		r.noteAnswered(f.Request, at(f.AtMs))
	}
	return r
}

// encode encodes the record for other hosts.
func (r record) encode(offset time.Duration) ([]byte, error) { return codec.Encode(r.toJSON(offset)) }

// decodeRecord decodes a record that another host sent.
func decodeRecord(data []byte, offset time.Duration) (record, error) {
	w, err := codec.Decode[rowJSON](data)
	if err != nil {
		return record{}, err
	}
	return w.toRecord(offset), nil
}

// encodeStored encodes a host's row in the store.
func encodeStored(r record, version int64, offset time.Duration) ([]byte, error) {
	return codec.Encode(storedJSON{Version: version, Row: r.toJSON(offset)})
}

// decodeStored decodes a host's row in the store.
func decodeStored(data []byte, offset time.Duration) (row, error) {
	w, err := codec.Decode[storedJSON](data)
	if err != nil {
		return row{}, err
	}
	return row{w.Row.toRecord(offset), w.Version}, nil
}
