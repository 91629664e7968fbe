package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"quaybarrow/platform/standin"
)

// Times of faults.
const (
	faultEvery  = 700 * time.Millisecond // on average
	faultLasts  = 3 * time.Second        // at most
	drainBefore = 2500 * time.Millisecond
	downTime    = 300 * time.Millisecond
)

// fault is one thing that goes wrong and is put right again.
type fault func(ctx context.Context, w *world, lasts time.Duration)

// faults are all kinds.
var faults = []fault{
	killHost, stopHost, pauseHost, hangUp, storeForHost, storeForAll, forgetHistory,
	endpointLink, endpointCrash, endpointLeaves, newConfiguration, newConfiguration,
	endpointAgain, endpointAgain, evacuateHall, strangeEntry,
}

// injectFaults makes things go wrong for a time and returns how many did. It waits
// until each is put right.
func (w *world) injectFaults(ctx context.Context, length time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var under sync.WaitGroup
	count := 0
	for ctx.Err() == nil {
		f := faults[w.number(len(faults))]
		lasts := time.Duration(w.number(int(faultLasts)))
		under.Go(func() { f(context.WithoutCancel(ctx), w, lasts) })
		count++
		sleep(ctx, time.Duration(w.number(2*int(faultEvery))))
	}
	under.Wait()
	return count
}

// number draws a number below n.
func (w *world) number(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) host() *process { return w.hosts[w.number(len(w.hosts))] }

// endpoint draws an endpoint; nil if there is none.
func (w *world) endpoint() *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	skip := w.random.IntN(max(len(w.endpoints), 1))
	for _, e := range w.endpoints {
		if skip == 0 {
			return e
		}
		skip--
	}
	return nil
}

// healAll puts right what may still be wrong.
func (w *world) healAll() {
	w.store.SetFault(standin.Healthy)
	for _, p := range w.hosts {
		p.store.set(Pass)
		p.signal(syscall.SIGCONT)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endpoints {
		e.proxy.set(Pass)
	}
}

// restart starts a host again after its process has ended.
func restart(ctx context.Context, w *world, p *process) {
	p.await()
	sleep(ctx, downTime)
	if err := p.start(); err != nil {
		w.history.mu.Lock()
		defer w.history.mu.Unlock()
		w.history.violate("%s does not start again: %s", p.name, err)
	}
}

// once keeps two faults from ending one process at the same time.
func (p *process) once(do func()) {
	if !p.ending.TryLock() {
		return
	}
	defer p.ending.Unlock()
	from := time.Now()
	p.troubled(do)
	p.noteInterruption(from)
}

func killHost(ctx context.Context, w *world, _ time.Duration) {
	p := w.host()
	p.once(func() {
		p.signal(syscall.SIGKILL)
		restart(ctx, w, p)
	})
}

func stopHost(ctx context.Context, w *world, _ time.Duration) {
	p := w.host()
	p.once(func() {
		p.signal(syscall.SIGTERM)
		restart(ctx, w, p)
	})
}

func pauseHost(ctx context.Context, w *world, lasts time.Duration) {
	p := w.host()
	p.once(func() {
		p.signal(syscall.SIGSTOP)
		sleep(ctx, lasts)
		p.signal(syscall.SIGCONT)
	})
}

// hangUp signals a host that listens: a process that has only just begun can't catch a signal yet.
func hangUp(ctx context.Context, w *world, _ time.Duration) {
	if p := w.host(); p.listens(ctx) {
		p.signal(syscall.SIGHUP)
	}
}

func storeForHost(ctx context.Context, w *world, lasts time.Duration) {
	p := w.host()
	p.troubled(func() {
		p.store.set(Mode(1 + w.number(int(Resetting))))
		sleep(ctx, lasts)
		p.store.set(Pass)
	})
}

func storeForAll(ctx context.Context, w *world, lasts time.Duration) {
	w.store.SetFault(standin.Fault(1 + w.number(int(standin.DropFeedEvents))))
	sleep(ctx, lasts)
	w.store.SetFault(standin.Healthy)
}

func forgetHistory(_ context.Context, w *world, _ time.Duration) { w.store.Compact() }

func endpointLink(ctx context.Context, w *world, lasts time.Duration) {
	if e := w.endpoint(); e != nil {
		e.proxy.set(Mode(1 + w.number(int(Resetting))))
		sleep(ctx, lasts)
		e.proxy.set(Pass)
	}
}

// endpointCrash ends an endpoint without notice; its entry goes later, and
// another one comes.
func endpointCrash(ctx context.Context, w *world, lasts time.Duration) {
	if e := w.take(); e != nil {
		e.end()
		sleep(ctx, lasts)
		w.store.Delete(standin.TableEndpoints, e.ID)
	}
}

// endpointLeaves drains an endpoint and ends it; another one came before.
func endpointLeaves(ctx context.Context, w *world, _ time.Duration) {
	e := w.take()
	if e == nil {
		return
	}
	w.store.Put(standin.TableEndpoints, e.ID, e.leaving())
	sleep(ctx, drainBefore)
	w.store.Delete(standin.TableEndpoints, e.ID)
	sleep(ctx, drainBefore)
	e.end()
}

// take draws an endpoint that is to go and starts another in its place.
func (w *world) take() *endpoint {
	e := w.endpoint()
	if e == nil || !w.replace(e) {
		return nil
	}
	return e
}

// replace starts another endpoint in place of one that is to go; false if that one goes already.
func (w *world) replace(e *endpoint) bool {
	w.mu.Lock()
	if w.endpoints[e.ID] != e {
		w.mu.Unlock()
		return false
	}
	delete(w.endpoints, e.ID)
	w.mu.Unlock()
	if err := w.addEndpoint(e.service); err != nil {
		w.history.mu.Lock()
		defer w.history.mu.Unlock()
		w.history.violate("no endpoint could be started: %s", err)
	}
	return true
}

func newConfiguration(_ context.Context, w *world, _ time.Duration) { w.configure() }
