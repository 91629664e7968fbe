// Package tlsfiles configures mutual TLS between hosts from files that are reloaded when they
// change, so that certificates rotate without a restart.
//
// # Usage
//
//	files, err := tlsfiles.Open(settings.TLS)
//	server := rpc.NewServer(handler, files.ServerCredentials())
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/settings"
)

// ErrCertificate means that the certificate files, or the certificate of a peer, are not valid.
var ErrCertificate = errors.New("bad certificate files")

// checkInterval is the minimum time between checks of the files for changes.
const checkInterval = 10 * time.Second

// Files are the certificate, private key and certificate authorities of a host.
type Files struct {
	paths settings.TLS

	mu        sync.Mutex // guards all below
	loaded    material
	checked   clock.Instant
	lastError error
}

// material is the parsed contents of the files.
type material struct {
	certificate tls.Certificate
	leaf        *x509.Certificate
	authorities *x509.CertPool
	modified    time.Time
}

// Open reads the files. It returns nil if TLS is not configured.
func Open(paths settings.TLS) (*Files, error) {
	if !paths.Enabled() {
		return nil, nil
	}
	loaded, err := load(paths)
	if err != nil {
		return nil, err
	}
	return &Files{paths: paths, loaded: loaded, checked: clock.Now()}, nil
}

func load(paths settings.TLS) (material, error) {
	certificate, err := tls.LoadX509KeyPair(paths.Certificate, paths.Key)
	if err != nil {
		return material{}, fmt.Errorf("%w: %s with %s: %w", ErrCertificate, paths.Certificate, paths.Key, err)
	}
	pem, err := os.ReadFile(paths.Authority)
	if err != nil {
		return material{}, fmt.Errorf("%w: %w", ErrCertificate, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return material{}, fmt.Errorf("%w: %s contains no certificate", ErrCertificate, paths.Authority)
	}
	return material{
		certificate: certificate, leaf: certificate.Leaf, authorities: pool, modified: lastModified(paths),
	}, nil
}

// lastModified returns the latest modification time of the files.
func lastModified(paths settings.TLS) time.Time {
	var latest time.Time
	for _, name := range []string{paths.Certificate, paths.Key, paths.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the material, reloaded if the files have changed. If they can't be loaded, the
// previous material stays in use.
func (f *Files) current() material {
	f.mu.Lock()
	defer f.mu.Unlock()
	if clock.Since(f.checked) < checkInterval {
		return f.loaded
	}
	f.checked = clock.Now()
	if !lastModified(f.paths).After(f.loaded.modified) {
		return f.loaded
	}
	loaded, err := load(f.paths)
	f.lastError = err
	if err == nil {
		f.loaded = loaded
	}
	return f.loaded
}

// Expiry returns the expiry time of the certificate and the error of the last reload.
func (f *Files) Expiry() (time.Time, error) {
	loaded := f.current()
	f.mu.Lock()
	defer f.mu.Unlock()
	return loaded.leaf.NotAfter, f.lastError
}

// verify checks the certificate of the peer against the current authorities.
func (f *Files) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.WithMessage(ErrCertificate, "the peer presented none")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: f.current().authorities, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return fmt.Errorf("%w: certificate of the peer: %w", ErrCertificate, err)
	}
	return nil
}

// ServerCredentials returns the credentials for connections from other hosts.
func (f *Files) ServerCredentials() credentials.TransportCredentials {
	if f == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert, // VerifyConnection verifies it against authorities that rotate
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			c := f.current().certificate
			return &c, nil
		},
		VerifyConnection: f.verify,
	})
}

// ClientCredentials returns the credentials for connections to other hosts. Hosts are addressed by
// IP addresses that are reassigned, so only the authority of a certificate is checked, not its
// name.
func (f *Files) ClientCredentials() credentials.TransportCredentials {
	if f == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // skips the check of the name; VerifyConnection checks the chain
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			c := f.current().certificate
			return &c, nil
		},
		VerifyConnection: f.verify,
	})
}
