// Package client is a client of the operator API of a host.
//
// # Usage
//
//	c := client.New("http://10.0.0.1:7200", key, http.DefaultTransport)
//	reply, err := c.Do(ctx, operator.DoRequest{Base: operator.BaseNewest, Text: "show hosts"})
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"quaybarrow/internal/operator"
	"quaybarrow/internal/telemetry"
)

// Client calls the operator API of one host.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a client for the host at the URL base.
func New(base, key string, transport http.RoundTripper) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), key: key, http: &http.Client{Transport: transport}}
}

// Error is an error response of the API.
type Error struct {
	Status int
	Reply  operator.ErrorReply
}

// Error returns the message of the response.
func (e *Error) Error() string { return e.Reply.Error }

// call sends one request, with a JSON body unless request is nil, and decodes the reply.
func call[Reply any](ctx context.Context, c *Client, method, path string, request any) (Reply, error) {
	var reply Reply
	var body bytes.Buffer
	if request != nil {
		if err := json.NewEncoder(&body).Encode(request); err != nil {
			return reply, fmt.Errorf("encode request: %w", err)
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, &body)
	if err != nil {
		return reply, fmt.Errorf("build request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.http.Do(r)
	if err != nil {
		return reply, fmt.Errorf("ask %s: %w", c.base, err)
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode != http.StatusOK {
		failure := &Error{Status: response.StatusCode}
		if err := decoder.Decode(&failure.Reply); err != nil {
			failure.Reply.Error = fmt.Sprintf("%s answered with status %d", c.base, response.StatusCode)
		}
		return reply, failure
	}
	if err := decoder.Decode(&reply); err != nil {
		return reply, fmt.Errorf("read reply of %s: %w", c.base, err)
	}
	return reply, nil
}

// Config returns the configuration in force on the host.
func (c *Client) Config(ctx context.Context) (operator.ConfigReply, error) {
	return call[operator.ConfigReply](ctx, c, http.MethodGet, operator.PathConfig, nil)
}

// Apply asks the host to make declarations the newest revision.
func (c *Client) Apply(ctx context.Context, r operator.ApplyRequest) (operator.Outcome, error) {
	return call[operator.Outcome](ctx, c, http.MethodPost, operator.PathApply, r)
}

// Do runs a command or query.
func (c *Client) Do(ctx context.Context, r operator.DoRequest) (Answer, error) {
	return call[Answer](ctx, c, http.MethodPost, operator.PathDo, r)
}

// Trace returns the spans of a trace.
func (c *Client) Trace(ctx context.Context, id string) ([]telemetry.Span, error) {
	return call[[]telemetry.Span](ctx, c, http.MethodGet, operator.PathTrace+id, nil)
}

// Answer is a DoReply as the client decodes it: raw rows, which keep the order of their cells.
type Answer struct {
	Outcome *operator.Outcome `json:"outcome,omitempty"`
	Rows    []json.RawMessage `json:"rows,omitempty"`
	Partial []string          `json:"partial,omitempty"`
}
