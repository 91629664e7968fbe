package cli

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"quaybarrow/internal/declare"
	"quaybarrow/internal/standin/engine"
	"quaybarrow/internal/standin/service"
	"quaybarrow/internal/standin/table"
	"quaybarrow/internal/store"
)

// standinCommand serves what stands around the router, for trying it out with
// separate processes.
type standinCommand struct {
	env      Environment
	listen   string
	entries  string
	versions string
	services string
	engines  int
	token    time.Duration
	rate     float64
}

// Name implements subcommands.Command.
func (*standinCommand) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*standinCommand) Synopsis() string {
	return "serve a platform, engines and services to try hosts with"
}

// Usage implements subcommands.Command.
func (*standinCommand) Usage() string {
	return `standin [flags]
  Serves the platform's tables and lists over HTTP, and a few engines and plain
  services. Each entry host is named as NAME@DATA_HALL@IP:PORT, with the address
  that it listens to peers on. Nothing is kept when it stops.
`
}

// SetFlags implements subcommands.Command.
func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7000", "`address` of the platform")
	f.StringVar(&c.entries, "entries", "", "entry `hosts`, separated by commas")
	f.StringVar(&c.versions, "versions", "support@1,support@2", "`versions` that the engines have, separated by commas")
	f.StringVar(&c.services, "services", "payouts", "plain `services`, separated by commas")
	f.IntVar(&c.engines, "engines", 3, "`count` of engines")
	f.DurationVar(&c.token, "token", 20*time.Millisecond, "`time` between tokens")
	f.Float64Var(&c.rate, "rate", 200, "calls per second that the tables allow")
}

// standinHalls are where engines and services stand.
var standinHalls = []string{"ikeja", "lekki", "yaba"}

// standinRegion of the halls.
const standinRegion = "lagos"

// entryParts are the parts of an entry host's description.
const entryParts = 3

// Execute implements subcommands.Command.
func (c *standinCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(c.env, c.run(ctx))
}

func (c *standinCommand) run(ctx context.Context) error {
	rows := table.New(table.Options{Rate: c.rate, Burst: int(c.rate), ListLag: time.Second})
	s := &standins{store: rows}
	defer s.stop()
	for _, text := range fields(c.entries) {
		parts := strings.Split(text, "@")
		if len(parts) != entryParts {
			return errors.WithMessagef(errUsage, "flag -entries: %q is not NAME@DATA_HALL@IP:PORT", text)
		}
		rows.SetHost(store.Host{
			ID: parts[0], Kind: store.HostEntry, DataHall: parts[1], Region: standinRegion, Address: parts[2], State: store.HostLive,
		})
	}
	profiles := map[declare.Ref]engine.Profile{}
	for _, v := range fields(c.versions) {
		profiles[declare.ParseRef(v)] = engine.Profile{Quality: 0.9}
	}
	for i := range c.engines {
		e := engine.New(engine.Options{
			ID: fmt.Sprintf("engine-%d", i+1), Versions: profiles, Slots: 16, Token: c.token, LoadTime: time.Second,
			OnFinish: s.rate(i),
		})
		s.engines = append(s.engines, e)
		if err := s.add(e.Handler(), store.Host{ID: fmt.Sprintf("engine-%d", i+1), Kind: store.HostEngine}, i); err != nil {
			return err
		}
	}
	for i, name := range fields(c.services) {
		host := store.Host{ID: name + "-1", Kind: store.HostService, Service: name}
		if err := s.add(service.New(name, 0).Handler(), host, i); err != nil {
			return err
		}
	}
	if _, err := s.serve(c.listen, rows.Handler()); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.env.Stdout, "platform on http://%s, %d engines, services: %s\n", c.listen, c.engines, c.services)
	<-ctx.Done()
	return nil
}

func fields(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

// standins are the running stand-ins.
type standins struct {
	store   *table.Store
	engines []*engine.Engine
	servers []*http.Server
	serving sync.WaitGroup
}

// ratingDelay is how late the stand-in's ratings come.
const ratingDelay = 2 * time.Second

// rate has the finished runs of an engine rated.
func (s *standins) rate(index int) func(engine.Run) {
	return func(run engine.Run) {
		score := 0.0
		if s.engines[index].Good(run) {
			score = 1
		}
		time.AfterFunc(ratingDelay, func() {
			s.store.Rate(store.Rating{RequestID: run.RequestID, Version: run.Version.String(), Score: score, At: time.Now().UTC()})
		})
	}
}

// add serves a handler at a free port and lists it.
func (s *standins) add(h http.Handler, host store.Host, index int) error {
	address, err := s.serve("127.0.0.1:0", h)
	if err != nil {
		return err
	}
	host.Address, host.State, host.Region = address, store.HostLive, standinRegion
	host.DataHall = standinHalls[index%len(standinHalls)]
	s.store.SetHost(host)
	return nil
}

func (s *standins) serve(address string, h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	s.serving.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

func (s *standins) stop() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.serving.Wait()
}
