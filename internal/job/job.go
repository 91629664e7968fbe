// Package job stores and runs deferred jobs, which may be delayed but must not be lost.
//
// # Usage
//
//	id, err := queue.Submit(ctx, job.Job{Workspace: "examiners", Request: body})
//	...
//	job, err := queue.Find(ctx, "examiners", id)
//
// A job is stored as a row of the table service before it is accepted, and remains there until its
// result expires. Waiting jobs are distributed over shards. An idle host polls a random shard and
// claims a job by compare-and-set. A claim is valid as long as its row keeps changing: a host that
// fails stops renewing its claims, and another host claims the job. The bill is identified by the
// job's id, so the job is billed only once even then.
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

// Tables of the package. TableJobs holds the jobs. TableWaiting indexes the waiting jobs of each shard
// by priority and due time. A claimed job is in TableRunning instead, so that it does not take the
// place of waiting jobs in scans with a row limit.
const (
	TableJobs    = "job"
	TableWaiting = "job-waiting"
	TableRunning = "job-running"
)

// Shards is the number of shards of the waiting jobs: enough that a few hundred hosts do not claim the
// same rows, and few enough that a handful of hosts poll each shard often
// (docs/measurements/jobs.md).
const Shards = 4

// State is the state of a job.
type State string

// States of a job.
const (
	StateWaiting State = "waiting"
	StateRunning State = "running"
	StateDone    State = "done"
	StateFailed  State = "failed" // not retried any more; Result has the reason
)

// Limits of jobs.
const (
	resultRetention = 24 * time.Hour
	// maxRuns is the number of attempts that may have run without an answer after which a job
	// fails: a job must not be lost, but must not run for ever either.
	maxRuns = 50
	// Limits of the delay between two attempts.
	minRetryDelay = time.Second
	maxRetryDelay = 5 * time.Minute
)

// ErrNotFound means that the workspace has no such job.
var ErrNotFound = errors.New("no such job")

// Result is the outcome of a job.
type Result struct {
	Status      int         `json:"status"`
	ContentType string      `json:"content_type,omitempty"`
	Body        []byte      `json:"body,omitempty"`
	Run         problem.Run `json:"run"`
}

// Job is a deferred request: a completion or a call to a plain service.
type Job struct {
	ID        string           `json:"id"`
	Workspace string           `json:"workspace"`
	Priority  declare.Priority `json:"priority"`
	Service   string           `json:"service,omitempty"` // empty for a completion
	Call      string           `json:"call,omitempty"`
	Request   []byte           `json:"request"`
	State     State            `json:"state"`
	Submitted time.Time        `json:"submitted"`
	Deadline  time.Time        `json:"deadline,omitzero"`
	Finished  time.Time        `json:"finished,omitzero"`
	Due       time.Time        `json:"due"`            // earliest time of the next attempt
	Attempts  int              `json:"attempts"`       // number of claims
	Runs      int              `json:"runs"`           // number of attempts that may have run
	Host      string           `json:"host,omitempty"` // host that runs the job
	Renewals  int64            `json:"beat,omitempty"` // number of renewals of the present claim
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

// WithResult returns the job with its result and final state.
func (j Job) WithResult(state State, r Result, at time.Time) Job {
	j.State, j.Result, j.Finished = state, &r, at
	return j
}

// WithWaiting returns the job as waiting again, with a delay that doubles with each attempt up to
// maxRetryDelay.
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

// shard returns the shard of the job, derived from its id.
func (j Job) shard() int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.ID))
	return int(h.Sum32() % Shards)
}

func shardPrefix(shard int) string { return fmt.Sprintf("%02d/", shard) }

// waitingKey returns the key of the job's row in TableWaiting. It sorts the jobs of a shard by
// priority, interactive first, and then by due time, which initially is the time of submission.
func (j Job) waitingKey() string {
	rank := "0"
	if j.Priority == declare.PriorityBatch {
		rank = "1"
	}
	return fmt.Sprintf("%s%s/%020d/%s", shardPrefix(j.shard()), rank, j.Due.UnixNano(), j.ID)
}

// runningKey returns the key of the job's row in TableRunning.
func (j Job) runningKey() string { return shardPrefix(j.shard()) + j.ID }

// idOfKey returns the id of the job from the key of its row in TableWaiting or TableRunning.
func idOfKey(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// Queue stores jobs in the table service.
type Queue struct{ tables store.Tables }

// NewQueue returns a queue that is stored in the given tables.
func NewQueue(tables store.Tables) *Queue { return &Queue{tables: tables} }

// maxSubmitAttempts limits the attempts of a submission whose outcome is uncertain.
const maxSubmitAttempts = 3

// Submit stores a job durably and returns it. An error means that the job was not accepted; the
// caller may submit it again. A repeat with the same idempotency key returns the same job.
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
		// After a conflict or a lost reply, the row shows whether the job is stored.
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

// Find returns a job of a workspace.
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
