// Package faults holds the fault matrix: every fault at every step, run over
// whole hosts with fakes at the interfaces under a paused clock, and judged by
// the ten promises over a recorded history.
//
// # Usage
//
//	go test ./internal/faults
//
// The page docs/FAULTS.md is made from what ran; UPDATE_FAULTS=1 writes it anew.
package faults
