package daemon

import (
	"context"
	"net/http"

	"quaybarrow/internal/job"
	"quaybarrow/internal/pipeline"
	"quaybarrow/internal/problem"
)

// buffer is a sink that keeps a whole answer.
type buffer struct {
	status      int
	contentType string
	body        []byte
}

// Whole implements pipeline.Sink.
func (b *buffer) Whole(_ pipeline.Head, status int, contentType string, body []byte) error {
	b.status, b.contentType, b.body = status, contentType, body
	return nil
}

// Begin implements pipeline.Sink.
func (b *buffer) Begin(pipeline.Head) error {
	b.status, b.contentType = http.StatusOK, "text/event-stream"
	return nil
}

// Event implements pipeline.Sink.
func (b *buffer) Event(data []byte, _ bool) error {
	b.body = append(b.body, data...)
	return nil
}

// jobRunner runs a job's request through the pipeline.
func jobRunner(p *pipeline.Pipeline) job.Runner {
	return func(ctx context.Context, j job.Job) (job.Result, error) {
		in := pipeline.Incoming{
			Workspace: j.Workspace, Body: j.Request, RequestID: j.ID, Priority: j.Priority,
			Service: j.Service, Call: j.Call, Method: http.MethodPost, ContentType: "application/json",
		}
		var b buffer
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
