package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"quaybarrow/internal/declare"
	"quaybarrow/internal/job"
	"quaybarrow/internal/problem"
)

// JobRequest is the body of POST /v1/jobs.
type JobRequest struct {
	// Request is the body of a completion or a service call.
	Request json.RawMessage `json:"request"`
	// Service and Call name a call to a plain service. Without them the job is a completion.
	Service string `json:"service,omitempty"`
	Call    string `json:"call,omitempty"`
	// Priority defaults to batch.
	Priority declare.Priority `json:"priority,omitempty"`
	// DeadlineSeconds limits the time from submission until the job starts; 0 means no limit.
	DeadlineSeconds int `json:"deadline_seconds,omitempty"`
}

// JobReply describes a job to its caller.
type JobReply struct {
	ID        string          `json:"id"`
	Object    string          `json:"object"`
	State     job.State       `json:"state"`
	Submitted time.Time       `json:"submitted"`
	Attempts  int             `json:"attempts"`
	Status    int             `json:"status,omitempty"` // HTTP status of the result
	Result    json.RawMessage `json:"result,omitempty"`
	Text      string          `json:"text,omitempty"` // the result if it is not valid JSON
	Run       problem.Run     `json:"run,omitempty"`
}

func (e *Entry) serveSubmit(w http.ResponseWriter, r *http.Request) {
	ws, _, err := e.authenticate(r)
	if err != nil {
		problem.Of(err).Write(w)
		return
	}
	in, err := e.incoming(w, r)
	if err != nil {
		problem.Of(err).Write(w)
		return
	}
	j, err := parseJob(ws, in.Body)
	if err != nil {
		problem.Of(err).Write(w)
		return
	}
	accepted, err := e.options.Jobs.Submit(r.Context(), j, in.IdempotencyKey)
	if err != nil {
		problem.New(http.StatusServiceUnavailable, problem.CodeStore, problem.NotRun,
			"the job can't be kept, so it was not accepted").WithCause(err).WithRetryAfter(2 * time.Second).Write(w)
		return
	}
	writeJSON(w, http.StatusAccepted, jobReply(accepted))
}

// parseJob parses and validates the body of a job submission.
func parseJob(ws declare.Workspace, body []byte) (job.Job, error) {
	badRequest := func(text string) error {
		return problem.New(http.StatusBadRequest, problem.CodeBadRequest, problem.NotRun, text)
	}
	var request JobRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return job.Job{}, badRequest("the body is not a job: " + err.Error())
	}
	if len(request.Request) == 0 {
		return job.Job{}, badRequest("field request is missing")
	}
	if (request.Service == "") != (request.Call == "") {
		return job.Job{}, badRequest("fields service and call go together")
	}
	switch request.Priority {
	case "":
		request.Priority = declare.PriorityBatch
	case declare.PriorityBatch, declare.PriorityInteractive:
	default:
		return job.Job{}, badRequest("field priority must be interactive or batch")
	}
	if request.DeadlineSeconds < 0 {
		return job.Job{}, badRequest("field deadline_seconds must not be negative")
	}
	j := job.Job{
		Workspace: ws.Name, Priority: request.Priority, Service: request.Service, Call: request.Call,
		Request: request.Request,
	}
	if request.DeadlineSeconds > 0 {
		j.Deadline = time.Now().UTC().Add(time.Duration(request.DeadlineSeconds) * time.Second)
	}
	return j, nil
}

func (e *Entry) serveJob(w http.ResponseWriter, r *http.Request) {
	ws, _, err := e.authenticate(r)
	if err != nil {
		problem.Of(err).Write(w)
		return
	}
	j, err := e.options.Jobs.Find(r.Context(), ws.Name, mux.Vars(r)["id"])
	switch {
	case errors.Is(err, job.ErrNotFound):
		problem.New(http.StatusNotFound, problem.CodeNotFound, problem.Unknown, "no such job; a result is kept for a day").Write(w)
	case err != nil:
		problem.New(http.StatusServiceUnavailable, problem.CodeStore, problem.Unknown,
			"the job can't be looked up now").WithCause(err).WithRetryAfter(2 * time.Second).Write(w)
	default:
		writeJSON(w, http.StatusOK, jobReply(j))
	}
}

func jobReply(j job.Job) JobReply {
	reply := JobReply{ID: j.ID, Object: "job", State: j.State, Submitted: j.Submitted, Attempts: j.Attempts}
	if j.Result == nil {
		return reply
	}
	reply.Status, reply.Run = j.Result.Status, j.Result.Run
	if json.Valid(j.Result.Body) {
		reply.Result = j.Result.Body
	} else {
		reply.Text = string(j.Result.Body)
	}
	return reply
}
