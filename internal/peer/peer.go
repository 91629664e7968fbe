// Package peer holds the messages between hosts of the router and the ports
// through which they travel.
//
// # Usage
//
// A Link sends to another host by address; a Handler answers. The gRPC adapter
// in package rpc implements both ends; tests join hosts with an in-memory one.
//
//	pong, err := link.Ping(ctx, "10.0.0.7:7301", ping)
package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/quarantine"
)

// ErrUnreachable means no reply came from the peer.
var ErrUnreachable = errors.New("peer unreachable")

// ErrRefused means that the peer answered and declined.
var ErrRefused = errors.New("refused by the peer")

// Status is what a host tells of itself in every ping and reply.
type Status struct {
	Host        string
	DataHall    string
	Region      string
	Address     string // where it listens for peers, ip:port
	Incarnation string // new at each start of the process
	Revision    int64  // newest configuration in force there
	Age         time.Duration
	Confirmed   bool // Age is valid: time since the head was last confirmed
	Draining    bool
}

// RevisionMessage carries one encoded configuration revision.
type RevisionMessage struct {
	Number int64
	Data   []byte // codec encoding of config.Revision
}

// Push asks a host to apply a revision and to pass it on to others.
type Push struct {
	Revision RevisionMessage
	Relay    []Target // hosts to pass it on to
}

// Target is a host that a push is relayed to.
type Target struct {
	Host    string
	Address string
}

// Confirmation says which revision a host has in force.
type Confirmation struct {
	Host     string
	Revision int64
}

// Hold asks a host to keep copies of another host's open bills.
type Hold struct {
	Owner       string
	Incarnation string
	Address     string
	Open        [][]byte // codec encoding of billing.Bill; new or changed
	Closed      []string // ids of bills that the table has, or that were void
	Known       int      // copies the owner believes are held there already
}

// Grant gives a host credits for answers of a version in roll-out.
type Grant struct {
	Plan    string
	Epoch   int64
	Serial  int64 // grants with a serial that was seen are ignored
	Credits int
	Timeout time.Duration // after which the controller counts them as lost
}

// Query asks a host for rows of what it alone knows, such as recent requests.
type Query struct {
	Subject string // which rows, as the console names them
	Since   time.Duration
	ID      string // of what is asked for, such as a trace
}

// Reply carries the rows that a query asked for, encoded.
type Reply struct{ Data []byte }

// Link sends messages to other hosts.
type Link interface {
	Ping(ctx context.Context, address string, status Status) (Status, error)
	Fetch(ctx context.Context, address string, above int64) (RevisionMessage, error)
	Push(ctx context.Context, address string, push Push) ([]Confirmation, error)
	Hold(ctx context.Context, address string, hold Hold) error
	Grant(ctx context.Context, address string, grant Grant) error
	Show(ctx context.Context, address string, query Query) (Reply, error)
	// Tell brings news of crashes and returns what this host lacks.
	Tell(ctx context.Context, address string, n quarantine.Update) (quarantine.Update, error)
}

// Handler answers messages from other hosts.
type Handler interface {
	Ping(ctx context.Context, status Status) (Status, error)
	Fetch(ctx context.Context, above int64) (RevisionMessage, error)
	Push(ctx context.Context, push Push) ([]Confirmation, error)
	Hold(ctx context.Context, hold Hold) error
	Grant(ctx context.Context, grant Grant) error
	Show(ctx context.Context, query Query) (Reply, error)
	Tell(ctx context.Context, n quarantine.Update) (quarantine.Update, error)
}
