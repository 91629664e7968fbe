package spread

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"quaybarrow/internal/spread/spreadpb"
	"quaybarrow/internal/store"
)

// packer compresses updates with many or long rows. It compresses each update once for all hosts
// that request it. It is safe for concurrent use.
type packer struct {
	mu     sync.Mutex // guards packed
	packed map[packKey][]byte
}

// packKey identifies the changes of a table from after one version up to another.
type packKey struct {
	table          string
	after, version int64
}

// maxPacked limits how many compressed updates are kept; the hosts of a group request the same few
// versions.
const maxPacked = 8

// An update with at least minPackRows rows or minPackBytes bytes of values is compressed. A
// configuration of 1,800 routes is a single row of 560 KB: a host on 10 Mbit/s takes half a second
// to receive it, and a tenth of that if it is compressed.
const (
	minPackRows  = 16
	minPackBytes = 2 << 10
)

func newPacker() *packer { return &packer{packed: map[packKey][]byte{}} }

// fill puts the changes after a version into a reply, compressed where that is worthwhile.
func (p *packer) fill(reply *spreadpb.ReadReply, table string, after int64, update tableUpdate) error {
	if !worthPacking(update.changes) {
		for _, c := range update.changes {
			reply.Rows = append(reply.Rows, rowToWire(c.Row, c.Deleted))
		}
		return nil
	}
	packed, err := p.pack(table, after, update)
	reply.Packed = packed
	return err
}

func worthPacking(changes []store.Change) bool {
	size := 0
	for _, c := range changes {
		size += len(c.Value)
	}
	return len(changes) >= minPackRows || size >= minPackBytes
}

// pack returns the changes after a version as a gzipped spreadpb.Rows.
func (p *packer) pack(table string, after int64, update tableUpdate) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := packKey{table: table, after: after, version: update.version}
	if packed, ok := p.packed[key]; ok {
		return packed, nil
	}
	if len(p.packed) >= maxPacked {
		clear(p.packed)
	}
	rows := &spreadpb.Rows{}
	for _, c := range update.changes {
		rows.Rows = append(rows.Rows, rowToWire(c.Row, c.Deleted))
	}
	plain, err := proto.Marshal(rows)
	if err != nil {
		return nil, fmt.Errorf("pack table %s: %w", table, err)
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("pack table %s: %w", table, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack table %s: %w", table, err)
	}
	p.packed[key] = b.Bytes()
	return b.Bytes(), nil
}

// unpack decodes the output of pack.
func unpack(data []byte) ([]*spreadpb.Row, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("unpack table: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxTableBytes))
	if err != nil {
		return nil, fmt.Errorf("unpack table: %w", err)
	}
	rows := &spreadpb.Rows{}
	if err := proto.Unmarshal(plain, rows); err != nil {
		return nil, fmt.Errorf("unpack table: %w", err)
	}
	return rows.GetRows(), nil
}

// maxTableBytes is the largest uncompressed table that is accepted from another host.
const maxTableBytes = 64 << 20
