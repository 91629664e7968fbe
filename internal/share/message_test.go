package share_test

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"quaybarrow/internal/share"
	"quaybarrow/internal/standin/suite"
)

// overloadReport is the report of a host for whose requests endpoints have no room.
func overloadReport(host, workspace string, work float64) share.Report {
	return share.Report{
		Host: host, Service: rigService, Demand: map[share.Class]float64{class(workspace, 1): work}, Admitted: work,
		Arrivals: 100, Rejections: 50, Occupancy: 3, Responses: 100, PressedFor: 2 * time.Second,
	}
}

// handle lets an owner handle reports each 200 ms for a second, and returns the last reply.
func handle(owner *share.Shares, reports ...share.Report) share.Reply {
	var reply share.Reply
	for range 6 {
		for _, r := range reports {
			var err error
			reply, err = owner.Handle(r)
			Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(200 * time.Millisecond)
	}
	return reply
}

// inMemory carries calls from a client to a server.
type inMemory struct {
	description *grpc.ServiceDesc
	server      any
}

// RegisterService implements grpc.ServiceRegistrar.
func (m *inMemory) RegisterService(d *grpc.ServiceDesc, server any) {
	m.description, m.server = d, server
}

// Invoke implements grpc.ClientConnInterface.
func (m *inMemory) Invoke(ctx context.Context, method string, args, reply any, _ ...grpc.CallOption) error {
	d := m.description.Methods[0]
	Expect(method).To(Equal("/" + m.description.ServiceName + "/" + d.MethodName))
	decode := func(into any) error { return copyMessage(into, args) }
	got, err := d.Handler(m.server, ctx, decode, nil)
	if err != nil {
		return err
	}
	return copyMessage(reply, got)
}

// NewStream implements grpc.ClientConnInterface.
func (m *inMemory) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, errors.New("no streams")
}

func copyMessage(to, from any) error {
	encoded, err := proto.Marshal(from.(proto.Message))
	if err != nil {
		return err
	}
	return proto.Unmarshal(encoded, to.(proto.Message))
}

var _ = Describe("an owner", func() {
	It("counts the report of a host that died for a second", func() {
		suite.Paused(func() {
			r := newRig(2, plain)
			owner := r.hosts[r.index(r.order()[0])]
			own, other := overloadReport("host-0", "w0", 12), overloadReport("host-1", "w1", 12)
			both := handle(owner, own, other)
			Expect(both.Fractions).To(HaveLen(2))
			time.Sleep(time.Second)
			Expect(handle(owner, own).Fractions).To(SatisfyAll(HaveKey(class("w0", 1)), Not(HaveKey(class("w1", 1)))))
		})
	})

	wrong := map[string]func(*share.Report){
		"no host":                        func(r *share.Report) { r.Host = "" },
		"no service":                     func(r *share.Report) { r.Service = "" },
		"negative demand":                func(r *share.Report) { r.Demand[class("w2", 1)] = -1 },
		"infinite demand":                func(r *share.Report) { r.Demand[class("w2", 1)] = math.Inf(1) },
		"demand that is no number":       func(r *share.Report) { r.Demand[class("w2", 1)] = math.NaN() },
		"negative work":                  func(r *share.Report) { r.Admitted = -1 },
		"a factor that is no number":     func(r *share.Report) { r.Factor = math.NaN() },
		"infinite occupancy":             func(r *share.Report) { r.Occupancy = math.Inf(1) },
		"negative arrivals":              func(r *share.Report) { r.Arrivals = -200 },
		"more rejections than arrivals":  func(r *share.Report) { r.Rejections = 101 },
		"a time that is never announced": func(r *share.Report) { r.PressedFor = time.Hour },
		"too many classes": func(r *share.Report) {
			for i := range 1025 {
				r.Demand[class(fmt.Sprint(i), 1)] = 1
			}
		},
	}
	for name, change := range wrong {
		It("refuses a report whole with "+name, func() {
			suite.Paused(func() {
				r := newRig(2, plain)
				owner := r.hosts[r.index(r.order()[0])]
				good := overloadReport("host-0", "w0", 24)
				before := handle(owner, good)
				bad := overloadReport("host-1", "w1", 1000)
				change(&bad)
				_, err := owner.Handle(bad)
				Expect(err).To(HaveOccurred())
				Expect(r.log.String()).To(ContainSubstring("bad report"))
				after, err := owner.Handle(good)
				Expect(err).NotTo(HaveOccurred())
				Expect(after.Fractions).To(HaveLen(len(before.Fractions)))
			})
		})
	}

	It("gives the same reply over gRPC, and refuses bad reports", func() {
		suite.Paused(func() {
			r := newRig(2, plain)
			owner := r.hosts[r.index(r.order()[0])]
			own, other := overloadReport("host-0", "w0", 12), overloadReport("host-1", "w1", 12)
			want := handle(owner, own, other)
			var wire inMemory
			share.Register(&wire, owner)
			client := share.NewPeerClient(func(string) (grpc.ClientConnInterface, error) { return &wire, nil })
			got, err := client.Report(context.Background(), "", other)
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Undecided).To(BeFalse())
			Expect(got.Factor).To(BeNumerically(">", 0))
			Expect(got.Fractions).To(HaveLen(len(want.Fractions)))
			other.Admitted = math.NaN()
			_, err = client.Report(context.Background(), "", other)
			Expect(status.Code(errors.Cause(unwrapped(err)))).To(Equal(codes.InvalidArgument))
		})
	})

	// Where estimates of work are wrong, a new owner would otherwise cut to a wrong capacity for some seconds.
	It("begins with the capacity factor that the owner before it had", func() {
		suite.Paused(func() {
			r := newRig(2, plain)
			report := overloadReport("host-0", "w0", 100)
			report.Factor = 3
			reply, err := r.hosts[0].Handle(report)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Undecided).To(BeTrue())
			Expect(reply.Factor).To(BeNumerically("==", 3))
		})
	})

	It("logs changes of shares at most once a second", func() {
		r := playOf(6, func(*rig, *load) {})
		lines := strings.Count(r.log.String(), "shares changed")
		Expect(lines).To(BeNumerically(">=", 2))
		Expect(lines).To(BeNumerically("<=", playEnds-loadBegins+1))
	})
})

// unwrapped returns the innermost error.
func unwrapped(err error) error {
	for errors.Unwrap(err) != nil {
		err = errors.Unwrap(err)
	}
	return err
}

var _ = Describe("Admit", func() {
	It("does nothing while shares are off", func() {
		s := share.New(share.Options{Enabled: func() bool { return false }})
		s.Responded(rigService, share.Response{Rejected: true})
		Expect(s.Admit(rigService, class("w0", 1), time.Second)).To(Equal(share.Verdict{Admitted: true, Fraction: 1}))
	})
})
