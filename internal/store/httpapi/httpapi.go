// Package httpapi implements the platform interfaces of package store with JSON over HTTP, the
// protocol of the project's simulated platform.
//
// # Usage
//
//	client := httpapi.NewClient("http://10.0.0.5:7070", http.DefaultTransport)
//	row, err := client.Get(ctx, "config", "head")
//
// A platform with another protocol needs only another adapter.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"quaybarrow/internal/store"
)

// Paths of the protocol.
const (
	PathGet     = "/v1/tables/get"
	PathScan    = "/v1/tables/scan"
	PathCommit  = "/v1/tables/commit"
	PathHosts   = "/v1/hosts"
	PathRatings = "/v1/ratings"
)

// Limits of one request.
const (
	maxReplyBytes  = 16 << 20
	requestTimeout = 3 * time.Second
)

// GetRequest asks for one row.
type GetRequest struct {
	Table string `json:"table"`
	Key   string `json:"key"`
}

// ScanRequest asks for a range of rows.
type ScanRequest struct {
	Table  string `json:"table"`
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// WireRow is a row on the wire.
type WireRow struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// RowsReply answers a get or a scan.
type RowsReply struct {
	Rows []WireRow `json:"rows"`
}

// HostsReply answers a request for the host list.
type HostsReply struct {
	Hosts []store.Host `json:"hosts"`
}

// RatingsRequest asks for ratings after a sequence.
type RatingsRequest struct {
	After int64 `json:"after"`
	Limit int   `json:"limit"`
}

// RatingsReply answers with ratings in order.
type RatingsReply struct {
	Ratings []store.Rating `json:"ratings"`
}

// Empty is a request or reply without content.
type Empty struct{}

// Client implements the platform interfaces of package store.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the platform at a base URL.
func NewClient(base string, transport http.RoundTripper) *Client {
	return &Client{base: base, http: &http.Client{Transport: transport, Timeout: requestTimeout}}
}

// call posts a request and decodes the reply. It returns the errors of package store.
func call[Req, Reply any](ctx context.Context, c *Client, path string, request Req) (Reply, error) {
	var reply Reply
	body, err := json.Marshal(request)
	if err != nil {
		return reply, fmt.Errorf("encode %s: %w", path, err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return reply, fmt.Errorf("build %s: %w", path, err)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return reply, fmt.Errorf("call %s: %w: %w", path, store.ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response.StatusCode); err != nil {
		return reply, fmt.Errorf("call %s: %w", path, err)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return reply, fmt.Errorf("read %s: %w: %w", path, store.ErrUnavailable, err)
	}
	return reply, nil
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return store.ErrNotFound
	case http.StatusConflict:
		return store.ErrConflict
	case http.StatusTooManyRequests:
		return store.ErrThrottled
	default:
		return store.ErrUnavailable
	}
}

// Get implements store.Tables.
func (c *Client) Get(ctx context.Context, table, key string) (store.Row, error) {
	reply, err := call[GetRequest, RowsReply](ctx, c, PathGet, GetRequest{Table: table, Key: key})
	if err != nil {
		return store.Row{}, err
	}
	if len(reply.Rows) != 1 {
		return store.Row{}, fmt.Errorf("get %s/%s: %w: %d rows in the reply", table, key, store.ErrUnavailable, len(reply.Rows))
	}
	return store.Row(reply.Rows[0]), nil
}

// Scan implements store.Tables.
func (c *Client) Scan(ctx context.Context, r store.Range) ([]store.Row, error) {
	reply, err := call[ScanRequest, RowsReply](ctx, c, PathScan, ScanRequest(r))
	if err != nil {
		return nil, err
	}
	rows := make([]store.Row, len(reply.Rows))
	for i, row := range reply.Rows {
		rows[i] = store.Row(row)
	}
	return rows, nil
}

// Commit implements store.Tables.
func (c *Client) Commit(ctx context.Context, txn store.Transaction) error {
	_, err := call[store.Transaction, Empty](ctx, c, PathCommit, txn)
	return err
}

// List implements store.Hosts.
func (c *Client) List(ctx context.Context) ([]store.Host, error) {
	reply, err := call[Empty, HostsReply](ctx, c, PathHosts, Empty{})
	return reply.Hosts, err
}

// After implements store.Ratings.
func (c *Client) After(ctx context.Context, sequence int64, limit int) ([]store.Rating, error) {
	reply, err := call[RatingsRequest, RatingsReply](ctx, c, PathRatings, RatingsRequest{After: sequence, Limit: limit})
	return reply.Ratings, err
}
