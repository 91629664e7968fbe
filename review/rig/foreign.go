//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The disruption of foreign: one worker of three sends the body of an answer a second time, after the whole
// answer. How often and for how long stands with garbleFor.

// bodyAgainAfter is how long after the whole answer the body comes again.
const bodyAgainAfter = 40 * time.Millisecond

func init() { cases["foreign"] = foreign }

// foreignTenants are the tenants of the case, each with a key.
var foreignTenants = []string{"one", "two"}

// receipt is the body of the answer to an order: it is for the tenant that sent the order, and no other.
func receipt(id, tenant string) string {
	return fmt.Sprintf("{\"order\":%q,\"tenant\":%q,\"payee\":\"payee-of-%s\",\"amount\":48000}\n", id, tenant, id)
}

// foreign sends calls of two tenants, on a route as the deployment has it, to three workers. One of them also
// sends bytes that belong to no request, unless TROUBLE=0.
func foreign(r *rig) (bool, error) {
	var workers []*worker
	for i, zone := range zones {
		w := &worker{id: fmt.Sprintf("i-%d", i), service: "oja-app", zone: zone, slots: 6, behave: receiptWorker(r, i == 0)}
		if err := r.startWorker(w); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	var keys []map[string]any
	for _, name := range foreignTenants {
		keys = append(keys, map[string]any{"name": name, "api_keys": []string{"key-of-" + name}})
	}
	r.configure(map[string]any{
		"version": 7, "limits": limits, "tenants": keys,
		"routes": []map[string]any{{
			"name": "r-1", "host": "a.example", "path_prefix": "/order/", "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2,
			"service": "oja-app", "max_attempts": 1, "public": false,
		}},
		"services": []map[string]any{{"name": "oja-app", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false}},
	})
	if err := r.startHosts(134); err != nil {
		return false, err
	}
	go r.garble()
	var sent, mixed, across atomic.Int64
	var consumers sync.WaitGroup
	for n := range 30 { // consumers, each with one call at a time
		tenant, other := foreignTenants[n%2], foreignTenants[(n+1)%2]
		consumers.Go(func() {
			for i := range 140 {
				id := fmt.Sprintf("%02x%06x", n, i)
				h := r.hosts[n%len(r.hosts)]
				r.note("consumer: of %s sends %s to %s", tenant, id, h.name)
				o := r.send(h, request{id: id, method: http.MethodPost, host: "a.example", path: "/order/2f", key: "key-of-" + tenant, deadline: 3 * time.Second, body: "an order"})
				sent.Add(1)
				r.note("consumer: of %s: %s: %v", tenant, id, o)
				if named := strings.Count(o.body, "payee-of-"); named > strings.Count(o.body, "payee-of-"+id) {
					r.note("MIXED: the answer to %s, of %s, has the answer to another request: status %d, %q", id, tenant, o.status, o.body)
					mixed.Add(1)
					if strings.Contains(strings.ReplaceAll(o.body, `\"`, `"`), fmt.Sprintf(`"tenant":%q`, other)) {
						across.Add(1)
					}
				}
				time.Sleep(250 * time.Millisecond)
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
	consumers.Wait()
	r.note("of %d calls %d got the answer to another request, %d of them another tenant's", sent.Load(), mixed.Load(), across.Load())
	return mixed.Load() > 0, nil
}

// receiptWorker returns the behavior of a worker that runs each call and answers it with a receipt. A faulty one
// sends the receipt again after some answers while there is trouble.
func receiptWorker(r *rig, faulty bool) func(*worker, *call) {
	var answers atomic.Int64
	return func(w *worker, c *call) {
		c.begin()
		time.Sleep(orderWork)
		body := receipt(c.id, c.req.Header.Get("Tenant"))
		c.answer(http.StatusOK, true, nil, body)
		if !faulty || !r.troubled() || answers.Add(1)%garbleEvery != 0 {
			return
		}
		time.AfterFunc(bodyAgainAfter, func() {
			r.note("worker %s: sends the body of its answer to %s again", w.id, c.id)
			_, _ = io.WriteString(c.conn, body)
		})
	}
}
