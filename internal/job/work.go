package job

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/problem"
	"quaybarrow/internal/store"
)

// Times and limits of polling for and running jobs.
const (
	shardsPerPoll = 1 // shards that an idle worker polls at a time
	rowsPerShard  = 4 // rows that a poll reads from a shard
	// One poll in lostPollInterval also looks for jobs of lost hosts, in each shard in turn. With
	// one of the four shards chosen at random, three hosts with two polling loops each and a delay
	// of at most 5 s had not found a lost job after two minutes in 1 of 80 cases. In turn they
	// find it within 90 s.
	lostPollInterval = 2
	minPollDelay     = 200 * time.Millisecond
	maxPollDelay     = 5 * time.Second
	claimDuration    = 15 * time.Second // a claim whose row is unchanged for this long expires
	renewInterval    = claimDuration / 3
	writeTimeout     = 2 * time.Second
)

// Runner executes a job's request and returns its result.
type Runner func(ctx context.Context, j Job) (Result, error)

// Worker finds and runs jobs on one host.
type Worker struct {
	queue       *Queue
	host        string
	run         Runner
	concurrency int
	hosts       func() int
	stop        chan struct{} // closed by Drain
	once        sync.Once

	mu       sync.Mutex // guards all below
	observed map[string]observation
	polls    int
}

// observation is the version of a running job's row and the time since which it is unchanged.
type observation struct {
	version int64
	since   clock.Instant
}

// NewWorker returns a worker that runs up to concurrency jobs at a time. The delay between its polls
// grows with the number of hosts, so that the total load on the table does not.
func NewWorker(queue *Queue, host string, concurrency int, hosts func() int, run Runner) *Worker {
	return &Worker{queue: queue, host: host, run: run, concurrency: concurrency, hosts: hosts, stop: make(chan struct{}), observed: map[string]observation{}}
}

// Drain makes Run claim no more jobs and return when the running ones are done.
func (w *Worker) Drain() { w.once.Do(func() { close(w.stop) }) }

// draining reports whether Drain was called.
func (w *Worker) draining() bool {
	select {
	case <-w.stop:
		return true
	default:
		return false
	}
}

// Run claims and runs jobs until the worker is drained or the context ends. In the latter case the
// running jobs return to the queue.
func (w *Worker) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range w.concurrency {
		workers.Go(func() { w.loop(ctx) })
	}
	workers.Wait()
}

func (w *Worker) loop(ctx context.Context) {
	delay := minPollDelay
	for ctx.Err() == nil && !w.draining() {
		if w.RunOne(ctx) {
			delay = minPollDelay
			continue
		}
		t := time.NewTimer(delay/2 + time.Duration(rand.Int64N(int64(delay))))
		select {
		case <-ctx.Done():
		case <-w.stop:
		case <-t.C:
		}
		t.Stop()
		delay = min(delay*2, w.pollDelayLimit())
	}
}

// baseHosts is the number of hosts up to which the delay limit is maxPollDelay.
const baseHosts = 12

// pollDelayLimit returns the limit up to which the delay between two polls doubles. It is proportional
// to the number of hosts above baseHosts.
func (w *Worker) pollDelayLimit() time.Duration {
	return maxPollDelay * time.Duration(max(w.hosts(), baseHosts)) / baseHosts
}

// RunOne looks for a job in a random shard and runs the first one that it can claim. It returns false
// if there was none.
func (w *Worker) RunOne(ctx context.Context) bool {
	for _, shard := range rand.Perm(Shards)[:shardsPerPoll] {
		j, row, ok := w.claimFrom(ctx, shard)
		if ok {
			w.runClaimed(ctx, j, row)
			return true
		}
	}
	return false
}

// claimFrom claims a waiting job of the shard. If there is none, one poll in lostPollInterval tries to
// claim a job of a lost host in the shard whose turn it is.
func (w *Worker) claimFrom(ctx context.Context, shard int) (Job, store.Row, bool) {
	if j, row, ok := w.claimIn(ctx, TableWaiting, shard); ok {
		return j, row, true
	}
	lost, ok := w.nextLostShard()
	if !ok {
		return Job{}, store.Row{}, false
	}
	return w.claimIn(ctx, TableRunning, lost)
}

// nextLostShard counts a poll and returns the shard in which it looks for jobs of lost hosts; false if
// it does not look for them.
func (w *Worker) nextLostShard() (shard int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	return w.polls / lostPollInterval % Shards, w.polls%lostPollInterval == 0
}

func (w *Worker) claimIn(ctx context.Context, table string, shard int) (Job, store.Row, bool) {
	rows, err := w.queue.tables.Scan(ctx, store.Range{Table: table, Prefix: shardPrefix(shard), Limit: rowsPerShard})
	if err != nil {
		return Job{}, store.Row{}, false
	}
	for _, found := range rows {
		if j, row, ok := w.claim(ctx, idOfKey(found.Key)); ok {
			return j, row, true
		}
	}
	return Job{}, store.Row{}, false
}

// claim claims a job that is due or whose claim has expired. A job past its deadline fails instead.
func (w *Worker) claim(ctx context.Context, id string) (Job, store.Row, bool) {
	j, row, err := w.queue.read(ctx, id)
	if err != nil || !w.claimable(j, row) {
		return Job{}, store.Row{}, false
	}
	if !j.Deadline.IsZero() && time.Now().After(j.Deadline) {
		w.finish(ctx, j, row, StateFailed, Result{Status: 504, Run: problem.NotRun, Body: []byte("the deadline passed before the job could run")})
		return Job{}, store.Row{}, false
	}
	claimed := j.WithClaim(w.host)
	row, err = w.queue.replace(ctx, row, claimed,
		store.Delete(TableWaiting, j.waitingKey()), store.Put(TableRunning, j.runningKey(), []byte(w.host)))
	return claimed, row, err == nil
}

// claimable reports whether a job may be claimed.
func (w *Worker) claimable(j Job, row store.Row) bool {
	switch j.State {
	case StateWaiting:
		return !time.Now().Before(j.Due)
	case StateRunning:
		return w.claimExpired(j.ID, row)
	default:
		return false
	}
}

// claimExpired reports whether the row of a running job has been unchanged for claimDuration, measured
// by this host's own clock.
func (w *Worker) claimExpired(id string, row store.Row) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.observed[id]
	if !ok || s.version != row.Version {
		w.observed[id] = observation{version: row.Version, since: clock.Now()}
		return false
	}
	if clock.Since(s.since) < claimDuration {
		return false
	}
	delete(w.observed, id)
	return true
}

// replace writes a job if its row is still the one that was read. If the reply is lost, it reads the
// row to find out whether the write succeeded.
func (q *Queue) replace(ctx context.Context, row store.Row, next Job, more ...store.Write) (store.Row, error) {
	data, err := codec.Encode(next)
	if err != nil {
		return store.Row{}, err
	}
	err = q.tables.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{store.AtVersion(TableJobs, row)},
		Writes:     append([]store.Write{store.Put(TableJobs, next.ID, data)}, more...),
	})
	if err != nil && !store.Uncertain(err) {
		return store.Row{}, err
	}
	current, readErr := q.tables.Get(ctx, TableJobs, next.ID)
	if readErr != nil {
		return store.Row{}, errors.Wrap(readErr, "read job back")
	}
	if string(current.Value) != string(data) {
		return store.Row{}, store.ErrConflict
	}
	return current, nil
}

// runClaimed runs a claimed job and records its result. If the claim is lost meanwhile, the job is left
// to the host that holds the new claim.
func (w *Worker) runClaimed(ctx context.Context, j Job, row store.Row) {
	runContext, cancel := context.WithCancel(ctx)
	defer cancel()
	renewer := &claimRenewer{worker: w, job: j, row: row, cancelRun: cancel}
	var renewal sync.WaitGroup
	renewal.Go(func() { renewer.renew(runContext) })
	result, err := w.run(runContext, j)
	cancel()
	renewal.Wait()
	finishContext, stop := context.WithTimeout(context.WithoutCancel(ctx), claimDuration)
	defer stop()
	j, row = renewer.job, renewer.row
	if err != nil && problem.Of(err).Run != problem.NotRun {
		j = j.WithRun()
	}
	switch {
	case err == nil:
		w.finish(finishContext, j, row, StateDone, result)
	case j.Runs >= maxRuns || permanent(err):
		failed := problem.Of(err)
		w.finish(finishContext, j, row, StateFailed, Result{
			Status: failed.Status, ContentType: "application/json", Body: failed.JSON(), Run: failed.Run,
		})
	default:
		// If returning the job to the queue fails, the job is delayed until its claim expires.
		waiting := j.WithWaiting(time.Now().UTC())
		_, _ = w.queue.replace(finishContext, row, waiting,
			store.Put(TableWaiting, waiting.waitingKey(), []byte(j.Workspace)), store.Delete(TableRunning, j.runningKey()))
	}
}

// permanent reports whether retrying a job after the error is useless or not allowed.
func permanent(err error) bool {
	failed := problem.Of(err)
	if failed.Run == problem.NotRun {
		return failed.Status >= 400 && failed.Status < 500 && failed.Status != 429
	}
	return failed.Code == problem.CodeOutcomeUnknown
}

// maxFinishAttempts limits the attempts to write the result of a job.
const maxFinishAttempts = 7

// finish writes the result and the final state of a job and removes it from its shard. If that fails,
// the claim expires and the job runs again; it is still billed only once.
func (w *Worker) finish(ctx context.Context, j Job, row store.Row, state State, r Result) {
	ended := j.WithResult(state, r, time.Now().UTC())
	for attempt := range maxFinishAttempts {
		_, err := w.queue.replace(ctx, row, ended,
			store.Delete(TableWaiting, j.waitingKey()), store.Delete(TableRunning, j.runningKey()))
		if err == nil || errors.Is(err, store.ErrConflict) {
			return
		}
		if !clock.Sleep(ctx, minPollDelay<<attempt) {
			return
		}
	}
}

// claimRenewer renews the claim of a running job.
type claimRenewer struct {
	worker    *Worker
	job       Job
	row       store.Row
	cancelRun context.CancelFunc
}

// renew changes the job's row periodically. It cancels the job if the row was changed by another host
// or could not be renewed for so long that another host may soon claim the job.
func (k *claimRenewer) renew(ctx context.Context) {
	renewed := clock.Now()
	for clock.Sleep(ctx, renewInterval) {
		sent := clock.Now()
		writeContext, cancel := context.WithTimeout(ctx, writeTimeout)
		next := k.job.WithRenewal()
		row, err := k.worker.queue.replace(writeContext, k.row, next)
		cancel()
		switch {
		case err == nil:
			k.job, k.row, renewed = next, row, sent
		case errors.Is(err, store.ErrConflict):
			k.cancelRun()
			return
		case clock.Since(renewed) > claimDuration-renewInterval:
			k.cancelRun()
			return
		}
	}
}

// Backlog returns the number of waiting jobs.
func (q *Queue) Backlog(ctx context.Context) (int, error) {
	rows, err := q.tables.Scan(ctx, store.Range{Table: TableWaiting})
	if err != nil {
		return 0, errors.Wrap(err, "count jobs")
	}
	return len(rows), nil
}

// Expire deletes jobs that finished more than resultRetention ago. It examines at most limit rows.
func (q *Queue) Expire(ctx context.Context, limit int) error {
	rows, err := q.tables.Scan(ctx, store.Range{Table: TableJobs, Limit: limit})
	if err != nil {
		return errors.Wrap(err, "expire jobs")
	}
	for _, row := range rows {
		j, err := codec.Decode[Job](row.Value)
		if err != nil || j.Finished.IsZero() || time.Since(j.Finished) < resultRetention {
			continue
		}
		err = q.tables.Commit(ctx, store.Transaction{
			Conditions: []store.Condition{store.AtVersion(TableJobs, row)},
			Writes:     []store.Write{store.Delete(TableJobs, row.Key)},
		})
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return errors.Wrap(err, "expire jobs")
		}
	}
	return nil
}
