// Package settings reads a host's own settings, such as its addresses, its data hall,
// the address of the platform and the files with its keys.
//
// # Usage
//
//	s, err := settings.Load("host.yaml")
//
// Every problem is reported with file, line and field. The struct Settings is
// the only place where settings are declared; docs/SETTINGS.md is generated from it.
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

// Settings holds all settings of a host.
type Settings struct {
	// Host is this host's name, as the platform lists it.
	Host string `yaml:"host"`
	// DataHall is the data hall that the host runs in.
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
	// Bootstrap authenticates the first operator before any is declared.
	Bootstrap Bootstrap `yaml:"bootstrap"`
	// SessionKeys sign and verify session tokens; the first one signs, all verify.
	SessionKeys []SessionKey `yaml:"session_keys"`
	// TLS encrypts the traffic between hosts; without it the traffic is unencrypted.
	TLS TLS `yaml:"tls"`
	// Limits bound the work that one host accepts.
	Limits Limits `yaml:"limits"`
	// Times are the host's intervals and timeouts.
	Times Times `yaml:"times"`
	// Telemetry configures the destination of traces and the log level.
	Telemetry Telemetry `yaml:"telemetry"`
	// Gateway makes the host serve routed requests on the users' platform,
	// instead of the API for callers.
	Gateway Gateway `yaml:"gateway"`
}

// Bootstrap is the operator of an empty installation.
type Bootstrap struct {
	// OperatorHash is sha256:<hex> of the first operator's key. It is accepted only
	// while no operator is declared.
	OperatorHash string `yaml:"operator_hash"`
}

// SessionKey is a key that signs session tokens.
type SessionKey struct {
	// ID identifies the key in tokens.
	ID string `yaml:"id"`
	// SecretFile is the file with the secret, 32 bytes or more.
	SecretFile string `yaml:"secret_file"`
	// Secret is the secret itself; for testing only.
	Secret string `yaml:"secret"`
}

// TLS names the files of the host's certificate.
type TLS struct {
	// Certificate is a PEM file; it is read again when it changes.
	Certificate string `yaml:"certificate"`
	// Key is the certificate's private key, a PEM file.
	Key string `yaml:"key"`
	// Authority is a PEM file of the certificate authorities that sign hosts' certificates.
	Authority string `yaml:"authority"`
}

// Enabled reports whether TLS is set.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Limits bound the work that one host accepts.
type Limits struct {
	// Requests is the maximum number of requests in flight on the host.
	Requests int `yaml:"requests"`
	// Queue is the maximum number of requests that wait for admission.
	Queue int `yaml:"queue"`
	// BodyBytes is the maximum size of a request body, in bytes.
	BodyBytes int64 `yaml:"body_bytes"`
	// Jobs is the number of deferred jobs that the host runs at once.
	Jobs int `yaml:"jobs"`
	// OpenBills is the maximum number of bills that are not yet written to the table,
	// of this host and held for others; above it new work is refused.
	OpenBills int `yaml:"open_bills"`
}

// Times are intervals and timeouts.
type Times struct {
	// Poll is the interval at which a designated host reads the configuration's head.
	Poll time.Duration `yaml:"poll"`
	// Backstop is the interval at which the hosts that are not designated read the
	// configuration's head.
	Backstop time.Duration `yaml:"backstop"`
	// Ping is the interval at which a host pings the hosts it monitors.
	Ping time.Duration `yaml:"ping"`
	// Stale is the age of the configuration above which versions in roll-out
	// accept no new work.
	Stale time.Duration `yaml:"stale"`
	// Proven is how long a version must have served to be used while the configuration
	// is stale.
	Proven time.Duration `yaml:"proven"`
	// Lease is the duration of a duty's lease without renewal.
	Lease time.Duration `yaml:"lease"`
	// Settle is the maximum time that a finished bill waits to be written in one batch
	// with others.
	Settle time.Duration `yaml:"settle"`
	// Request is the maximum duration of a request.
	Request time.Duration `yaml:"request"`
	// FirstToken is the maximum time until an engine begins its answer.
	FirstToken time.Duration `yaml:"first_token"`
	// Leave is how long a stopping host still accepts new requests, so that the
	// load balancer can notice.
	Leave time.Duration `yaml:"leave"`
	// Drain is the maximum time that a stop waits for requests in flight.
	Drain time.Duration `yaml:"drain"`
	// HostList is the interval at which the platform's list of hosts is read.
	HostList time.Duration `yaml:"host_list"`
	// Load is the interval at which an engine's load report is read.
	Load time.Duration `yaml:"load"`
}

// Telemetry configures the destination of traces and the log level.
type Telemetry struct {
	// OTLP is the URL of a collector for traces; if empty, traces stay on the host.
	OTLP string `yaml:"otlp"`
	// Traces is the number of traces that the host keeps.
	Traces int `yaml:"traces"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
}

// Default returns the default settings, which hold for fields that a file does not set.
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

// Load reads and checks a settings file.
func Load(name string) (Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(name, data)
}

// Parse reads and checks the text of a settings file.
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

// problem describes one invalid field.
type problem struct{ field, text string }

// namePattern matches valid names of hosts, data halls, regions and session keys.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// minSecretBytes is the minimum length of a session key's secret.
const minSecretBytes = 32

// check returns all problems of the settings.
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
