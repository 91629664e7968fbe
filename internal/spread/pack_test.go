package spread

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"quaybarrow/internal/spread/spreadpb"
	"quaybarrow/internal/store"
)

// rows returns count rows with values of the given length, whose bytes repeat as those of
// declarations do.
func rows(count, length int) []store.Change {
	value := bytes.Repeat([]byte(`{"kind":"stream","attempts":3},`), length/31+1)[:length]
	changes := make([]store.Change, count)
	for i := range changes {
		changes[i] = store.Change{Row: store.Row{Key: fmt.Sprint("k", i), Value: value, Version: int64(i + 1)}}
	}
	return changes
}

func TestLongUpdatesArePacked(t *testing.T) {
	cases := map[string]struct {
		changes  []store.Change
		maxBytes int // of the reply
	}{
		"a single long row":           {rows(1, 560_000), 60_000},
		"many short rows":             {rows(200, 200), 8_000},
		"a few rows of medium length": {rows(10, 4_000), 8_000},
		"a short row":                 {rows(1, 100), 200},
		"nothing":                     {nil, 50},
	}
	for name, c := range cases {
		p, reply := newPacker(), &spreadpb.ReadReply{}
		if err := p.fill(reply, "t", 0, tableUpdate{changes: c.changes, version: 9}); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if size := proto.Size(reply); size > c.maxBytes {
			t.Errorf("%s: %d bytes", name, size)
		}
		got := reply.GetRows()
		if reply.GetPacked() != nil {
			var err error
			if got, err = unpack(reply.GetPacked()); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		same := slices.EqualFunc(got, c.changes, func(r *spreadpb.Row, c store.Change) bool {
			return r.GetKey() == c.Key && bytes.Equal(r.GetValue(), c.Value) && r.GetVersion() == c.Version
		})
		if !same {
			t.Errorf("%s: got %d rows that differ from the %d sent", name, len(got), len(c.changes))
		}
	}
}
