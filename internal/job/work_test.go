package job_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaybarrow/internal/job"
	"quaybarrow/internal/standin/table"
	"quaybarrow/internal/store"
)

// maxRecoveryTime limits the time until a job of a lost host has run again: other hosts must see its
// claim unchanged for 15 s, in polls of each of the four shards in turn.
const maxRecoveryTime = 90 * time.Second

// unreachableTables are tables whose commits fail while unreachable is set.
type unreachableTables struct {
	store.Tables
	unreachable atomic.Bool
}

func (c *unreachableTables) Commit(ctx context.Context, txn store.Transaction) error {
	if c.unreachable.Load() {
		return store.ErrUnavailable
	}
	return c.Tables.Commit(ctx, txn)
}

func TestJobOfALostHostRunsAgainInTime(t *testing.T) {
	for n := range 40 {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			tables := table.New(table.Options{})
			queue, lostHostTables := job.NewQueue(tables), &unreachableTables{Tables: tables}
			j, err := queue.Submit(ctx, job.Job{Workspace: "clerks"}, fmt.Sprint("key-", n))
			if err != nil {
				t.Fatal(err)
			}
			ran := make(chan struct{})
			run := func(ctx context.Context, _ job.Job) (job.Result, error) {
				select {
				case <-ran: // the second run
					return job.Result{Status: 200}, nil
				default:
					close(ran)
				}
				<-ctx.Done()
				return job.Result{}, ctx.Err()
			}
			hostCount := func() int { return 3 }
			lostHost := job.NewWorker(job.NewQueue(lostHostTables), "lost", 1, hostCount, run)
			lostHostContext, stopLostHost := context.WithCancel(ctx)
			go lostHost.Run(lostHostContext)
			<-ran
			lostHostTables.unreachable.Store(true) // the lost host can't return the job to the queue
			stopLostHost()
			started := time.Now()
			for host := range 3 {
				go job.NewWorker(queue, fmt.Sprint("host-", host), 2, hostCount, run).Run(ctx)
			}
			for {
				current, err := queue.Find(ctx, "clerks", j.ID)
				if err == nil && current.State == job.StateDone {
					return
				}
				if time.Since(started) > maxRecoveryTime {
					t.Fatalf("the job is %s after %s", current.State, time.Since(started))
				}
				time.Sleep(time.Second)
			}
		})
	}
}
