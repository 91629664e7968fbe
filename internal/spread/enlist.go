package spread

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/spread/spreadpb"
	"quaybarrow/internal/store"
)

// At the first start of all hosts each has to be listed within a second or two, and a table takes a few
// hundred writes a second: of many hosts that write for themselves most are refused. So a host has a
// seed list it, which writes what came to it together.
const (
	// enlistMost rows are written at once.
	enlistMost = 90
	// enlistGather is how long those that come first wait for others.
	enlistGather = 150 * time.Millisecond
	// enlistLimit is how long seeds are tried, seedLimit each; then the host writes its row itself.
	enlistLimit = 1500 * time.Millisecond
	seedLimit   = 700 * time.Millisecond
)

// listed is a host with its entry.
type listed struct {
	name string
	entry
}

// enlist writes this host's row.
func (w *Watcher) enlist(ctx context.Context) error {
	return w.enlistAll(ctx, []listed{{w.options.Host, w.own()}})
}

// enlistAll writes the rows of some hosts.
func (w *Watcher) enlistAll(ctx context.Context, hosts []listed) error {
	var txn store.Transaction
	for _, h := range hosts {
		data, err := codec.Encode(h.entry)
		if err != nil {
			return fmt.Errorf("list host: %w", err)
		}
		txn.Writes = append(txn.Writes, store.Put(Table, h.name, data))
	}
	if err := w.options.Tables.Commit(ctx, txn); err != nil {
		return fmt.Errorf("list host: %w", err)
	}
	return nil
}

// enlistGathered writes the rows of hosts that have this one list them, after a moment in which
// others come.
func (w *Watcher) enlistGathered(ctx context.Context, hosts []listed) error {
	err := w.enlistAll(ctx, hosts)
	clock.Sleep(ctx, enlistGather)
	return err
}

// enlistThrough has a seed list this host, or does so itself. Each host has another first seed, so
// that they share the work.
func (w *Watcher) enlistThrough(ctx context.Context) error {
	seeds := w.options.Seeds
	if len(seeds) == 0 {
		return w.enlist(ctx)
	}
	first := xxhash.Sum64String(w.options.Host) % uint64(len(seeds))
	began := clock.Now()
	for i := first; clock.Since(began) < enlistLimit; i++ {
		seed := seeds[i%uint64(len(seeds))]
		if seed == w.options.Address {
			return w.enlistings.Do(ctx, listed{w.options.Host, w.own()})
		}
		limited, cancel := context.WithTimeout(ctx, min(seedLimit, enlistLimit-clock.Since(began)))
		err := w.askToEnlist(limited, seed)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		w.options.Logger.Info("seed does not list this host", "address", seed, "error", err)
	}
	return w.enlist(ctx)
}

// askToEnlist has a seed list this host.
func (w *Watcher) askToEnlist(ctx context.Context, seed string) error {
	c, err := w.link.conn(seed)
	if err != nil {
		return err
	}
	own := w.own()
	// A seed may start a moment later than this host.
	_, err = spreadpb.NewSpreadClient(c).Enlist(ctx, &spreadpb.EnlistRequest{
		Name: w.options.Host, Address: own.Address, Hall: own.Hall, Cores: own.Cores,
	}, waitForReady)
	if err != nil {
		return fmt.Errorf("have %s list this host: %w", seed, err)
	}
	return nil
}

// Enlist implements spreadpb.SpreadServer.
func (s *server) Enlist(ctx context.Context, r *spreadpb.EnlistRequest) (*spreadpb.EnlistReply, error) {
	h := listed{r.GetName(), entry{Address: r.GetAddress(), Hall: r.GetHall(), Cores: r.GetCores()}}
	if err := s.watcher.enlistings.Do(ctx, h); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &spreadpb.EnlistReply{}, nil
}
