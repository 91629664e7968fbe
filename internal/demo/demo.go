// Package demo shows the router at work in one process: a platform stand-in,
// engines, a plain service and three hosts, with real HTTP requests between
// them, a version that turns bad, an outage of the tables and the replacement
// of a host. Its report is counted from the stand-ins' own record.
//
// # Usage
//
//	err := demo.Run(ctx, demo.Options{Out: os.Stdout, Progress: os.Stderr})
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/standin/cluster"
)

// Options of the demonstration.
type Options struct {
	Out      io.Writer // the report
	Progress io.Writer
	JSON     bool
}

// Length and pace of the demonstration.
const (
	limit       = 40 * time.Second
	steady      = 3 * time.Second
	rolloutWait = 8 * time.Second
	badWait     = 8 * time.Second
	outage      = 3 * time.Second
	settleWait  = 8 * time.Second
)

// Run runs the demonstration and prints its report.
func Run(ctx context.Context, options Options) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s, err := newScene(ctx, options)
	if err != nil {
		return err
	}
	defer s.cluster.Close()
	traffic, stop := context.WithCancel(ctx)
	finished := s.traffic(traffic)
	for _, act := range s.acts() {
		s.say(act.title)
		if err := act.run(ctx); err != nil {
			stop()
			<-finished
			return fmt.Errorf("%s: %w", act.title, err)
		}
	}
	stop()
	<-finished
	s.say("waiting for the last bills")
	s.settle(ctx)
	return s.print(s.report())
}

// act is one part of the demonstration.
type act struct {
	title string
	run   func(context.Context) error
}

func (s *scene) acts() []act {
	return []act{
		{"steady traffic: completions, streams, sessions, cascades, payouts, jobs", s.steady},
		{"support@2 enters its roll-out", s.startRollout},
		{"support@2 turns bad", s.turnBad},
		{"the platform's tables are away for 3 s", s.tablesAway},
		{"entry-2 is replaced by a new process", s.replaceHost},
		{"an operator withdraws summary@1", s.withdraw},
	}
}

func (s *scene) say(text string) {
	_, _ = fmt.Fprintf(s.options.Progress, "%5.1f s  %s\n", time.Since(s.started).Seconds(), text)
}

// pause lets the traffic go on for a while.
func pause(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// until waits for a condition, but no longer than a bound.
func until(ctx context.Context, bound time.Duration, f func() bool) bool {
	deadline := time.Now().Add(bound)
	for !f() {
		if time.Now().After(deadline) || pause(ctx, 50*time.Millisecond) != nil {
			return f()
		}
	}
	return true
}

// host returns a running host.
func (s *scene) host(i int) *cluster.Host { return s.cluster.Hosts[i] }
