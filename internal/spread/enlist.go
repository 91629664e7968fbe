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
	// maxEnlistBatch rows are written at once.
	maxEnlistBatch = 90
	// enlistBatchDelay is how long those that come first wait for others.
	enlistBatchDelay = 150 * time.Millisecond
	// enlistThroughSeedsTimeout is how long seeds are tried, seedLimit each; then the host writes its row itself.
	enlistThroughSeedsTimeout = 1500 * time.Millisecond
	seedTimeout               = 700 * time.Millisecond
)

// namedEntry is a host with its entry.
type namedEntry struct {
	name string
	entry
}

// enlistSelf writes this host's row.
func (w *Watcher) enlistSelf(ctx context.Context) error {
	return w.writeEntries(ctx, []namedEntry{{w.options.Host, w.ownEntry()}})
}

// writeEntries writes the rows of some hosts.
func (w *Watcher) writeEntries(ctx context.Context, hosts []namedEntry) error {
	var txn store.Transaction
	for _, h := range hosts {
		data, err := codec.Encode(h.entry)
		if err != nil {
			return fmt.Errorf("list host: %w", err)
		}
		txn.Writes = append(txn.Writes, store.Put(HostsTable, h.name, data))
	}
	if err := w.options.Tables.Commit(ctx, txn); err != nil {
		return fmt.Errorf("list host: %w", err)
	}
	return nil
}

// writeEntryBatch writes the rows of hosts that have this one list them, after a moment in which
// others come.
func (w *Watcher) writeEntryBatch(ctx context.Context, hosts []namedEntry) error {
	err := w.writeEntries(ctx, hosts)
	clock.Sleep(ctx, enlistBatchDelay)
	return err
}

// enlistThroughSeeds has a seed list this host, or does so itself. Each host has another first seed, so
// that they share the work.
func (w *Watcher) enlistThroughSeeds(ctx context.Context) error {
	seeds := w.options.Seeds
	if len(seeds) == 0 {
		return w.enlistSelf(ctx)
	}
	first := xxhash.Sum64String(w.options.Host) % uint64(len(seeds))
	began := clock.Now()
	for i := first; clock.Since(began) < enlistThroughSeedsTimeout; i++ {
		seed := seeds[i%uint64(len(seeds))]
		if seed == w.options.Address {
			return w.enlistBatcher.Do(ctx, namedEntry{w.options.Host, w.ownEntry()})
		}
		limited, cancel := context.WithTimeout(ctx, min(seedTimeout, enlistThroughSeedsTimeout-clock.Since(began)))
		err := w.requestEnlist(limited, seed)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		w.options.Logger.Info("seed does not list this host", "address", seed, "error", err)
	}
	return w.enlistSelf(ctx)
}

// requestEnlist has a seed list this host.
func (w *Watcher) requestEnlist(ctx context.Context, seed string) error {
	c, err := w.pool.conn(seed)
	if err != nil {
		return err
	}
	own := w.ownEntry()
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
	h := namedEntry{r.GetName(), entry{Address: r.GetAddress(), Hall: r.GetHall(), Cores: r.GetCores()}}
	if err := s.watcher.enlistBatcher.Do(ctx, h); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &spreadpb.EnlistReply{}, nil
}
