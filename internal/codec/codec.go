// Package codec turns typed values into bytes and back, for table rows and
// peer messages.
//
// # Usage
//
//	data, err := codec.Encode(bill)
//	bill, err := codec.Decode[billing.Bill](data)
package codec

import (
	"encoding/json"
	"fmt"
)

// Encode returns the value as JSON.
func Encode[T any](value T) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", value, err)
	}
	return data, nil
}

// Decode reads a value from JSON.
func Decode[T any](data []byte) (T, error) {
	var value T
	if err := json.Unmarshal(data, &value); err != nil {
		return value, fmt.Errorf("decode %T: %w", value, err)
	}
	return value, nil
}
