// Package chat holds the wire types of the OpenAI chat completions API, as
// callers send them and engines answer them.
//
// # Usage
//
//	var request chat.Request
//	err := json.Unmarshal(body, &request)
//
// Only the fields that the router reads are typed. The rest of a caller's body
// is passed on unread: see Request.WithModel.
package chat

import (
	"encoding/json"
	"fmt"
)

// Headers between the router and engines or services.
const (
	HeaderRequestID = "X-Request-Id" // echoed by endpoints
	HeaderAttempt   = "X-Attempt-Id" // one dispatch of a request; echoed
	HeaderPriority  = "X-Priority"
	HeaderRun       = "X-Run" // an endpoint's refusal says not_run
	// HeaderConfidence is an engine's confidence in its answer, 0 to 1.
	HeaderConfidence = "X-Answer-Confidence"
	// HeaderResumable asks an engine to go on when the connection breaks, so
	// that the stream can be resumed.
	HeaderResumable = "X-Resumable"
)

// NotRun is what an endpoint says of a request that it refused before any work.
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

// ParseRequest reads a caller's body.
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

// WithModel encodes the request for an engine, with the version in place of
// the caller's model and everything unread kept.
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

// WantsUsage reports whether the caller asked for usage in its stream.
func (r Request) WantsUsage() bool {
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := json.Unmarshal(r.raw["stream_options"], &options); err != nil {
		return false
	}
	return options.IncludeUsage
}

// Usage counts tokens of one answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one answer, whole (Message) or a piece of it (Delta).
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Completion is a whole answer or one chunk of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Objects of a Completion.
const (
	ObjectCompletion = "chat.completion"
	ObjectChunk      = "chat.completion.chunk"
)

// Done is the data of the event that ends a stream.
const Done = "[DONE]"

// Text makes a content of plain text.
func Text(s string) json.RawMessage {
	data, err := json.Marshal(s)
	if err != nil {
		return json.RawMessage(`""`)
	}
	return data
}

// ModelEntry is one line of the models list.
type ModelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList answers GET /v1/models.
type ModelList struct {
	Object string       `json:"object"`
	Data   []ModelEntry `json:"data"`
}
