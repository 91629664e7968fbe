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

// answered is a request whose answer has begun, or, of a cascade that ended
// with its cheap version, is here whole.
type answered struct {
	opened
	decision choose.Decision
	stream   *dispatch.Stream
	whole    []byte // of a cascade's checked answer
}

// dispatch sends a completion to an engine. A cascade first asks the cheap
// version and checks its answer before the caller sees any of it.
func (p *Pipeline) dispatch(ctx context.Context, in opened) (answered, error) {
	if !in.staged {
		stream, err := p.ask(ctx, in, in.first, in.chat.Stream)
		return answered{opened: in, decision: in.first, stream: stream}, err
	}
	cheap, err := p.askChecked(ctx, in)
	if err == nil {
		return cheap, nil
	}
	in.entry.Retarget(in.second.Candidate.Name)
	stream, err := p.ask(ctx, in, in.second, in.chat.Stream)
	if err != nil {
		return answered{}, err
	}
	return answered{opened: in, decision: in.second, stream: stream}, nil
}

// errUnsure means that a cheap answer did not pass its check.
var errUnsure = errors.New("the answer did not pass its check")

// askChecked asks the cheap version of a cascade and checks its answer.
func (p *Pipeline) askChecked(ctx context.Context, in opened) (answered, error) {
	stream, err := p.ask(ctx, in, in.first, false)
	if err != nil {
		return answered{}, err
	}
	defer stream.Close()
	body, err := stream.ReadAll()
	in.charge(usageOf(in.first.Candidate.Version, stream.Usage(), in.promptly, 0))
	if err != nil {
		return answered{}, err
	}
	if stream.Status() != http.StatusOK || stream.Confidence() < in.class.Confidence {
		return answered{}, errUnsure
	}
	return answered{opened: in, decision: in.first, stream: stream, whole: body}, nil
}

// ask opens one version's answer.
func (p *Pipeline) ask(ctx context.Context, in opened, decision choose.Decision, streamed bool) (*dispatch.Stream, error) {
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
		PrefixHash: in.prefix, PromptTokens: in.promptly, SharedTokens: in.shared, Fingerprint: in.fingerprint, Label: in.of(),
		CheckAllowed: func() error { return p.allowed(in.workspace.Name, decision.Candidate, hasSession) },
		OnAttempt:    in.attempted, OnVersionResult: judged,
	})
}

// relay gives the answer to the caller and charges it.
func (p *Pipeline) relay(ctx context.Context, in answered, sink Sink) error {
	head := Head{
		RequestID: in.requestID, TraceID: telemetry.TraceID(ctx),
		Version: in.decision.Candidate.Name, SessionToken: in.token,
	}
	switch {
	case in.whole != nil && in.chat.Stream:
		return p.relayChecked(in, sink, head)
	case in.whole != nil:
		return told(sink.Whole(head, http.StatusOK, in.stream.ContentType(), in.whole))
	case !in.chat.Stream || in.stream.Status() != http.StatusOK:
		return p.relayWhole(in, sink, head)
	default:
		return p.relayStream(ctx, in, sink, head)
	}
}

// told makes a problem of an answer that the caller did not stay for.
func told(err error) error {
	if err == nil {
		return nil
	}
	const clientClosed = 499 // by custom: the client closed the request
	return problem.New(clientClosed, problem.CodeCut, problem.Ran, "the caller left").WithCause(err)
}

func (p *Pipeline) relayWhole(in answered, sink Sink, head Head) error {
	body, err := in.stream.ReadAll()
	in.charge(usageOf(in.decision.Candidate.Version, in.stream.Usage(), in.promptly, 0))
	if err != nil {
		return err
	}
	return told(sink.Whole(head, in.stream.Status(), in.stream.ContentType(), body))
}

// progressEvery is how often the holders of a stream's bill hear of it.
const progressEvery = 10 * time.Second

// relayStream passes events on as they come.
func (p *Pipeline) relayStream(ctx context.Context, in answered, sink Sink, head Head) (err error) {
	version := in.decision.Candidate.Version
	defer func() { in.charge(usageOf(version, in.stream.Usage(), in.promptly, in.stream.Events())) }()
	if err := sink.Begin(head); err != nil {
		return told(err)
	}
	reported := clock.Now()
	for {
		event, err := in.stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			if ctx.Err() != nil {
				return told(ctx.Err())
			}
			return err
		}
		if event.UsageOnly && !in.chat.WantsUsage() {
			continue
		}
		if err := sink.Event(event.Data, event.NextBuffered); err != nil {
			return told(err)
		}
		if now := clock.Now(); now.Sub(reported) >= progressEvery {
			reported = now
			in.progress(usageOf(version, nil, in.promptly, in.stream.Events()))
		}
	}
}

// relayChecked streams an answer that is here whole.
func (p *Pipeline) relayChecked(in answered, sink Sink, head Head) error {
	var answer chat.Completion
	if err := json.Unmarshal(in.whole, &answer); err != nil {
		return problem.New(http.StatusBadGateway, problem.CodeEndpoint, problem.Ran, "the answer can't be read").WithCause(err)
	}
	if err := sink.Begin(head); err != nil {
		return told(err)
	}
	for _, chunk := range chunksOf(answer, in.chat.WantsUsage()) {
		data, err := json.Marshal(chunk)
		if err != nil {
			return problem.New(http.StatusInternalServerError, problem.CodeInternal, problem.Ran, "the answer can't be sent").WithCause(err)
		}
		if err := sink.Event(fmt.Appendf(nil, "data: %s\n\n", data), true); err != nil {
			return told(err)
		}
	}
	return told(sink.Event([]byte("data: "+chat.Done+"\n\n"), false))
}

// chunksOf makes the chunks of a whole answer.
func chunksOf(answer chat.Completion, usage bool) []chat.Completion {
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
