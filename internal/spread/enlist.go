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

// At the first start of all hosts, each host has to be enlisted within a second or two. A table
// accepts a few hundred writes a second, so if many hosts wrote their own rows, most writes would
// be refused. Instead, a host asks a seed to enlist it, and the seed writes the rows of several
// hosts in one transaction.
const (
	// maxEnlistBatch is the maximum number of rows in one write.
	maxEnlistBatch = 90
	// enlistBatchDelay is the pause after a write in which further hosts join the next batch.
	enlistBatchDelay = 150 * time.Millisecond
	// enlistThroughSeedsTimeout is how long seeds are tried, for seedTimeout each; after that the
	// host writes its own row.
	enlistThroughSeedsTimeout = 1500 * time.Millisecond
	seedTimeout               = 700 * time.Millisecond
)

// namedEntry is a host's name and entry.
type namedEntry struct {
	name string
	entry
}

// enlistSelf writes the row of this host.
func (w *Watcher) enlistSelf(ctx context.Context) error {
	return w.writeEntries(ctx, []namedEntry{{w.options.Host, w.ownEntry()}})
}

// writeEntries writes the rows of the given hosts in one transaction.
func (w *Watcher) writeEntries(ctx context.Context, hosts []namedEntry) error {
	var txn store.Transaction
	for _, h := range hosts {
		data, err := codec.Encode(h.entry)
		if err != nil {
			return fmt.Errorf("enlist host: %w", err)
		}
		txn.Writes = append(txn.Writes, store.Put(HostsTable, h.name, data))
	}
	if err := w.options.Tables.Commit(ctx, txn); err != nil {
		return fmt.Errorf("enlist host: %w", err)
	}
	return nil
}

// writeEntryBatch writes the rows of hosts that asked this one to enlist them, then waits while
// further hosts join the next batch.
func (w *Watcher) writeEntryBatch(ctx context.Context, hosts []namedEntry) error {
	err := w.writeEntries(ctx, hosts)
	clock.Sleep(ctx, enlistBatchDelay)
	return err
}

// enlistThroughSeeds asks a seed to enlist this host, and writes the row itself if no seed does.
// The first seed to ask is chosen by the hash of the host's name, which shares the load among the
// seeds.
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
		w.options.Logger.Info("seed did not enlist this host; trying the next one", "address", seed, "error", err)
	}
	return w.enlistSelf(ctx)
}

// requestEnlist asks a seed to enlist this host.
func (w *Watcher) requestEnlist(ctx context.Context, seed string) error {
	c, err := w.pool.conn(seed)
	if err != nil {
		return err
	}
	own := w.ownEntry()
	// WaitForReady, because a seed may start a moment later than this host.
	_, err = spreadpb.NewSpreadClient(c).Enlist(ctx, &spreadpb.EnlistRequest{
		Name: w.options.Host, Address: own.Address, Hall: own.Hall, Cores: own.Cores,
	}, waitForReady)
	if err != nil {
		return fmt.Errorf("enlist this host through %s: %w", seed, err)
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
