package console

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// ReadRow decodes a row that Row.MarshalJSON encoded, and keeps the order of its cells.
func ReadRow(data []byte) (Row, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if _, err := decoder.Token(); err != nil {
		return nil, fmt.Errorf("read row: %w", err)
	}
	var row Row
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, fmt.Errorf("read row: %w", err)
		}
		var value any
		if err := decoder.Decode(&value); err != nil {
			return nil, fmt.Errorf("read row: %w", err)
		}
		row = append(row, Cell{Name: fmt.Sprint(name), Value: value})
	}
	return row, nil
}
