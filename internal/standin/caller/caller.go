// Package caller is a stand-in for the people and programs that call the API.
// It sends requests as any client would and records what it saw, for package
// check.
//
// # Usage
//
//	c := caller.New(httpClient)
//	o := c.Chat(ctx, caller.Ask{Address: address, Key: key, Model: "support", Workspace: "clerks"})
//	history := c.Observations()
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"quaybarrow/internal/chat"
	"quaybarrow/internal/check"
	"quaybarrow/internal/entry"
	"quaybarrow/internal/problem"
)

// Ask describes a request.
type Ask struct {
	Address   string // of a host, ip:port
	Key       string // API key
	Workspace string
	Model     string
	Class     string // for the ratings; the model if empty
	Kind      check.Kind
	Stream    bool
	Tokens    int
	System    string // first message; shared by requests of one prefix

	SessionToken   string
	SessionName    string
	NewSession     bool
	Session        string // the caller's own word for the session
	IdempotencyKey string

	Service       string // of service calls
	Call          string
	Nonrepeatable bool
	Prompt        string // made if empty; given again for a repeat
}

// Caller sends requests and records them.
type Caller struct {
	http *http.Client

	mu           sync.Mutex // guards all below
	serial       int
	observations []check.Observation
}

// New returns a caller.
func New(client *http.Client) *Caller { return &Caller{http: client} }

// Observations returns a copy of what was seen.
func (c *Caller) Observations() []check.Observation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]check.Observation(nil), c.observations...)
}

// Prompt makes a prompt that no other request has. It names the workspace and
// class, so that the rating stand-in knows whom an answer was for.
func (c *Caller) Prompt(workspace, class string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	return fmt.Sprintf("%s/%s/%06d", workspace, class, c.serial)
}

// SplitPrompt returns the workspace and class of a prompt.
func SplitPrompt(prompt string) (workspace, class string) {
	parts := strings.Split(prompt, "/")
	if len(parts) < 3 {
		return "", ""
	}
	return parts[0], parts[1]
}

// Result is an observation with what only the caller needs of it.
type Result struct {
	check.Observation
	SessionToken string
	RetryAfter   string
	Code         problem.Code
	Status       int
	Body         []byte // of an answer in one piece
	Err          error  // of the transport
}

// Chat sends a completion.
func (c *Caller) Chat(ctx context.Context, a Ask) Result {
	if a.Prompt == "" {
		class := a.Class
		if class == "" {
			class = a.Model
		}
		a.Prompt = c.Prompt(a.Workspace, class)
	}
	messages := []chat.Message{{Role: "user", Content: chat.Text(a.Prompt)}}
	if a.System != "" {
		messages = append([]chat.Message{{Role: "system", Content: chat.Text(a.System)}}, messages...)
	}
	body, err := json.Marshal(chat.Request{Model: a.Model, Messages: messages, Stream: a.Stream, MaxTokens: a.Tokens})
	if err != nil {
		return Result{Err: err}
	}
	return c.send(ctx, a, "/v1/chat/completions", body)
}

// Serve sends a call to a plain service.
func (c *Caller) Serve(ctx context.Context, a Ask) Result {
	if a.Prompt == "" {
		a.Prompt = c.Prompt(a.Workspace, a.Service+"."+a.Call)
	}
	a.Kind = check.KindService
	return c.send(ctx, a, "/v1/services/"+a.Service+"/"+a.Call, []byte(a.Prompt))
}

// send makes the exchange and records it.
func (c *Caller) send(ctx context.Context, a Ask, path string, body []byte) Result {
	r := Result{Observation: check.Observation{
		Kind: a.Kind, Workspace: a.Workspace, Prompt: a.Prompt, Session: a.Session, Key: a.IdempotencyKey,
		Nonrepeatable: a.Nonrepeatable, Sent: time.Now(), Run: problem.Unknown,
	}}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address+path, bytes.NewReader(body))
	if err != nil {
		r.Err = err
		return r
	}
	headers(request.Header, a)
	response, err := c.http.Do(request)
	if err != nil {
		r.Err = err
		r.Done = time.Now()
		c.keep(r.Observation)
		return r
	}
	defer func() { _ = response.Body.Close() }()
	r.read(response)
	r.Done = time.Now()
	c.keep(r.Observation)
	return r
}

func headers(h http.Header, a Ask) {
	h.Set("Authorization", "Bearer "+a.Key)
	h.Set("Content-Type", "application/json")
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set(entry.HeaderSessionToken, a.SessionToken)
	set(entry.HeaderSessionName, a.SessionName)
	set(entry.HeaderIdempotencyKey, a.IdempotencyKey)
	if a.NewSession {
		h.Set(entry.HeaderSession, "new")
	}
}

func (c *Caller) keep(o check.Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observations = append(c.observations, o)
}

// read takes in a response.
func (r *Result) read(response *http.Response) {
	r.Status = response.StatusCode
	r.Version = response.Header.Get(entry.HeaderVersion)
	r.SessionToken = response.Header.Get(entry.HeaderSessionToken)
	r.RetryAfter = response.Header.Get("Retry-After")
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		r.readStream(response.Body)
		return
	}
	body, err := io.ReadAll(response.Body)
	r.Body, r.Err = body, err
	if r.Status >= http.StatusBadRequest {
		r.readProblem(body)
		return
	}
	r.First = time.Now()
	r.Answered, r.Ended = err == nil, err == nil
	r.Answer = textOf(body)
}

// readProblem takes in an error's body.
func (r *Result) readProblem(body []byte) {
	var failed problem.Body
	if err := json.Unmarshal(body, &failed); err == nil && failed.Run != "" {
		r.Run, r.Code = failed.Run, failed.Error.Code
	}
}

// textOf is the text of a whole answer, or a service's reply as it is.
func textOf(body []byte) string {
	var answer chat.Completion
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) == 0 || answer.Choices[0].Message == nil {
		return string(body)
	}
	var text string
	if err := json.Unmarshal(answer.Choices[0].Message.Content, &text); err != nil {
		return string(body)
	}
	return text
}

// readStream takes in a stream of events.
func (r *Result) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == chat.Done {
			r.Ended = true
			continue
		}
		r.readChunk([]byte(data))
	}
	r.Err = lines.Err()
	r.Answered = r.Answer != "" && r.Code == ""
	if !r.Answered && r.Run == problem.Unknown && r.Answer != "" {
		r.Run = problem.Ran
	}
}

func (r *Result) readChunk(data []byte) {
	var chunk chat.Completion
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Delta == nil {
		r.readProblem(data)
		return
	}
	var text string
	if err := json.Unmarshal(chunk.Choices[0].Delta.Content, &text); err != nil {
		return
	}
	if r.First.IsZero() {
		r.First = time.Now()
	}
	r.Answer += text
}
