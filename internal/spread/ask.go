package spread

import (
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/store"
)

// throughPeers asks the hosts that come before this one in its data hall; asked
// is false if there are none, or those that were tried have failed with the
// error.
func throughPeers[T any](w *Watcher, ask func(peer) (T, error)) (answer T, asked bool, err error) {
	for _, p := range w.peers.candidates(peersTried) {
		answer, err = ask(p)
		if err == nil {
			w.peers.answered(p)
			return answer, true, nil
		}
		if errors.Is(err, store.ErrCompacted) {
			return answer, true, err
		}
		w.peers.failed(p, err)
		w.options.Logger.Info("host does not pass on the store", "peer", p.name, "address", p.address, "error", err)
	}
	return answer, false, err
}

// mayReadDirectly reports whether the store may be read directly now that other
// hosts do not pass it on. While they say that they do not reach it, that is now
// and then, unless this host has lately reached it: most likely nobody does.
func (w *Watcher) mayReadDirectly(err error) bool {
	if !storeLost(err) {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Before(w.reached) {
		return true
	}
	if now.Sub(w.probed) < clock.Around(directEvery) {
		return false
	}
	w.probed = now
	return true
}

// readDirectly notes how a direct read went.
func (w *Watcher) readDirectly(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reached = time.Time{}
	if err == nil || errors.Is(err, store.ErrCompacted) {
		w.reached = time.Now().Add(reachedFor)
	}
}
