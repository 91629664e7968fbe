// Package problem defines the errors that are returned to callers. Each states whether the request
// ran.
//
// # Usage
//
//	return problem.New(http.StatusServiceUnavailable, problem.CodeNoCapacity, problem.NotRun,
//		"no endpoint is free").WithRetryAfter(time.Second)
//
// NotRun is only used when it is certain that the request did not run.
package problem

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Run states whether a request ran.
type Run string

// Whether a request ran.
const (
	NotRun  Run = "not_run"
	Unknown Run = "unknown"
	Ran     Run = "ran"
)

// Code is the machine-readable kind of a problem.
type Code string

// Codes.
const (
	CodeBadRequest     Code = "bad_request"
	CodeTooLarge       Code = "request_too_large"
	CodeUnauthorized   Code = "unauthorized"
	CodeForbidden      Code = "forbidden"
	CodeNotFound       Code = "not_found"
	CodeModelNotFound  Code = "model_not_found"
	CodeNoVersion      Code = "no_version_in_service"
	CodeSessionEnded   Code = "session_ended"
	CodeSessionInvalid Code = "session_invalid"
	CodeOverloaded     Code = "overloaded"
	CodeDeadline       Code = "deadline"
	CodeDraining       Code = "draining"
	CodeNoConfig       Code = "no_configuration"
	CodeStore          Code = "store_unavailable"
	CodeBilling        Code = "billing_unavailable"
	CodeNoCapacity     Code = "no_capacity"
	CodeEndpoint       Code = "endpoint_failed"
	CodeCut            Code = "answer_cut"
	CodeKeyRequired    Code = "idempotency_key_required"
	CodeKeyReused      Code = "idempotency_key_reused"
	CodeUnderWay       Code = "under_way"
	CodeOutcomeUnknown Code = "outcome_unknown"
	CodeQuarantined    Code = "quarantined"
	CodeConflict       Code = "conflict"
	CodeInternal       Code = "internal"
)

// Problem is an error that is returned to a caller.
type Problem struct {
	Status     int // HTTP status
	Code       Code
	Run        Run
	Reason     string
	RetryAfter time.Duration // 0 if retrying does not help
	cause      error
}

// New returns a problem without a cause and without RetryAfter.
func New(status int, code Code, run Run, reason string) *Problem {
	return &Problem{Status: status, Code: code, Run: run, Reason: reason}
}

// Error formats the problem for logs.
func (p *Problem) Error() string {
	if p.cause == nil {
		return fmt.Sprintf("%s (%s): %s", p.Code, p.Run, p.Reason)
	}
	return fmt.Sprintf("%s (%s): %s: %s", p.Code, p.Run, p.Reason, p.cause)
}

// Unwrap returns the cause of the problem, or nil.
func (p *Problem) Unwrap() error { return p.cause }

// WithCause returns a copy of the problem with a cause, which only appears in logs.
func (p *Problem) WithCause(err error) *Problem {
	next := *p
	next.cause = err
	return &next
}

// WithRetryAfter returns a copy of the problem with the time after which the caller may retry.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	next := *p
	next.RetryAfter = d
	return &next
}

// WithRun returns a copy of the problem with another value of Run.
func (p *Problem) WithRun(run Run) *Problem {
	next := *p
	next.Run = run
	return &next
}

// Of returns the problem in an error's chain, or else an internal error with Run Unknown.
func Of(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	return New(http.StatusInternalServerError, CodeInternal, Unknown, "internal error").WithCause(err)
}

// Body is the JSON body of a problem, in the format of OpenAI's errors.
type Body struct {
	Error BodyError `json:"error"`
	Run   Run       `json:"run"`
}

// BodyError is the inner part of a Body.
type BodyError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Code   `json:"code"`
	Run     Run    `json:"run"`
}

// Body returns the problem's response body.
func (p *Problem) Body() Body {
	kind := "server_error"
	if p.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return Body{Error: BodyError{Message: p.Reason, Type: kind, Code: p.Code, Run: p.Run}, Run: p.Run}
}

// JSON returns the encoded body.
func (p *Problem) JSON() []byte {
	data, err := json.Marshal(p.Body())
	if err != nil {
		return []byte(`{"error":{"message":"internal error"},"run":"unknown"}`)
	}
	return data
}

// Write writes the problem as the response to a request.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Run", string(p.Run))
	if p.RetryAfter > 0 {
		seconds := math.Ceil(p.RetryAfter.Seconds())
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(p.JSON())
}
