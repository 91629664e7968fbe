//go:build review

// Command rig plays the cases of the review: it starts the daemon of the deploy file as separate processes
// on loopback addresses, with stand-ins for the platform's store, workers and consumers, and judges only
// what those see.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quaybarrow/platform/standin"
)

// zones are the places of the deployment; each has one machine.
var zones = []string{"ikeja", "lekki", "yaba"}

// rig is a small deployment on loopback addresses.
type rig struct {
	dir       string
	trouble   bool
	store     *standin.Store
	storeAt   string
	hosts     []*host
	stop      chan struct{}
	inTrouble atomic.Bool

	mu     sync.Mutex // guards record
	record *os.File
	start  time.Time
}

// host is a machine of the system: one process of the daemon.
type host struct {
	rig      *rig
	name     string
	zone     string
	ip       string
	ports    [4]int // front, ready, control, internal
	memoryMB int

	mu     sync.Mutex // guards the fields below
	cmd    *exec.Cmd
	exited chan struct{}
	asked  bool
	starts int
	kills  atomic.Int64 // by the platform, for memory
}

// newRig returns a rig that writes its record to the folder of the case.
func newRig(caseDir string) (*rig, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	r := &rig{dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: standin.NewStore(), stop: make(chan struct{}), record: record, start: time.Now()}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, r.store) }()
	return r, nil
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// configure writes the operator's configuration to the store.
func (r *rig) configure(config map[string]any) {
	data, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	r.store.Put("op", "config", data)
}

// limits are those of the example configuration of the users' pages.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// tenants has the one tenant of the cases.
var tenants = []map[string]any{{"name": "one", "api_keys": []string{"key-of-one"}}}

// setTroubled begins or ends the disruption of a case, unless TROUBLE=0.
func (r *rig) setTroubled(on bool) {
	if !r.trouble {
		return
	}
	r.note("the disruption is on: %t", on)
	r.inTrouble.Store(on)
}

// troubled reports whether the disruption is on.
func (r *rig) troubled() bool { return r.inTrouble.Load() }

// freePorts finds ports that are free on all addresses.
func freePorts(ips []string) ([4]int, error) {
	var ports [4]int
	for i := range ports {
		for try := 0; ; try++ {
			if try > 200 {
				return ports, fmt.Errorf("no free ports")
			}
			first, err := net.Listen("tcp4", ips[0]+":0")
			if err != nil {
				return ports, err
			}
			port, free := first.Addr().(*net.TCPAddr).Port, true
			held := []net.Listener{first}
			for _, ip := range ips[1:] {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
				if err != nil {
					free = false
					break
				}
				held = append(held, l)
			}
			for _, l := range held {
				_ = l.Close()
			}
			if free {
				ports[i] = port
				break
			}
		}
	}
	return ports, nil
}

// startHosts starts one host a zone and waits until all are ready and have settled.
func (r *rig) startHosts(memoryMB int) error {
	ips := make([]string, len(zones))
	for i := range zones {
		ips[i] = fmt.Sprintf("127.0.%d.%d", 1+os.Getpid()%200, i+1)
	}
	ports, err := freePorts(ips)
	if err != nil {
		return err
	}
	for i, zone := range zones {
		h := &host{rig: r, name: "front-" + zone + "-1", zone: zone, ip: ips[i], ports: ports, memoryMB: memoryMB}
		r.hosts = append(r.hosts, h)
	}
	for _, h := range r.hosts {
		if err := h.run(true); err != nil {
			return err
		}
	}
	for _, h := range r.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	return nil
}

func (h *host) at(i int) string { return fmt.Sprintf("%s:%d", h.ip, h.ports[i]) }

// front is the address for consumers.
func (h *host) front() string { return h.at(0) }

// settings fills in the project's template of settings like the platform does.
func (h *host) settings(bootstrap bool) string {
	var seeds []string
	for _, o := range h.rig.hosts {
		seeds = append(seeds, fmt.Sprintf("%q", o.at(2)))
	}
	return fmt.Sprintf(`host: %q
data_hall: %q
region: "lagos"
gateway:
  callers: %q
  ready: %q
  control: %q
  peers: %q
  seeds: [%s]
  store: %q
  memory_mb: %d
  retry_ratio: 0.9
  exposure: 0.15
  grace: 8s
  in_force: 2000ms
  leaving: 2000ms
  cores: 0.4
  first: %t
  halls: {"ikeja":"lagos","lekki":"lagos","yaba":"lagos"}
`, h.name, h.zone, h.at(0), h.at(1), h.at(2), h.at(3), strings.Join(seeds, ","), h.rig.storeAt, h.memoryMB, bootstrap)
}

// run starts the process.
func (h *host) run(bootstrap bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	file := filepath.Join(h.rig.dir, h.name+".conf")
	if err := os.WriteFile(file, []byte(h.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.rig.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/quaybarrowd") // the command of the deploy file
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "QUAYBARROW_SETTINGS=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.exited, h.asked = cmd, make(chan struct{}), false
	h.starts++
	exited := h.exited
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		h.mu.Lock()
		if !h.asked {
			h.rig.note("process %s of %s ended by itself: %v", cmd.Args[0], h.name, err)
		}
		h.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.asked = true
	}
	_ = h.cmd.Process.Signal(s)
}

// ready asks the readiness probe.
func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.at(1) + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *host) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", h.name)
}

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	close(r.stop)
	for _, h := range r.hosts {
		h.mu.Lock()
		running := h.cmd != nil
		h.mu.Unlock()
		if running {
			h.signal(syscall.SIGKILL)
			<-h.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("kept", r.dir)
	}
	_ = r.record.Close()
}
