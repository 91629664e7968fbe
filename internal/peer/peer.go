// Package peer defines the messages between hosts of the router and the interfaces for sending and
// handling them.
//
// # Usage
//
// A Link sends messages to other hosts by address; a Handler answers them. Package rpc implements
// both sides over gRPC; tests connect hosts with the in-memory LocalNetwork.
//
//	pong, err := link.Ping(ctx, "10.0.0.7:7301", ping)
package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/quarantine"
)

// ErrUnreachable means that no reply came from the peer.
var ErrUnreachable = errors.New("peer unreachable")

// ErrRefused means that the peer answered and refused the request.
var ErrRefused = errors.New("refused by the peer")

// Status describes a host; it is sent in every ping and in the reply to it.
type Status struct {
	Host        string
	DataHall    string
	Region      string
	Address     string        // where it listens for peers, ip:port
	Incarnation string        // changes with each start of the process
	Revision    int64         // newest configuration revision in force on the host
	Age         time.Duration // time since the head was last confirmed
	Confirmed   bool          // Age is valid
	Draining    bool
}

// RevisionMessage carries one encoded configuration revision.
type RevisionMessage struct {
	Number int64
	Data   []byte // codec encoding of config.Revision
}

// Push asks a host to apply a revision and to relay it to others.
type Push struct {
	Revision RevisionMessage
	Relay    []Target // hosts to relay it to
}

// Target is a host to relay a push to.
type Target struct {
	Host    string
	Address string
}

// Confirmation reports which revision a host has in force.
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
	Closed      []string // ids of bills that are in the table, or that were void
	Known       int      // copies that, according to the owner, the host holds already
}

// Grant gives a host credits for answers of a version that is being rolled out.
type Grant struct {
	Plan    string
	Epoch   int64
	Serial  int64 // a grant with a serial seen before is ignored
	Credits int
	Timeout time.Duration // the controller counts the credits as lost after it
}

// Query asks a host for rows of data that only this host has, such as recent requests.
type Query struct {
	Subject string // which rows, by the console's name for them
	Since   time.Duration
	ID      string // of the requested object, such as a trace
}

// Reply carries the encoded rows for a query.
type Reply struct{ Data []byte }

// Link sends messages to other hosts.
type Link interface {
	Ping(ctx context.Context, address string, status Status) (Status, error)
	Fetch(ctx context.Context, address string, above int64) (RevisionMessage, error)
	Push(ctx context.Context, address string, push Push) ([]Confirmation, error)
	Hold(ctx context.Context, address string, hold Hold) error
	Grant(ctx context.Context, address string, grant Grant) error
	Show(ctx context.Context, address string, query Query) (Reply, error)
	// Tell sends news of crashes to a host and returns the news that the sender lacks.
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
