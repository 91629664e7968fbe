package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is the program of the deploy file's role, as its run line names it from the root.
const daemon = "target/quaybarrowd"

// zones of the deployment, with a host each.
var zones = []string{"ikeja", "lekki", "yaba"}

// deployment is a small deployment on loopback addresses: hosts and workers in processes of their own.
type deployment struct {
	dir     string // temporary folder
	store   *Store
	hosts   []*host
	workers []*workerProcess
	record  *recorder
}

// host is a process of the project's daemon.
type host struct {
	name, zone, ip string
	ports          ports
	settings       string // file
	command        *exec.Cmd
	exited         chan struct{}
	logFile        string
}

// ports are the same on all hosts.
type ports struct{ front, ready, control, peers int }

// workerProcess is a worker in a process of its own.
type workerProcess struct {
	id, service, address, zone, logFile string
	args                                []string
	command                             *exec.Cmd
}

// recorder writes the record of a run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(file string) (*recorder, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &recorder{file: f, began: time.Now()}, nil
}

// note writes a line to the record.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// newDeployment starts a store and chooses addresses. Nothing else runs yet.
func newDeployment(record *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	d := &deployment{dir: dir, record: record}
	if d.store, err = startStore(); err != nil {
		return nil, err
	}
	var ips []string
	network := 1 + rand.IntN(250) // of this run, so that several runs can go on at once
	for i := range zones {
		ips = append(ips, fmt.Sprintf("127.77.%d.%d", network, 11+i))
	}
	free, err := freePorts(ips, 4)
	if err != nil {
		return nil, err
	}
	for i, zone := range zones {
		d.hosts = append(d.hosts, &host{
			name: "front-" + zone + "-1", zone: zone, ip: ips[i], ports: ports{front: free[0], ready: free[1], control: free[2], peers: free[3]},
			settings: filepath.Join(dir, zone+".conf"), logFile: filepath.Join(dir, zone+".log"),
		})
	}
	return d, nil
}

// Ports are chosen below those that the kernel gives to outgoing connections.
const (
	firstPort = 20000
	portCount = 10000
)

// freePorts returns ports that are free at all addresses.
func freePorts(ips []string, n int) ([]int, error) {
	var found []int
	for range 1000 {
		port := firstPort + rand.IntN(portCount)
		if freeAt(ips, port) && !slices.Contains(found, port) {
			found = append(found, port)
		}
		if len(found) == n {
			return found, nil
		}
	}
	return nil, errors.New("no free ports")
}

func freeAt(ips []string, port int) bool {
	for _, ip := range ips {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// address returns one of a host's addresses.
func (h *host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// writeSettings writes a host's settings as the platform fills in the project's template.
func (d *deployment) writeSettings(h *host, graceS int, first bool) error {
	var seeds []string
	for _, other := range d.hosts {
		seeds = append(seeds, fmt.Sprintf("%q", other.address(other.ports.control)))
	}
	text := fmt.Sprintf(`host: %q
data_hall: %q
region: "lagos"
gateway:
  callers: %q
  ready: %q
  control: %q
  peers: %q
  seeds: [%s]
  store: %q
  memory_mb: 134
  retry_ratio: 0.9
  exposure: 0.15
  grace: %ds
  in_force: 2000ms
  leaving: 2000ms
  cores: 0.4
  first: %v
  halls: {"ikeja":"lagos","lekki":"lagos","yaba":"lagos"}
`, h.name, h.zone, h.address(h.ports.front), h.address(h.ports.ready), h.address(h.ports.control), h.address(h.ports.peers),
		strings.Join(seeds, ","), d.store.address, graceS, first)
	next := h.settings + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if err := os.Rename(next, h.settings); err != nil {
		return fmt.Errorf("replace settings: %w", err)
	}
	return nil
}

// startHost starts a host's process.
func (d *deployment) startHost(h *host) error {
	log, err := os.OpenFile(h.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(daemon)
	c.Env = append(os.Environ(), "QUAYBARROW_SETTINGS="+h.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", daemon, err)
	}
	h.command, h.exited = c, make(chan struct{})
	exited := h.exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	d.record.note("host %s starts as process %d at %s", h.name, c.Process.Pid, h.address(h.ports.front))
	return nil
}

// signal sends a signal to a host.
func (d *deployment) signal(h *host, s syscall.Signal) {
	d.record.note("host %s gets signal %v", h.name, s)
	_ = h.command.Process.Signal(s)
}

// hasExited reports whether a host's process has ended.
func (h *host) hasExited() bool {
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}

// ready reports whether a host says that it is ready.
func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.address(h.ports.ready) + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startHosts writes the settings of all hosts, starts them for the first time and waits until they are
// ready and the sheet's ten seconds before the first traffic have passed.
func (d *deployment) startHosts(graceS int) error {
	for _, h := range d.hosts {
		if err := d.writeSettings(h, graceS, true); err != nil {
			return err
		}
		if err := d.startHost(h); err != nil {
			return err
		}
	}
	began := time.Now()
	for _, h := range d.hosts {
		for !h.ready() {
			if time.Since(began) > 20*time.Second {
				d.noteLog(h)
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(began.Add(10 * time.Second)))
	d.record.note("all hosts are ready")
	return nil
}

// noteLog writes the end of a host's log to the record.
func (d *deployment) noteLog(h *host) {
	data, err := os.ReadFile(h.logFile)
	if err != nil {
		d.record.note("log of %s: %v", h.name, err)
		return
	}
	d.record.note("log of %s: %s", h.name, data[max(0, len(data)-notedLog):])
}

// notedLog is how many bytes of a log are noted.
const notedLog = 4000

// startWorker starts a worker's process at an address, or at a free one if it is empty, and lists it.
func (d *deployment) startWorker(id, service, zone, address string, args ...string) (*workerProcess, error) {
	if address == "" {
		free, err := freePorts([]string{"127.0.0.1"}, 1)
		if err != nil {
			return nil, err
		}
		address = fmt.Sprintf("127.0.0.1:%d", free[0])
	}
	w := &workerProcess{id: id, service: service, zone: zone, address: address, logFile: filepath.Join(d.dir, id+".log"), args: args}
	if err := w.start(); err != nil {
		return nil, err
	}
	d.workers = append(d.workers, w)
	d.list(w, "ready")
	d.record.note("worker %s of %s starts as process %d at %s", id, service, w.command.Process.Pid, address)
	return w, nil
}

func (w *workerProcess) start() error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find this program: %w", err)
	}
	w.command = exec.Command(program, append([]string{"worker", "-id", w.id, "-address", w.address, "-log", w.logFile}, w.args...)...)
	w.command.Stderr = os.Stderr
	if err := w.command.Start(); err != nil {
		return fmt.Errorf("start worker: %w", err)
	}
	for range 100 {
		c, err := net.Dial("tcp4", w.address)
		if err == nil {
			_ = c.Close()
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("worker does not listen")
}

// list writes a worker's entry to the store.
func (d *deployment) list(w *workerProcess, state string) {
	d.store.Put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 128, "state": state, "cold_left_ms": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []string{}}}, "seq": 1,
	})
}

// kill crashes a worker.
func (d *deployment) kill(w *workerProcess) {
	d.record.note("worker %s crashes (SIGKILL)", w.id)
	_ = w.command.Process.Kill()
	_ = w.command.Wait()
}

// stop ends all processes that were started, and removes the temporary folder.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		if h.command != nil && !h.hasExited() {
			_ = h.command.Process.Signal(syscall.SIGCONT)
			_ = h.command.Process.Kill()
			<-h.exited
		}
	}
	for _, w := range d.workers {
		_ = w.command.Process.Kill()
		_ = w.command.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// config returns a configuration of the operator with three routes to two services.
func config(version, onceTimeoutMs int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-stream", "host": "rig.example", "path_prefix": "/stream/", "kind": "streaming", "timeout_ms": 25000,
				"target_latency_ms": 1500, "priority": 1, "service": "lm", "max_attempts": 3, "public": false, "sticky": true,
				"resume_streams": true, "gap_aim_ms": 1200},
			map[string]any{"name": "r-once", "host": "rig.example", "path_prefix": "/once/", "kind": "non_idempotent", "timeout_ms": onceTimeoutMs,
				"target_latency_ms": 300, "priority": 2, "service": "app", "max_attempts": 1, "public": false},
			map[string]any{"name": "r-again", "host": "rig.example", "path_prefix": "/again/", "kind": "idempotent", "timeout_ms": 4000,
				"target_latency_ms": 300, "priority": 2, "service": "app", "max_attempts": 2, "public": false},
		},
		"services": []any{
			map[string]any{"name": "lm", "health_path": "/health", "max_conns": 620, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 128, "kv_capacity_tokens": 682009, "kv_token_bytes": 35136, "link_mbps": 260000.0, "moves": true, "backups": true,
					"stride": 6, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m0", "cost": 0.015}}}},
			map[string]any{"name": "app", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{"key-1", "key-2"}, "priority": 1}},
	}
}
