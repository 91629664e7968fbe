// Package settings reads a host's own settings: its addresses, its data hall,
// where the platform is and which files hold its keys.
//
// # Usage
//
//	s, err := settings.Load("host.yaml")
//
// Every problem is reported with file, line and field. The struct Settings is
// the one place where settings are declared; docs/SETTINGS.md is made from it.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/yamlfile"
)

// Settings is everything a host is told at its start.
type Settings struct {
	// Host is this host's name, as the platform lists it.
	Host string `yaml:"host"`
	// DataHall is the data hall the host stands in.
	DataHall string `yaml:"data_hall"`
	// Region is the region of the data hall.
	Region string `yaml:"region"`
	// Callers is the address, ip:port, for callers of the API.
	Callers string `yaml:"callers"`
	// Operators is the address, ip:port, for operators, metrics and probes.
	Operators string `yaml:"operators"`
	// Peers is the address, ip:port, for the other hosts.
	Peers string `yaml:"peers"`
	// Platform is the base URL of the platform's service.
	Platform string `yaml:"platform"`
	// Bootstrap lets the first operator in before any is declared.
	Bootstrap Bootstrap `yaml:"bootstrap"`
	// SessionKeys sign session tokens; the first signs, all verify.
	SessionKeys []SessionKey `yaml:"session_keys"`
	// TLS secures the traffic between hosts; without it hosts talk in the clear.
	TLS TLS `yaml:"tls"`
	// Limits bound what one host takes on.
	Limits Limits `yaml:"limits"`
	// Times are the host's periods and time-outs.
	Times Times `yaml:"times"`
	// Telemetry says where traces go and how much is logged.
	Telemetry Telemetry `yaml:"telemetry"`
	// Gateway makes the host serve routed requests on the users' platform, in
	// place of the API for callers.
	Gateway Gateway `yaml:"gateway"`
}

// Bootstrap is the operator of an empty installation.
type Bootstrap struct {
	// OperatorHash is sha256:<hex> of the first operator's key. It counts only
	// while no operator is declared.
	OperatorHash string `yaml:"operator_hash"`
}

// SessionKey is a key that signs session tokens.
type SessionKey struct {
	// ID names the key in tokens.
	ID string `yaml:"id"`
	// SecretFile holds the secret, 32 bytes or more.
	SecretFile string `yaml:"secret_file"`
	// Secret is the secret itself; for trials only.
	Secret string `yaml:"secret"`
}

// TLS names the files of the host's certificate.
type TLS struct {
	// Certificate is a PEM file; it is read again when it changes.
	Certificate string `yaml:"certificate"`
	// Key is the certificate's private key, a PEM file.
	Key string `yaml:"key"`
	// Authority is a PEM file of the authorities that sign hosts.
	Authority string `yaml:"authority"`
}

// Enabled reports whether TLS is set.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Limits bound what one host takes on.
type Limits struct {
	// Requests is the most requests in flight on the host.
	Requests int `yaml:"requests"`
	// Queue is the most requests that wait for a place.
	Queue int `yaml:"queue"`
	// BodyBytes is the longest body of a request.
	BodyBytes int64 `yaml:"body_bytes"`
	// Jobs is how many deferred jobs the host runs at once.
	Jobs int `yaml:"jobs"`
	// OpenBills is the most bills that the table does not have yet, of this
	// host and held for others; past it new work is refused.
	OpenBills int `yaml:"open_bills"`
}

// Times are periods and time-outs.
type Times struct {
	// Poll is how often a designated host reads the configuration's head.
	Poll time.Duration `yaml:"poll"`
	// Backstop is how often every other host reads it.
	Backstop time.Duration `yaml:"backstop"`
	// Ping is how often a host pings the hosts it watches.
	Ping time.Duration `yaml:"ping"`
	// Stale is the age of the configuration past which versions in roll-out
	// take no new work.
	Stale time.Duration `yaml:"stale"`
	// Proven is how long a version must have served to be used when stale.
	Proven time.Duration `yaml:"proven"`
	// Lease is how long a duty's lease lasts without renewal.
	Lease time.Duration `yaml:"lease"`
	// Settle is the longest a finished bill waits for others to share a write.
	Settle time.Duration `yaml:"settle"`
	// Request is the longest a request may take.
	Request time.Duration `yaml:"request"`
	// FirstToken is the longest an engine may take to begin its answer.
	FirstToken time.Duration `yaml:"first_token"`
	// Leave is how long a stopping host still takes new requests, so that the
	// balancer can notice.
	Leave time.Duration `yaml:"leave"`
	// Drain is the longest a stop waits for requests in flight.
	Drain time.Duration `yaml:"drain"`
	// HostList is how often the platform's list of hosts is read.
	HostList time.Duration `yaml:"host_list"`
	// Load is how often an engine's load report is read.
	Load time.Duration `yaml:"load"`
}

// Telemetry says where traces go and how much is logged.
type Telemetry struct {
	// OTLP is the URL of a collector for traces; empty keeps them on the host.
	OTLP string `yaml:"otlp"`
	// Traces is how many traces the host remembers.
	Traces int `yaml:"traces"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
}

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		Callers:   "127.0.0.1:7100",
		Operators: "127.0.0.1:7200",
		Peers:     "127.0.0.1:7300",
		Limits:    Limits{Requests: 2048, Queue: 512, BodyBytes: 8 << 20, Jobs: 2, OpenBills: 200_000},
		Times: Times{
			Poll: time.Second, Backstop: 30 * time.Second, Ping: time.Second,
			Stale: 15 * time.Second, Proven: time.Hour, Lease: 10 * time.Second,
			Settle: 2 * time.Second, Request: 10 * time.Minute, FirstToken: 30 * time.Second,
			Leave: 3 * time.Second, Drain: 10 * time.Minute, HostList: time.Second, Load: time.Second,
		},
		Telemetry: Telemetry{Traces: 1000, LogLevel: "info"},
	}
}

// Load reads and checks a file.
func Load(name string) (Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(name, data)
}

// Parse reads and checks the text of a file.
func Parse(name string, data []byte) (Settings, error) {
	s := Default()
	doc, err := yamlfile.Decode(name, data, &s)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	var lines []string
	for _, p := range s.check() {
		lines = append(lines, doc.Errorf(p.field, "%s", p.text).Error())
	}
	if len(lines) > 0 {
		return Settings{}, errors.WithMessage(yamlfile.ErrInvalid, strings.Join(lines, "\n"))
	}
	return s, nil
}

// problem is one bad field.
type problem struct{ field, text string }

// namePattern is the form of names of hosts, data halls and regions.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// minSecretBytes is the least length of a session key.
const minSecretBytes = 32

// check returns every problem of the settings.
func (s Settings) check() []problem {
	var problems []problem
	add := func(field, text string) { problems = append(problems, problem{field, text}) }
	for _, n := range []struct{ field, value string }{
		{"$.host", s.Host}, {"$.data_hall", s.DataHall}, {"$.region", s.Region},
	} {
		if !namePattern.MatchString(n.value) {
			add(n.field, fmt.Sprintf("%q is not a name: use 1 to 63 letters, digits, '.', '_' and '-'", n.value))
		}
	}
	for _, a := range []struct{ field, value string }{
		{"$.callers", s.Callers}, {"$.operators", s.Operators}, {"$.peers", s.Peers},
	} {
		if !isAddress(a.value) {
			add(a.field, fmt.Sprintf("%q is not an address: write ip:port, such as 10.0.0.7:7100", a.value))
		}
	}
	if u, err := url.Parse(s.Platform); !s.Gateway.Enabled() && (err != nil || u.Host == "") {
		add("$.platform", fmt.Sprintf("%q is not a URL: write http://ip:port", s.Platform))
	}
	if s.Gateway.Enabled() {
		problems = append(problems, s.Gateway.check()...)
	} else {
		problems = append(problems, s.checkKeys()...)
	}
	problems = append(problems, s.checkNumbers()...)
	return problems
}

func isAddress(text string) bool {
	host, _, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil
}

func (s Settings) checkKeys() []problem {
	var problems []problem
	if len(s.SessionKeys) == 0 {
		problems = append(problems, problem{"$.session_keys", "must list at least one key"})
	}
	for i, k := range s.SessionKeys {
		field := fmt.Sprintf("$.session_keys[%d]", i)
		if !namePattern.MatchString(k.ID) {
			problems = append(problems, problem{field + ".id", "must be a name"})
		}
		if (k.Secret == "") == (k.SecretFile == "") {
			problems = append(problems, problem{field, "must have either secret_file or secret"})
		}
		if k.Secret != "" && len(k.Secret) < minSecretBytes {
			problems = append(problems, problem{field + ".secret", fmt.Sprintf("must be %d bytes or more", minSecretBytes)})
		}
	}
	t := s.TLS
	if t.Enabled() && (t.Key == "" || t.Authority == "") {
		problems = append(problems, problem{"$.tls", "needs certificate, key and authority together"})
	}
	return problems
}

func (s Settings) checkNumbers() []problem {
	var problems []problem
	for _, n := range []struct {
		field string
		value int64
	}{
		{"$.limits.requests", int64(s.Limits.Requests)}, {"$.limits.queue", int64(s.Limits.Queue)},
		{"$.limits.body_bytes", s.Limits.BodyBytes}, {"$.limits.open_bills", int64(s.Limits.OpenBills)},
		{"$.limits.jobs", int64(s.Limits.Jobs)},
		{"$.times.poll", int64(s.Times.Poll)}, {"$.times.backstop", int64(s.Times.Backstop)},
		{"$.times.ping", int64(s.Times.Ping)}, {"$.times.stale", int64(s.Times.Stale)},
		{"$.times.proven", int64(s.Times.Proven)}, {"$.times.lease", int64(s.Times.Lease)},
		{"$.times.settle", int64(s.Times.Settle)}, {"$.times.request", int64(s.Times.Request)},
		{"$.times.first_token", int64(s.Times.FirstToken)}, {"$.times.leave", int64(s.Times.Leave)}, {"$.times.drain", int64(s.Times.Drain)},
		{"$.times.host_list", int64(s.Times.HostList)}, {"$.times.load", int64(s.Times.Load)},
		{"$.telemetry.traces", int64(s.Telemetry.Traces)},
	} {
		if n.value <= 0 {
			problems = append(problems, problem{n.field, "must be more than 0"})
		}
	}
	switch s.Telemetry.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		problems = append(problems, problem{"$.telemetry.log_level", "use debug, info, warn or error"})
	}
	return problems
}
