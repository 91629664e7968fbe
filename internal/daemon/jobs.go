package daemon

import (
	"context"
	"net/http"

	"quaybarrow/internal/job"
	"quaybarrow/internal/pipeline"
	"quaybarrow/internal/problem"
)

// answerBuffer is a pipeline.Sink that buffers the complete response.
type answerBuffer struct {
	status      int
	contentType string
	body        []byte
}

// Whole implements pipeline.Sink.
func (b *answerBuffer) Whole(_ pipeline.Head, status int, contentType string, body []byte) error {
	b.status, b.contentType, b.body = status, contentType, body
	return nil
}

// Begin implements pipeline.Sink.
func (b *answerBuffer) Begin(pipeline.Head) error {
	b.status, b.contentType = http.StatusOK, "text/event-stream"
	return nil
}

// Event implements pipeline.Sink.
func (b *answerBuffer) Event(data []byte, _ bool) error {
	b.body = append(b.body, data...)
	return nil
}

// jobRunner returns a job.Runner that runs a job's request through the pipeline.
func jobRunner(p *pipeline.Pipeline) job.Runner {
	return func(ctx context.Context, j job.Job) (job.Result, error) {
		in := pipeline.Incoming{
			Workspace: j.Workspace, Body: j.Request, RequestID: j.ID, Priority: j.Priority,
			Service: j.Service, Call: j.Call, Method: http.MethodPost, ContentType: "application/json",
		}
		var b answerBuffer
		var err error
		if j.Service == "" {
			err = p.Complete(ctx, in, &b)
		} else {
			err = p.Serve(ctx, in, &b)
		}
		if err != nil {
			return job.Result{}, err
		}
		return job.Result{Status: b.status, ContentType: b.contentType, Body: b.body, Run: problem.Ran}, nil
	}
}
