package spread

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"quaybarrow/internal/spread/spreadpb"
)

// packer packs whole tables for other hosts, each once for all that ask for the same
// version; safe for use at once.
type packer struct {
	mu     sync.Mutex // guards packed
	packed map[string]packedTable
}

// packedTable is a table as of a version.
type packedTable struct {
	version int64
	data    []byte
}

func newPacker() *packer { return &packer{packed: map[string]packedTable{}} }

// pack returns the rows of a whole table, gzipped.
func (p *packer) pack(table string, n news) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.packed[table]; ok && known.version == n.version {
		return known.data, nil
	}
	rows := &spreadpb.Rows{}
	for _, c := range n.changes {
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
	p.packed[table] = packedTable{version: n.version, data: b.Bytes()}
	return b.Bytes(), nil
}

// unpack returns the rows that pack has packed.
func unpack(data []byte) ([]*spreadpb.Row, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("unpack table: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, tableBytes))
	if err != nil {
		return nil, fmt.Errorf("unpack table: %w", err)
	}
	rows := &spreadpb.Rows{}
	if err := proto.Unmarshal(plain, rows); err != nil {
		return nil, fmt.Errorf("unpack table: %w", err)
	}
	return rows.GetRows(), nil
}

// tableBytes is the longest table that is taken from another host.
const tableBytes = 64 << 20
