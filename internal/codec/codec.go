// Package codec encodes typed values as bytes and decodes them, for table rows and peer messages.
//
// # Usage
//
//	data, err := codec.Encode(bill)
//	bill, err := codec.Decode[billing.Bill](data)
package codec

import (
	"bytes"
	"compress/gzip"
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

// Decode returns the value that is encoded as JSON in data.
func Decode[T any](data []byte) (T, error) {
	var value T
	if err := json.Unmarshal(data, &value); err != nil {
		return value, fmt.Errorf("decode %T: %w", value, err)
	}
	return value, nil
}

// Pack returns the value as gzip-compressed JSON, for large rows that are read often.
func Pack[T any](value T) ([]byte, error) {
	data, err := Encode(value)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("pack %T: %w", value, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack %T: %w", value, err)
	}
	return packed.Bytes(), nil
}

// Unpack returns the value that Pack encoded in data.
func Unpack[T any](data []byte) (T, error) {
	var value T
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return value, fmt.Errorf("unpack %T: %w", value, err)
	}
	if err := json.NewDecoder(r).Decode(&value); err != nil {
		return value, fmt.Errorf("unpack %T: %w", value, err)
	}
	return value, nil
}
