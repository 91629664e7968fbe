package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"quaybarrow/platform/standin"
)

// process is a host's process.
type process struct {
	name     string
	daemon   string
	settings string // path of its settings
	text     string // of them, without whether the whole system starts for the first time
	logDir   string
	callers  string
	readyAt  string
	store    *proxy
	ending   sync.Mutex // held by the fault that ends or pauses the process

	mu     sync.Mutex // guards all below
	cmd    *exec.Cmd
	starts int
	asked  bool     // to end, in its present life
	ends   []string // that nobody asked for
	exited chan struct{}
	// troubles are times in which something happened to the host.
	troubles []trouble
	// interruptions are the times of them in which the process did not run, or stopped and started.
	interruptions []trouble
}

// settingsText is a host's settings file.
const settingsText = `host: %s
data_hall: %s
region: lagos
gateway:
  callers: %s
  ready: %s
  control: %s
  peers: %s
  store: %s
  memory_mb: 200
  retry_ratio: 0.9
  grace: 6s
  in_force: 2s
  leaving: 2s
  cores: 0.4
  cold_overshoot: 1.5
  cold_slack: 2
  halls: {ikeja: lagos, lekki: lagos, yaba: lagos}
`

func newProcess(o Options, dir string, i int, store string, ports *portBlock) (*process, error) {
	through, err := newProxy(ports, store)
	if err != nil {
		return nil, err
	}
	var addresses [4]string // for callers, questions of readiness, operators and peers
	for i := range addresses {
		if addresses[i], err = ports.hostAddress(); err != nil {
			return nil, fmt.Errorf("give addresses: %w", err)
		}
	}
	p := &process{
		name: fmt.Sprint("host-", i), daemon: o.Daemon, logDir: o.LogDir, callers: addresses[0], readyAt: addresses[1], store: through,
	}
	p.settings = filepath.Join(dir, p.name+".yaml")
	p.text = fmt.Sprintf(settingsText, p.name, halls[i%len(halls)], p.callers, p.readyAt, addresses[2], addresses[3], through.address())
	return p, p.start()
}

// writeSettings writes the settings for the next start; only at a host's first does the whole system
// start.
func (p *process) writeSettings() error {
	text := fmt.Appendf(nil, "%s  first: %t\n", p.text, p.starts == 0)
	if err := os.WriteFile(p.settings, text, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// start starts the process.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.writeSettings(); err != nil {
		return err
	}
	out, err := logFile(p.logDir, p.name)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.daemon, "-settings", p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // hosts of a soak that is killed end with it
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.asked = cmd, exited, false
	p.starts++
	life := fmt.Sprintf("%s/%d", p.name, p.starts)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.noteEnd(life, err)
		close(exited)
	}()
	return nil
}

// noteEnd notes how a life of the process ended, if nobody asked for it.
func (p *process) noteEnd(life string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.asked {
		p.ends = append(p.ends, fmt.Sprintf("%s ended by itself: %v", life, err))
	}
}

// ownEnds lists ends of the process that nobody asked for.
func (p *process) ownEnds() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.ends)
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = p.asked || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// life names the present life of the process.
func (p *process) life() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s/%d", p.name, p.starts)
}

// await waits until the process has ended.
func (p *process) await() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	<-exited
}

// listens reports whether the process takes connections.
func (p *process) listens(ctx context.Context) bool {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.readyAt)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// ready reports whether the host says that it is ready.
func (p *process) ready(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.readyAt+standin.PathReady, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// end kills the process, paused or not.
func (p *process) end() {
	p.signal(syscall.SIGKILL)
	p.await()
	p.store.close()
}
