package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does with bytes.
type Mode int

// Modes of a proxy.
const (
	Pass      Mode = iota
	Delay          // bytes come late
	Silent         // nothing passes, and nothing is closed
	MuteBack       // nothing comes back
	Resetting      // connections are reset, and new ones too
)

// proxyDelay is what Delay adds to each chunk of bytes.
const proxyDelay = 60 * time.Millisecond

// proxy passes on connections to an address on the loopback.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex // guards all below
	mode  Mode
	conns map[*net.TCPConn]bool
	moved chan struct{} // closed when the mode changes
	// changes are the times of changes of the mode, and what it became.
	changes []change
}

// change is a change of a proxy's mode.
type change struct {
	at   time.Time
	mode Mode
}

// newProxy starts a proxy to an address.
func newProxy(ports *portBlock, target string) (*proxy, error) {
	l, err := ports.listen()
	if err != nil {
		return nil, fmt.Errorf("start proxy: %w", err)
	}
	p := &proxy{listener: l, target: target, conns: map[*net.TCPConn]bool{}, moved: make(chan struct{})}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode; Resetting resets what is open.
func (p *proxy) set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.changes = append(p.changes, change{time.Now(), m})
	close(p.moved)
	p.moved = make(chan struct{})
	if m == Resetting {
		for c := range p.conns {
			reset(c)
		}
	}
}

// passed reports whether the proxy passed all bytes on in a time.
func (p *proxy) passed(from, until time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	mode := Pass
	for _, c := range p.changes {
		if mode != Pass && c.at.After(from) && !c.at.After(until) {
			return false
		}
		if c.at.After(until) {
			break
		}
		mode = c.mode
	}
	return mode == Pass
}

// reset closes a connection so that its peer sees a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c.(*net.TCPConn))
	}
}

func (p *proxy) pass(in *net.TCPConn) {
	p.mu.Lock()
	refused := p.mode == Resetting
	p.conns[in] = true
	p.mu.Unlock()
	defer p.forget(in)
	if refused {
		reset(in)
		return
	}
	c, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(in)
		return
	}
	out := c.(*net.TCPConn)
	p.mu.Lock()
	p.conns[out] = true
	p.mu.Unlock()
	defer p.forget(out)
	var both sync.WaitGroup
	both.Go(func() { p.copy(out, in, false) })
	both.Go(func() { p.copy(in, out, true) })
	both.Wait()
}

func (p *proxy) forget(c *net.TCPConn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// copy passes bytes one way as the mode has it.
func (p *proxy) copy(to, from *net.TCPConn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(back)
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err == io.EOF { //nolint:errorlint // a clean end is this very error
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// hold waits while the mode lets nothing pass.
func (p *proxy) hold(back bool) {
	for {
		p.mu.Lock()
		mode, moved := p.mode, p.moved
		p.mu.Unlock()
		switch {
		case mode == Silent, mode == MuteBack && back:
			<-moved
		case mode == Delay:
			time.Sleep(proxyDelay)
			return
		default:
			return
		}
	}
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(Resetting)
}
