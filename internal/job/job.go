// Package job keeps deferred work that may wait but must not vanish.
//
// # Usage
//
//	id, err := queue.Submit(ctx, job.Job{Workspace: "examiners", Request: body})
//	...
//	job, err := queue.Find(ctx, "examiners", id)
//
// A job is a row of the table service from before it is accepted until its
// result expires. Waiting jobs stand in shards; an idle host probes a
// random shard and claims what it finds by compare-and-set. A claim lasts as
// long as its row keeps changing: a host that dies stops renewing, and another
// claims the job. Its bill is named by the job, so it is billed once all the
// same.
package job

import (
	"context"
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"quaybarrow/internal/codec"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/store"
)

// Tables of the package. A waiting job's row in TableWaiting sorts by priority
// and age within its shard; a claimed job's stands in TableRunning instead, so
// that it does not hide those behind it. The job itself is in TableJobs.
const (
	TableJobs    = "job"
	TableWaiting = "job-waiting"
	TableRunning = "job-running"
)

// Shards of the waiting jobs: enough that a few hundred hosts do not claim the
// same rows, and few enough that a handful of hosts look into each often
// (docs/measurements/jobs.md).
const Shards = 4

// State is how far a job has come.
type State string

// States of a job.
const (
	StateWaiting State = "waiting"
	StateRunning State = "running"
	StateDone    State = "done"
	StateFailed  State = "failed" // will not be tried again; Result says why
)

// Limits of jobs.
const (
	resultRetention = 24 * time.Hour
	// maxRuns is how often a job may have run without an answer before it is
	// given up: it must not vanish, but not run for ever either.
	maxRuns = 50
	// Waits between two attempts.
	minRetryDelay = time.Second
	maxRetryDelay = 5 * time.Minute
)

// ErrNotFound means that there is no such job for the workspace.
var ErrNotFound = errors.New("no such job")

// Result is a job's outcome.
type Result struct {
	Status      int         `json:"status"`
	ContentType string      `json:"content_type,omitempty"`
	Body        []byte      `json:"body,omitempty"`
	Run         problem.Run `json:"run"`
}

// Job is a piece of deferred work.
type Job struct {
	ID        string           `json:"id"`
	Workspace string           `json:"workspace"`
	Priority  declare.Priority `json:"priority"`
	Service   string           `json:"service,omitempty"` // a completion if empty
	Call      string           `json:"call,omitempty"`
	Request   []byte           `json:"request"`
	State     State            `json:"state"`
	Submitted time.Time        `json:"submitted"`
	Deadline  time.Time        `json:"deadline,omitzero"`
	Finished  time.Time        `json:"finished,omitzero"`
	Due       time.Time        `json:"due"`            // not to be tried before
	Attempts  int              `json:"attempts"`       // claims
	Runs      int              `json:"runs"`           // attempts that may have run
	Host      string           `json:"host,omitempty"` // that runs it
	Renewals  int64            `json:"beat,omitempty"` // counts renewals of its claim
	Result    *Result          `json:"result,omitempty"`
}

// WithClaim returns the job as claimed by a host.
func (j Job) WithClaim(host string) Job {
	j.State, j.Host = StateRunning, host
	j.Attempts++
	j.Renewals = 0
	return j
}

// WithRenewal returns the job with its claim renewed.
func (j Job) WithRenewal() Job {
	j.Renewals++
	return j
}

// WithResult returns the job as ended.
func (j Job) WithResult(state State, r Result, at time.Time) Job {
	j.State, j.Result, j.Finished = state, &r, at
	return j
}

// WithWaiting returns the job as waiting again, for longer after each attempt.
func (j Job) WithWaiting(now time.Time) Job {
	j.State, j.Host = StateWaiting, ""
	wait := minRetryDelay << min(j.Attempts, 10)
	j.Due = now.Add(min(wait, maxRetryDelay))
	return j
}

// WithRun returns the job with one more attempt that may have run.
func (j Job) WithRun() Job {
	j.Runs++
	return j
}

// shard is where the job waits.
func (j Job) shard() int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.ID))
	return int(h.Sum32() % Shards)
}

func shardPrefix(shard int) string { return fmt.Sprintf("%02d/", shard) }

// waitingKey sorts a shard's jobs: interactive first, then by when they are due,
// which at first is when they were submitted.
func (j Job) waitingKey() string {
	rank := "0"
	if j.Priority == declare.PriorityBatch {
		rank = "1"
	}
	return fmt.Sprintf("%s%s/%020d/%s", shardPrefix(j.shard()), rank, j.Due.UnixNano(), j.ID)
}

// runningKey is where a claimed job stands.
func (j Job) runningKey() string { return shardPrefix(j.shard()) + j.ID }

// idOfKey is the job that a waiting or running row names.
func idOfKey(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// Queue is the jobs in the table service.
type Queue struct{ tables store.Tables }

// NewQueue returns the queue kept in the given tables.
func NewQueue(tables store.Tables) *Queue { return &Queue{tables: tables} }

// maxSubmitAttempts bounds how often an uncertain submit is settled.
const maxSubmitAttempts = 3

// Submit makes a job durable and returns it. An error means that it was not
// accepted; the caller may submit it again. With a key of the caller's, a
// repeat finds the same job.
func (q *Queue) Submit(ctx context.Context, j Job, key string) (Job, error) {
	j.ID = jobID(j.Workspace, key)
	j.State, j.Submitted = StateWaiting, time.Now().UTC()
	j.Due = j.Submitted
	data, err := codec.Encode(j)
	if err != nil {
		return Job{}, err
	}
	for range maxSubmitAttempts {
		err = q.tables.Commit(ctx, store.Transaction{
			Conditions: []store.Condition{store.Absent(TableJobs, j.ID)},
			Writes: []store.Write{
				store.Put(TableJobs, j.ID, data),
				store.Put(TableWaiting, j.waitingKey(), []byte(j.Workspace)),
			},
		})
		if err == nil {
			return j, nil
		}
		if errors.Is(err, store.ErrThrottled) {
			break
		}
		// A conflict, or a lost reply: the row tells.
		if found, _, findErr := q.read(ctx, j.ID); findErr == nil {
			return found, nil
		}
	}
	return Job{}, fmt.Errorf("submit job: %w", err)
}

func jobID(workspace, key string) string {
	if key == "" {
		return "j-" + uuid.NewString()
	}
	return "j-" + uuid.NewSHA1(uuid.NameSpaceOID, []byte(workspace+"\x00"+key)).String()
}

func (q *Queue) read(ctx context.Context, id string) (Job, store.Row, error) {
	row, err := q.tables.Get(ctx, TableJobs, id)
	if errors.Is(err, store.ErrNotFound) {
		return Job{}, store.Row{}, ErrNotFound
	}
	if err != nil {
		return Job{}, store.Row{}, fmt.Errorf("read job: %w", err)
	}
	j, err := codec.Decode[Job](row.Value)
	if err != nil {
		return Job{}, store.Row{}, fmt.Errorf("read job: %w", err)
	}
	return j, row, nil
}

// Find returns a workspace's job.
func (q *Queue) Find(ctx context.Context, workspace, id string) (Job, error) {
	j, _, err := q.read(ctx, id)
	if err != nil {
		return Job{}, err
	}
	if j.Workspace != workspace {
		return Job{}, ErrNotFound
	}
	return j, nil
}
