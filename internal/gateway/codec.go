package gateway

import (
	"iter"
	"net/http"
	"time"

	"quaybarrow/internal/fleet"
)

// NoConfidence stands for the confidence of a response that states none.
const NoConfidence = -1

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestHeader is the information in the header of a caller's request.
type RequestHeader struct {
	ID          string
	APIKey      string // the caller's API key
	APIKeyCount int    // number of API keys given; more than one is an error
	LastEventID string // ID of the last event received, for a stream that is resumed
	Model       string
	Session     string
	Timeout     time.Duration // how long the caller waits; 0 if it does not say
	TokensIn    int
	TokensOut   int // maximum
	Parts       []PromptPart
}

// SharedParts returns the parts of the prompt that other requests may have too: all but the last,
// which is the request's or its session's own.
func (h RequestHeader) SharedParts() []PromptPart { return h.Parts[:max(len(h.Parts)-1, 0)] }

// sharedTokens counts the prompt's tokens that other requests have too.
func (h RequestHeader) sharedTokens() int {
	n := 0
	for _, p := range h.SharedParts() {
		n += p.Tokens
	}
	return n
}

// AttemptHeader is the information about a request that is sent to an endpoint.
type AttemptHeader struct {
	Instance    string // the endpoint's own name; no other endpoint runs the request
	Workspace   string
	Model       string // empty keeps the caller's
	LastEventID string // empty keeps the caller's
	TimeLeft    time.Duration
	Urgency     int // 0 goes first; -1 leaves it to the endpoint
}

// ResponseHeader is the information in the header of an endpoint's response.
type ResponseHeader struct {
	RequestID  string
	Sealed     bool    // the endpoint produced the response
	NotRun     bool    // the request did not run
	Confidence float64 // the model's confidence in its answer, 0 to 100
	fleet.Statement
}

// Codec translates between headers with a platform's field names and these types.
type Codec interface {
	// ParseRequest parses the header of a caller's request.
	ParseRequest(h http.Header) RequestHeader
	// EndpointHeader derives the header of the request to an endpoint from the caller's.
	EndpointHeader(h http.Header, a AttemptHeader) http.Header
	// ParseResponse parses the header of an endpoint's response.
	ParseResponse(h http.Header) ResponseHeader
	// UnknownFields returns the names of the fields of an endpoint's response that the codec does not
	// know.
	UnknownFields(h http.Header) iter.Seq[string]
	// CallerHeader derives the header of the response to the caller from the endpoint's.
	CallerHeader(h http.Header) http.Header
	// SetRefusal sets the header fields of a response that the gateway itself produces.
	SetRefusal(h http.Header, id string, retryAfter time.Duration)
}
