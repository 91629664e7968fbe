// Package chat holds the wire types of the OpenAI chat completions API, for the requests of callers
// and the responses of engines.
//
// # Usage
//
//	var request chat.Request
//	err := json.Unmarshal(body, &request)
//
// Only the fields that the router reads are typed. The rest of a caller's body is forwarded
// unparsed: see Request.WithModel.
package chat

import (
	"encoding/json"
	"fmt"
)

// Headers between the router and engines or services.
const (
	HeaderRequestID = "X-Request-Id" // echoed by endpoints
	HeaderAttempt   = "X-Attempt-Id" // identifies one attempt of a request; echoed
	HeaderPriority  = "X-Priority"
	HeaderRun       = "X-Run" // not_run if the endpoint refused the request
	// HeaderConfidence is an engine's confidence in its answer, 0 to 1.
	HeaderConfidence = "X-Answer-Confidence"
	// HeaderResumable asks an engine to continue generating after the connection breaks, so that the
	// stream can be resumed.
	HeaderResumable = "X-Resumable"
)

// NotRun is the value of HeaderRun for a request that the endpoint refused before any work.
const NotRun = "not_run"

// Message is one turn of a conversation. Content may be text or parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content,omitempty"`
}

// Request is the part of a completion request that the router reads.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`

	raw map[string]json.RawMessage
}

// ParseRequest parses a caller's request body.
func ParseRequest(body []byte) (Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return Request{}, fmt.Errorf("parse completion request: %w", err)
	}
	if err := json.Unmarshal(body, &r.raw); err != nil {
		return Request{}, fmt.Errorf("parse completion request: %w", err)
	}
	return r, nil
}

// WithModel encodes the request for an engine, with the given version in place of the caller's
// model. Fields that the router does not read are kept. Streams always request usage.
func (r Request) WithModel(model string) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(r.raw)+2)
	for k, v := range r.raw {
		fields[k] = v
	}
	name, err := json.Marshal(model)
	if err != nil {
		return nil, fmt.Errorf("encode model: %w", err)
	}
	fields["model"] = name
	delete(fields, "stream")
	delete(fields, "stream_options")
	if r.Stream {
		fields["stream"] = json.RawMessage("true")
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode completion request: %w", err)
	}
	return body, nil
}

// WantsUsage reports whether the caller requested usage in its stream.
func (r Request) WantsUsage() bool {
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := json.Unmarshal(r.raw["stream_options"], &options); err != nil {
		return false
	}
	return options.IncludeUsage
}

// Usage is the token usage of one completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one generated choice, either whole (Message) or a part of it (Delta).
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Completion is a whole completion or one chunk of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Values of Completion.Object.
const (
	ObjectCompletion = "chat.completion"
	ObjectChunk      = "chat.completion.chunk"
)

// Done is the data of the event that ends a stream.
const Done = "[DONE]"

// Text encodes plain text as a message's content.
func Text(s string) json.RawMessage {
	data, err := json.Marshal(s)
	if err != nil {
		return json.RawMessage(`""`)
	}
	return data
}

// ModelEntry is one model in a ModelList.
type ModelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response to GET /v1/models.
type ModelList struct {
	Object string       `json:"object"`
	Data   []ModelEntry `json:"data"`
}
