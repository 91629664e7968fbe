package pipeline

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/chat"
	"quaybarrow/internal/choose"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/dispatch"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/telemetry"
)

// startedResponse is a request whose answer has begun to arrive. If a cascade ended with its cheap
// version, the answer is complete in checkedBody.
type startedResponse struct {
	billedRequest
	decision    choose.Decision
	stream      *dispatch.Stream
	checkedBody []byte // complete answer of a cascade's cheap version; nil otherwise
}

// dispatch sends a completion to an engine. For a cascade it first sends the request to the cheap
// version, and checks that answer before any of it is sent to the caller.
func (p *Pipeline) dispatch(ctx context.Context, in billedRequest) (startedResponse, error) {
	if !in.cascade {
		stream, err := p.openStream(ctx, in, in.first, in.chat.Stream)
		return startedResponse{billedRequest: in, decision: in.first, stream: stream}, err
	}
	cheap, err := p.askCheapVersion(ctx, in)
	if err == nil {
		return cheap, nil
	}
	in.entry.Retarget(in.second.Candidate.Name)
	stream, err := p.openStream(ctx, in, in.second, in.chat.Stream)
	if err != nil {
		return startedResponse{}, err
	}
	return startedResponse{billedRequest: in, decision: in.second, stream: stream}, nil
}

// errCheckFailed means that the answer of the cheap version of a cascade has an error status or too
// low a confidence.
var errCheckFailed = errors.New("the answer did not pass its check")

// askCheapVersion sends the request to the cheap version of a cascade and checks its answer.
func (p *Pipeline) askCheapVersion(ctx context.Context, in billedRequest) (startedResponse, error) {
	stream, err := p.openStream(ctx, in, in.first, false)
	if err != nil {
		return startedResponse{}, err
	}
	defer stream.Close()
	body, err := stream.ReadAll()
	in.charge(usageOf(in.first.Candidate.Version, stream.Usage(), in.promptTokens, 0))
	if err != nil {
		return startedResponse{}, err
	}
	if stream.Status() != http.StatusOK || stream.Confidence() < in.class.Confidence {
		return startedResponse{}, errCheckFailed
	}
	return startedResponse{billedRequest: in, decision: in.first, stream: stream, checkedBody: body}, nil
}

// openStream sends the request to one version and returns the stream of its answer.
func (p *Pipeline) openStream(ctx context.Context, in billedRequest, decision choose.Decision, streamed bool) (*dispatch.Stream, error) {
	request := in.chat
	request.Stream = streamed
	body, err := request.WithModel(decision.Candidate.Name)
	if err != nil {
		return nil, badRequest(err.Error())
	}
	if decision.Canary {
		p.options.Credits.Spend(decision.Candidate.Ref)
	}
	hasSession := in.pin.ID != ""
	judged := func(failed bool) {
		if decision.Canary {
			p.options.Credits.Report(ctx, decision.Candidate.Ref, failed)
		}
	}
	return p.options.Dispatcher.Open(ctx, dispatch.Request{
		ID: in.requestID, Version: decision.Candidate.Ref, Body: body, Priority: in.priority,
		PrefixHash: in.prefixHash, PromptTokens: in.promptTokens, SharedTokens: in.sharedTokens, Identity: in.knownAs, Label: in.description(),
		CheckAllowed: func() error { return p.checkAllowed(in.workspace.Name, decision.Candidate, hasSession) },
		OnAttempt:    in.recordAttempt, OnVersionResult: judged,
	})
}

// relay sends the answer to the caller and adds its usage to the bill.
func (p *Pipeline) relay(ctx context.Context, in startedResponse, sink Sink) error {
	head := Head{
		RequestID: in.requestID, TraceID: telemetry.TraceID(ctx),
		Version: in.decision.Candidate.Name, SessionToken: in.sessionToken,
	}
	switch {
	case in.checkedBody != nil && in.chat.Stream:
		return p.relayChecked(in, sink, head)
	case in.checkedBody != nil:
		return deliveryProblem(sink.Whole(head, http.StatusOK, in.stream.ContentType(), in.checkedBody))
	case !in.chat.Stream || in.stream.Status() != http.StatusOK:
		return p.relayWhole(in, sink, head)
	default:
		return p.relayStream(ctx, in, sink, head)
	}
}

// deliveryProblem returns the problem for an answer that could not be written because the caller
// disconnected; nil if err is nil.
func deliveryProblem(err error) error {
	if err == nil {
		return nil
	}
	const clientClosed = 499 // common non-standard status: the client closed the request
	return problem.New(clientClosed, problem.CodeCut, problem.Ran, "the caller left").WithCause(err)
}

func (p *Pipeline) relayWhole(in startedResponse, sink Sink, head Head) error {
	body, err := in.stream.ReadAll()
	in.charge(usageOf(in.decision.Candidate.Version, in.stream.Usage(), in.promptTokens, 0))
	if err != nil {
		return err
	}
	return deliveryProblem(sink.Whole(head, in.stream.Status(), in.stream.ContentType(), body))
}

// progressInterval is the interval at which the usage of a running stream is reported to the hosts
// that hold copies of its bill.
const progressInterval = 10 * time.Second

// relayStream forwards the events of a stream to the caller as they arrive.
func (p *Pipeline) relayStream(ctx context.Context, in startedResponse, sink Sink, head Head) (err error) {
	version := in.decision.Candidate.Version
	defer func() { in.charge(usageOf(version, in.stream.Usage(), in.promptTokens, in.stream.Events())) }()
	if err := sink.Begin(head); err != nil {
		return deliveryProblem(err)
	}
	reported := clock.Now()
	for {
		event, err := in.stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			if ctx.Err() != nil {
				return deliveryProblem(ctx.Err())
			}
			return err
		}
		if event.UsageOnly && !in.chat.WantsUsage() {
			continue
		}
		if err := sink.Event(event.Data, event.NextBuffered); err != nil {
			return deliveryProblem(err)
		}
		if now := clock.Now(); now.Sub(reported) >= progressInterval {
			reported = now
			in.reportProgress(usageOf(version, nil, in.promptTokens, in.stream.Events()))
		}
	}
}

// relayChecked sends the complete answer of a cascade to the caller as a stream.
func (p *Pipeline) relayChecked(in startedResponse, sink Sink, head Head) error {
	var answer chat.Completion
	if err := json.Unmarshal(in.checkedBody, &answer); err != nil {
		return problem.New(http.StatusBadGateway, problem.CodeEndpoint, problem.Ran, "the answer can't be read").WithCause(err)
	}
	if err := sink.Begin(head); err != nil {
		return deliveryProblem(err)
	}
	for _, chunk := range toChunks(answer, in.chat.WantsUsage()) {
		data, err := json.Marshal(chunk)
		if err != nil {
			return problem.New(http.StatusInternalServerError, problem.CodeInternal, problem.Ran, "the answer can't be sent").WithCause(err)
		}
		if err := sink.Event(fmt.Appendf(nil, "data: %s\n\n", data), true); err != nil {
			return deliveryProblem(err)
		}
	}
	return deliveryProblem(sink.Event([]byte("data: "+chat.Done+"\n\n"), false))
}

// toChunks converts a complete answer to the chunks of a stream; usage adds a chunk with the usage.
func toChunks(answer chat.Completion, usage bool) []chat.Completion {
	chunk := answer
	chunk.Object, chunk.Usage = chat.ObjectChunk, nil
	chunk.Choices = make([]chat.Choice, len(answer.Choices))
	for i, c := range answer.Choices {
		chunk.Choices[i] = chat.Choice{Index: c.Index, Delta: c.Message, FinishReason: c.FinishReason}
	}
	chunks := []chat.Completion{chunk}
	if usage && answer.Usage != nil {
		chunks = append(chunks, chat.Completion{
			ID: answer.ID, Object: chat.ObjectChunk, Created: answer.Created, Model: answer.Model,
			Choices: []chat.Choice{}, Usage: answer.Usage,
		})
	}
	return chunks
}
