//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The disruption of labels, within the figures of the site file for garble with "extra late" (share 0.6, x 0.03,
// for_s 5.0): six workers of ten send bytes that are not an answer instead of fewer than three answers in a
// hundred, for 5 s, several times.
const (
	garbledWorkers = 6 // of labelWorkers
	garbledTimes   = 15
	garbledPause   = time.Second
	garbledBytes   = 60_000
	// The load: labelCallers consumers a host, each with a kept channel and one call at a time.
	labelWorkers = 10
	labelCallers = 40
	labelPause   = 20 * time.Millisecond
	// keptLost is how many requests from kept channels may be lost.
	keptLost = 3
)

func init() { cases["labels"] = labels }

// labels sends calls that may not be repeated on kept channels. Workers spoil some of the answers, unless TROUBLE=0.
// It ends soon after more calls than keptLost were lost.
func labels(r *rig) (bool, error) {
	var workers []*worker
	sound := map[string]bool{} // workers that never fail
	for i := range labelWorkers {
		w := &worker{id: fmt.Sprintf("i-%d", i), service: "oja-app", zone: zones[i%len(zones)], slots: 32, behave: garbledWorker(r, i < garbledWorkers)}
		if err := r.startWorker(w); err != nil {
			return false, err
		}
		workers = append(workers, w)
		sound[w.id] = i >= garbledWorkers
	}
	r.configure(map[string]any{
		"version": 7, "limits": limits, "tenants": tenants,
		"routes": []map[string]any{{
			"name": "r-1", "host": "a.example", "path_prefix": "/order/", "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2,
			"service": "oja-app", "max_attempts": 1, "public": false,
		}},
		"services": []map[string]any{{"name": "oja-app", "health_path": "/health", "max_conns": 400, "protocol": "h1", "tls": false}},
	})
	if err := r.startHosts(memoryMB); err != nil {
		return false, err
	}
	var watching sync.WaitGroup
	for _, h := range r.hosts {
		watching.Go(h.boundMemory)
	}
	done := make(chan struct{})
	var lost, calls, failed atomic.Int64
	go func() {
		defer close(done)
		for n := 0; n < garbledTimes && lost.Load() <= keptLost; n++ {
			r.setTroubled(true)
			time.Sleep(garbleFor)
			r.setTroubled(false)
			time.Sleep(garbledPause)
		}
	}()
	var consumers sync.WaitGroup
	for n := range labelCallers * len(r.hosts) {
		consumers.Go(func() {
			k := &keptChannel{host: r.hosts[n%len(r.hosts)]}
			defer k.close()
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				id := fmt.Sprintf("%03x%06x", n, i)
				kept := k.conn != nil
				status, err := k.send(request{id: id, method: http.MethodPost, host: "a.example", path: "/order/2f", deadline: 3 * time.Second, body: "an order"})
				calls.Add(1)
				if status != http.StatusOK {
					failed.Add(1)
				}
				ranAt := placeOf(workers, id)
				r.note("consumer: %s to %s, kept channel %t: status %d, error %v; ran at %q", id, k.host.name, kept, status, err, ranAt)
				if err != nil && kept && sound[ranAt] {
					r.note("LOST: %s, sent on a kept channel to %s and handed to a sound worker, was not answered: %v", id, k.host.name, err)
					lost.Add(1)
				}
				if err != nil {
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(labelPause)
			}
		})
	}
	consumers.Wait()
	for _, h := range r.hosts {
		r.note("%s was killed %d times for its memory", h.name, h.kills.Load())
	}
	r.note("of %d calls %d failed; %d from kept channels were handed to sound workers and not answered", calls.Load(), failed.Load(), lost.Load())
	return lost.Load() > keptLost, nil
}

// garbledWorker returns the behavior of a worker that runs each call. A faulty one sends bytes that are not an
// answer instead of some of its answers while there is trouble, and closes the channel.
func garbledWorker(r *rig, faulty bool) func(*worker, *call) {
	var answers atomic.Int64
	return func(w *worker, c *call) {
		w.mu.Lock()
		w.runs[c.id]++
		w.mu.Unlock()
		time.Sleep(orderWork)
		if faulty && r.troubled() && answers.Add(1)%garbleEvery == 0 {
			r.note("worker %s: sends bytes that are not an answer to %s", w.id, c.id)
			_, _ = c.conn.Write(noAnswer())
			c.closed = true
			return
		}
		c.answer(http.StatusOK, true, nil, "done")
	}
}

// noAnswer returns bytes that are not an answer: one line of bytes that are not text.
func noAnswer() []byte {
	b := make([]byte, garbledBytes)
	for i := range b {
		b[i] = byte(0x80 + rand.IntN(0x80))
	}
	b[len(b)-1] = '\n'
	return b
}

// placeOf returns the worker at which a call ran; empty if it ran at none.
func placeOf(workers []*worker, id string) string {
	for _, w := range workers {
		w.mu.Lock()
		ran := w.runs[id] > 0
		w.mu.Unlock()
		if ran {
			return w.id
		}
	}
	return ""
}

// keptChannel is a consumer's channel for many requests.
type keptChannel struct {
	host   *host
	conn   net.Conn
	reader *bufio.Reader
}

func (k *keptChannel) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// send sends a request on the channel, and opens one if there is none. The error tells that the channel ended
// without an answer.
func (k *keptChannel) send(q request) (status int, err error) {
	if k.conn == nil {
		c, err := net.DialTimeout("tcp4", k.host.front(), time.Second)
		if err != nil {
			return 0, err
		}
		k.conn, k.reader = c, bufio.NewReader(c)
	}
	_ = k.conn.SetDeadline(time.Now().Add(q.deadline + 2*time.Second))
	if _, err := io.WriteString(k.conn, q.head()+q.body); err != nil {
		k.close()
		return 0, err
	}
	resp, err := http.ReadResponse(k.reader, &http.Request{Method: q.method})
	if err != nil {
		k.close()
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if err != nil || resp.Close || strings.EqualFold(resp.Header.Get("Connection"), "close") {
		k.close()
	}
	return resp.StatusCode, err
}
