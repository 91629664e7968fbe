package gateway

import (
	"net/http"
	"time"

	"quaybarrow/internal/fleet"
)

// NoConfidence stands for a confidence that an answer does not tell.
const NoConfidence = -1

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestHeader is what a caller says in the head of a request.
type RequestHeader struct {
	ID          string
	APIKey      string // the caller's key
	APIKeyCount int    // how many it gave; more than one is an error
	LastEventID string // of a stream that is taken up again
	Model       string
	Session     string
	Timeout     time.Duration // how long the caller waits; 0 if it does not say
	TokensIn    int
	TokensOut   int // at most
	Parts       []PromptPart
}

// sharedTokens counts the prompt's tokens that other requests have too: those of all
// parts but the last.
func (a RequestHeader) sharedTokens() int {
	n := 0
	for i := range len(a.Parts) - 1 {
		n += a.Parts[i].Tokens
	}
	return n
}

// AttemptHeader is what an endpoint is told about a request.
type AttemptHeader struct {
	Instance    string // what the endpoint calls itself; no other one runs it
	Workspace   string
	Model       string // empty leaves the caller's
	LastEventID string // empty leaves the caller's
	TimeLeft    time.Duration
	Urgency     int // 0 goes first; -1 says nothing
}

// ResponseHeader is what an endpoint says in the head of an answer.
type ResponseHeader struct {
	RequestID  string
	Sealed     bool // the endpoint made it
	NotRun     bool // the request did not run
	Load       fleet.Load
	Limit      fleet.Limit
	Confidence float64 // the model's own of its answer, 0 to 100
}

// Codec translates heads between a platform's names and these types.
type Codec interface {
	// ParseRequest reads a caller's head.
	ParseRequest(h http.Header) RequestHeader
	// EndpointHeader makes an endpoint's head from a caller's.
	EndpointHeader(h http.Header, a AttemptHeader) http.Header
	// ParseResponse reads an endpoint's head.
	ParseResponse(h http.Header) ResponseHeader
	// CallerHeader makes a caller's head from an endpoint's.
	CallerHeader(h http.Header) http.Header
	// SetRefusal marks the answer to a request that the gateway answers itself.
	SetRefusal(h http.Header, id string, retryAfter time.Duration)
}
