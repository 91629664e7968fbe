package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
)

// maxPartLabel is the number of bytes of a part's ID that operators see.
const maxPartLabel = 12

// Part identifies a part of a prompt that other requests may have too.
type Part struct {
	Key   Fingerprint
	Label string // its ID, shortened, for operators
}

// NewPart returns the part with an ID, at a service: endpoints of other services may run it well.
func NewPart(service, id string) Part {
	h := sha256.New()
	_, _ = h.Write([]byte("part\x00" + service + "\x00" + id)) // a hash's Write never fails
	return Part{Key: Fingerprint(h.Sum(nil)[:fingerprintBytes]), Label: id[:min(len(id), maxPartLabel)]}
}

// Request is a request with all by which it may be known when endpoints crash under it again.
type Request struct {
	Fingerprint Fingerprint
	Workspace   string
	Parts       []Part // of its prompt, but for the last, which is its own
}

// MaxRequestParts is the number of parts by which one request is known, the first ones.
const MaxRequestParts = 32

// tag returns a short name of the request, by which requests with the same part are counted.
func (r Request) tag() uint32 { return binary.BigEndian.Uint32(r.Fingerprint[:]) }

// maxTags is the number of requests with a part that are kept of a crash.
const maxTags = 3

// PartRun is what is known of the requests with a part that had just begun, or had not begun yet, at
// an endpoint that crashed; an immutable value.
type PartRun struct {
	Label     string
	Workspace string   // whose requests they were; "" if Several
	Several   bool     // they were of several workspaces
	Requests  []uint32 // the tags of up to maxTags of them, in order
}

// newPartRun returns what one request tells of one of its parts.
func newPartRun(r Request, p Part) PartRun {
	return PartRun{Label: p.Label, Workspace: r.Workspace, Requests: []uint32{r.tag()}}
}

// Merge returns what both tell.
func (p PartRun) Merge(o PartRun) PartRun {
	if p.Label == "" {
		p.Label = o.Label
	}
	if p.Several || o.Several || p.Workspace != o.Workspace {
		p.Workspace, p.Several = "", true
	}
	tags := append(slices.Clone(p.Requests), o.Requests...)
	slices.Sort(tags)
	tags = slices.Compact(tags)
	p.Requests = tags[:min(len(tags), maxTags)]
	return p
}

// mergeParts adds what is told of parts at one crash to what is known.
func mergeParts(known, told map[Fingerprint]PartRun) map[Fingerprint]PartRun {
	if len(told) == 0 {
		return known
	}
	merged := maps.Clone(known)
	if merged == nil {
		merged = make(map[Fingerprint]PartRun, len(told))
	}
	for f, p := range told {
		if old, ok := merged[f]; ok {
			p = old.Merge(p)
		}
		merged[f] = p
	}
	return merged
}

// partRuns returns what a request tells of its parts at a crash.
func partRuns(r Request, parts []Part) map[Fingerprint]PartRun {
	runs := make(map[Fingerprint]PartRun, len(parts))
	for _, p := range parts {
		runs[p.Key] = newPartRun(r, p)
	}
	return runs
}
