package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Parameters of the case "memory". Bodies are as long as the configuration allows. Each client asks
// for one stream after the other, so a host serves a steady number of requests; in the burst there are
// 1.7 times as many clients.
const (
	memoryLimitMB = 134
	bodyBytes     = 4194304
	usualClients  = 16 // of each host
	burstClients  = 27
	burstStart    = 6 * time.Second
	burstFor      = 3 * time.Second
	streamEvents  = 20
	streamGap     = 100 * time.Millisecond
	clientStagger = 130 * time.Millisecond // between the first requests of two clients
	restartAfter  = 500 * time.Millisecond
	// faultEnds and faultHosts are how many processes have to end by themselves, on how many machines.
	faultEnds, faultHosts = 3, 2
)

// residentMB returns the resident memory of a process.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// runMemory has many clients come at once whose requests are as long as the configuration allows. As
// the platform does, it kills a host that goes over its memory, and starts it again.
func runMemory(d *deployment, trouble bool) (bool, error) {
	d.store.Put("op", "config", config(3, 4000))
	for i, zone := range zones {
		if _, err := d.startWorker(fmt.Sprintf("i-lm%d", i), "lm", zone, "", "-events", fmt.Sprint(streamEvents), "-gap", streamGap.String()); err != nil {
			return false, err
		}
		if _, err := d.startWorker(fmt.Sprintf("i-app%d", i), "app", zone, ""); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(firstGraceS); err != nil {
		return false, err
	}
	var ended atomic.Bool
	var watching, asking sync.WaitGroup
	ends := make([]int, len(d.hosts))
	for i, h := range d.hosts {
		watching.Go(func() { ends[i] = d.limitMemory(h, &ended) })
	}
	began := time.Now()
	end := began.Add(burstStart + burstFor)
	var served, failed atomic.Int64
	body := strings.Repeat("b", bodyBytes)
	client := func(h *host, name string, from time.Duration) {
		asking.Go(func() {
			time.Sleep(time.Until(began.Add(from)))
			for n := 0; time.Now().Before(end); n++ {
				r := newModelRequest(fmt.Sprintf("%s-%d", name, n))
				r.body = body
				if a := ask(h.address(h.ports.front), r); a.complete && a.status == 200 {
					served.Add(1)
				} else {
					failed.Add(1)
					d.record.note("%v", a)
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	for i, h := range d.hosts {
		for n := range burstClients {
			switch {
			case n < usualClients:
				client(h, fmt.Sprintf("h%d-%d", i, n), time.Duration(n)*clientStagger)
			case trouble:
				client(h, fmt.Sprintf("h%d-%d", i, n), burstStart+time.Duration(n-usualClients)*clientStagger)
			}
		}
	}
	asking.Wait()
	ended.Store(true)
	watching.Wait()
	total, hosts := 0, 0
	for _, n := range ends {
		total += n
		if n > 0 {
			hosts++
		}
	}
	d.record.note("%d requests served, %d not; %d processes ended for their memory, on %d machines", served.Load(), failed.Load(), total, hosts)
	return total >= faultEnds && hosts >= faultHosts, nil
}

// limitMemory kills a host whenever it goes over the machine's memory and starts it again, until the
// case has ended. It returns how often it did.
func (d *deployment) limitMemory(h *host, ended *atomic.Bool) int {
	kills, most := 0, 0.0
	for !ended.Load() {
		time.Sleep(5 * time.Millisecond)
		used := residentMB(h.command.Process.Pid)
		most = max(most, used)
		if used <= memoryLimitMB {
			continue
		}
		kills++
		d.record.note("host %s uses %.1f MB of %d MB, and is killed", h.name, used, memoryLimitMB)
		_ = h.command.Process.Signal(syscall.SIGKILL)
		<-h.exited
		time.Sleep(restartAfter)
		_ = d.writeSettings(h, firstGraceS, false)
		if err := d.startHost(h); err != nil {
			d.record.note("host %s can't be started again: %v", h.name, err)
			return kills
		}
	}
	d.record.note("host %s: %.1f MB at most", h.name, most)
	return kills
}
