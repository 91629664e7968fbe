package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Ports of soaks: below those that the system gives to outgoing connections, which would take
// them while nobody listens there, and in blocks, since callers and hosts of another soak may still
// know an address of this one.
const (
	firstPort  = 15_000
	blocks     = 32
	blockPorts = 550
	// hostPorts of a block are for hosts, which listen there again after each start; stand-ins
	// and proxies take the others in turn.
	hostPorts = 250
)

// portBlock is a row of ports that no other soak uses; the first is kept open to show that it is
// taken. Safe for use at once.
type portBlock struct {
	taken net.Listener
	base  int

	mu    sync.Mutex // guards all below
	hosts int        // ports given to hosts
	turns int        // ports tried for stand-ins and proxies
}

// takePorts takes a block that is free.
func takePorts() (*portBlock, error) {
	for _, i := range rand.Perm(blocks) {
		base := firstPort + i*blockPorts
		l, err := net.Listen("tcp4", loopback(base))
		if err != nil {
			continue
		}
		if hostsFree(base) {
			return &portBlock{taken: l, base: base}, nil
		}
		_ = l.Close()
	}
	return nil, errors.New("no free ports")
}

// hostsFree reports whether nobody listens at the ports for hosts: those of a soak that was killed may
// live on, and would answer this one's callers.
func hostsFree(base int) bool {
	for port := base + 1; port < base+hostPorts; port++ {
		l, err := net.Listen("tcp4", loopback(port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// name names the block; no two soaks that run at the same time have the same.
func (b *portBlock) name() string { return fmt.Sprint("s", (b.base-firstPort)/blockPorts) }

// hostAddress returns an address for a host that no other gets.
func (b *portBlock) hostAddress() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hosts+1 >= hostPorts {
		return "", errors.Errorf("all %d ports for hosts are taken", hostPorts-1)
	}
	b.hosts++
	return loopback(b.base + b.hosts), nil
}

// listen listens at the port that nobody has listened at for the longest time.
func (b *portBlock) listen() (net.Listener, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range blockPorts - hostPorts {
		port := b.base + hostPorts + b.turns%(blockPorts-hostPorts)
		b.turns++
		l, err := net.Listen("tcp4", loopback(port))
		if err == nil {
			return l, nil
		}
	}
	return nil, errors.New("all ports for stand-ins are taken")
}

// loopback is the address of a port of this machine.
func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
