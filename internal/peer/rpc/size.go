package rpc

import (
	"google.golang.org/protobuf/proto"

	"quaybarrow/internal/peer"
)

// StatusSize returns the size of a status on the wire, in bytes.
func StatusSize(s peer.Status) int { return proto.Size(statusToWire(s)) }

// PushSize returns the size of a push on the wire before compression, in bytes.
func PushSize(p peer.Push) int { return proto.Size(pushToWire(p)) }
