// Package load is an open-loop load generator for any address that serves the API: it sends
// requests at a given rate without waiting for earlier responses, and measures latencies.
//
// # Usage
//
//	d, err := load.Read("load.yaml")
//	report, err := load.Run(ctx, d, http.DefaultTransport)
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"quaybarrow/internal/chat"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/entry"
	"quaybarrow/internal/yamlfile"
)

// Description describes a load, as read from YAML.
type Description struct {
	// URL is the API's base, such as http://10.0.0.1:7100/v1.
	URL string `yaml:"url"`
	// Rate is the number of requests per second of all callers together.
	Rate float64 `yaml:"rate"`
	// Seconds is the time during which requests are sent.
	Seconds float64 `yaml:"seconds"`
	// Burst multiplies the rate for the middle third; 0 means no burst.
	Burst float64 `yaml:"burst"`
	// Callers are the kinds of callers; each request is sent as one of them, drawn by share.
	Callers []Caller `yaml:"callers"`
}

// Caller is one kind of caller.
type Caller struct {
	// Key is the workspace's API key.
	Key string `yaml:"key"`
	// Model is a model, a version or a task class.
	Model string `yaml:"model"`
	// Share is this caller's relative share of the requests; shares need not add up to 1.
	Share float64 `yaml:"share"`
	// Stream requests streamed responses.
	Stream bool `yaml:"stream"`
	// PromptWords is the mean length of a prompt in words.
	PromptWords int `yaml:"prompt"`
	// MaxTokens is the maximum length of a response in tokens.
	MaxTokens int `yaml:"answer"`
	// Turns is the mean number of requests in a session; 0 means no sessions.
	Turns int `yaml:"turns"`
}

// Read reads and validates a description.
func Read(name string) (Description, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Description{}, fmt.Errorf("read load: %w", err)
	}
	var d Description
	doc, err := yamlfile.Decode(name, data, &d)
	if err != nil {
		return Description{}, fmt.Errorf("read load: %w", err)
	}
	switch {
	case d.URL == "":
		return d, doc.Errorf("$.url", "must be the API's base, such as http://10.0.0.1:7100/v1")
	case d.Rate <= 0:
		return d, doc.Errorf("$.rate", "must be more than 0 requests per second")
	case d.Seconds <= 0:
		return d, doc.Errorf("$.seconds", "must be more than 0")
	case len(d.Callers) == 0:
		return d, doc.Errorf("$.callers", "must list at least one caller")
	}
	for i, c := range d.Callers {
		if c.Model == "" {
			return d, doc.Errorf(fmt.Sprintf("$.callers[%d].model", i), "must name a model")
		}
		if c.Share <= 0 {
			return d, doc.Errorf(fmt.Sprintf("$.callers[%d].share", i), "must be more than 0")
		}
	}
	return d, nil
}

// Range of the histograms, in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Report is the result of a load.
type Report struct {
	Sent          int          `json:"sent"`
	Answered      int          `json:"answered"`
	Refused       int          `json:"refused"` // responses that say that the request was not run
	Failed        int          `json:"failed"`
	Seconds       float64      `json:"seconds"`
	FirstToken    []Quantile   `json:"first_ms"`   // to the first token
	BetweenTokens []Quantile   `json:"between_ms"` // between two tokens
	Total         []Quantile   `json:"total_ms"`
	Errors        []ErrorCount `json:"errors,omitempty"`
}

// Quantile is one quantile of a latency, in milliseconds.
type Quantile struct {
	Quantile float64 `json:"quantile"`
	Value    float64 `json:"value"`
}

// ErrorCount counts one kind of error.
type ErrorCount struct {
	Text  string `json:"text"`
	Count int    `json:"count"`
}

// quantiles are the percentiles in a report.
var quantiles = []float64{50, 90, 95, 99, 99.9}

// runner is the state of a running load.
type runner struct {
	description Description
	client      *http.Client

	mu                               sync.Mutex // guards all below
	report                           Report
	firstToken, betweenTokens, total *hdrhistogram.Histogram
	errors                           map[string]int
	sessionTokens                    map[int][]string // unused session tokens, by index of caller
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// Run sends the load and returns the report when all requests have ended.
func Run(ctx context.Context, d Description, transport http.RoundTripper) (Report, error) {
	r := &runner{
		description: d, client: &http.Client{Transport: transport},
		firstToken: newHistogram(), betweenTokens: newHistogram(), total: newHistogram(),
		errors: map[string]int{}, sessionTokens: map[int][]string{},
	}
	started := time.Now()
	var wait sync.WaitGroup
	for next := started; next.Sub(started) < r.duration(); next = next.Add(r.nextGap(next.Sub(started))) {
		if !clock.Sleep(ctx, time.Until(next)) {
			break
		}
		wait.Go(func() { r.sendRequest(ctx) })
	}
	wait.Wait()
	return r.finalReport(time.Since(started)), ctx.Err()
}

func (r *runner) duration() time.Duration {
	return time.Duration(r.description.Seconds * float64(time.Second))
}

// nextGap draws the time until the next request, exponentially distributed.
func (r *runner) nextGap(elapsed time.Duration) time.Duration {
	rate := r.description.Rate
	third := r.duration() / 3
	if r.description.Burst > 0 && elapsed > third && elapsed < 2*third {
		rate *= r.description.Burst
	}
	return time.Duration(-math.Log(1-rand.Float64()) / rate * float64(time.Second))
}

// pickCaller draws the index of a caller, by share.
func (r *runner) pickCaller() int {
	sum := 0.0
	for _, c := range r.description.Callers {
		sum += c.Share
	}
	point := rand.Float64() * sum
	for i, c := range r.description.Callers {
		if point < c.Share {
			return i
		}
		point -= c.Share
	}
	return len(r.description.Callers) - 1
}

// sendRequest sends one request and records its result.
func (r *runner) sendRequest(ctx context.Context) {
	index := r.pickCaller()
	c := r.description.Callers[index]
	body, err := json.Marshal(chat.Request{
		Model: c.Model, Stream: c.Stream, MaxTokens: c.MaxTokens,
		Messages: []chat.Message{{Role: "user", Content: chat.Text(randomPrompt(c.PromptWords))}},
	})
	if err != nil {
		r.recordError(err.Error(), false)
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.description.URL+"/chat/completions", bytes.NewReader(body))
	if err != nil {
		r.recordError(err.Error(), false)
		return
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("Content-Type", "application/json")
	r.setSessionHeader(request.Header, index, c)
	sent := time.Now()
	response, err := r.client.Do(request)
	if err != nil {
		r.recordError("no answer", false)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		r.recordRejection(response)
		return
	}
	if err := r.recordResponse(response.Body, sent, c.Stream); err != nil {
		r.recordError(err.Error(), false)
		return
	}
	r.keepSessionToken(index, c, response.Header.Get(entry.HeaderSessionToken))
}

// randomPrompt returns a text whose length varies around the given number of words.
func randomPrompt(words int) string {
	count := max(1, int(float64(words)*(0.5+rand.Float64())))
	return strings.TrimSpace(strings.Repeat("word ", count))
}

// setSessionHeader continues one of the caller's sessions, or starts one.
func (r *runner) setSessionHeader(h http.Header, index int, c Caller) {
	if c.Turns == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens := r.sessionTokens[index]
	if len(tokens) == 0 {
		h.Set(entry.HeaderSession, "new")
		return
	}
	h.Set(entry.HeaderSessionToken, tokens[0])
	r.sessionTokens[index] = tokens[1:]
}

// keepSessionToken keeps a session's token for a later request. It ends the session with a
// probability of 1/Turns, so sessions have Turns requests on average.
func (r *runner) keepSessionToken(index int, c Caller, token string) {
	if c.Turns == 0 || token == "" || rand.IntN(c.Turns) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessionTokens[index] = append(r.sessionTokens[index], token)
}

// errTruncated means that a response broke off or a stream ended without its end marker.
var errTruncated = errors.New("response ended early")

// recordResponse reads a response and records its latencies.
func (r *runner) recordResponse(body io.Reader, sent time.Time, stream bool) error {
	var first, last time.Time
	var gaps []time.Duration
	if !stream {
		if _, err := io.Copy(io.Discard, body); err != nil {
			return errTruncated
		}
		first, last = time.Now(), time.Now()
	} else {
		ended := false
		lines := bufio.NewScanner(body)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			data, ok := strings.CutPrefix(lines.Text(), "data: ")
			switch {
			case !ok:
			case data == chat.Done:
				ended = true
			default:
				now := time.Now()
				if first.IsZero() {
					first = now
				} else {
					gaps = append(gaps, now.Sub(last))
				}
				last = now
			}
		}
		if !ended {
			return errTruncated
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	r.report.Answered++
	_ = r.firstToken.RecordValue(first.Sub(sent).Microseconds())
	_ = r.total.RecordValue(last.Sub(sent).Microseconds())
	for _, g := range gaps {
		_ = r.betweenTokens.RecordValue(max(g.Microseconds(), minMicros))
	}
	return nil
}

func (r *runner) recordRejection(response *http.Response) {
	notRun := response.Header.Get("X-Run") == "not_run"
	r.recordError(fmt.Sprintf("status %d", response.StatusCode), notRun)
}

func (r *runner) recordError(text string, notRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	r.errors[text]++
	if notRun {
		r.report.Refused++
		return
	}
	r.report.Failed++
}

func (r *runner) finalReport(elapsed time.Duration) Report {
	r.report.Seconds = elapsed.Seconds()
	r.report.FirstToken, r.report.BetweenTokens, r.report.Total = quantilesOf(r.firstToken), quantilesOf(r.betweenTokens), quantilesOf(r.total)
	for text, count := range r.errors {
		r.report.Errors = append(r.report.Errors, ErrorCount{text, count})
	}
	return r.report
}

func quantilesOf(h *hdrhistogram.Histogram) []Quantile {
	values := make([]Quantile, len(quantiles))
	for i, q := range quantiles {
		values[i] = Quantile{Quantile: q, Value: float64(h.ValueAtQuantile(q)) / 1000}
	}
	return values
}

// Text formats the report as text.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests in %.1f s: %d answered, %d refused as not run, %d failed\n\n", r.Sent, r.Seconds, r.Answered, r.Refused, r.Failed)
	b.WriteString("latency, ms      ")
	for _, q := range quantiles {
		fmt.Fprintf(&b, "%10.1f%%", q)
	}
	for _, line := range []struct {
		name   string
		values []Quantile
	}{{"first token", r.FirstToken}, {"between tokens", r.BetweenTokens}, {"whole answer", r.Total}} {
		fmt.Fprintf(&b, "\n%-17s", line.name)
		for _, v := range line.values {
			fmt.Fprintf(&b, "%11.2f", v.Value)
		}
	}
	b.WriteString("\n")
	for _, e := range r.Errors {
		fmt.Fprintf(&b, "%d times: %s\n", e.Count, e.Text)
	}
	return b.String()
}
