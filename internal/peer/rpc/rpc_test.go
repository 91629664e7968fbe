package rpc_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc/credentials"

	"quaybarrow/internal/peer"
	"quaybarrow/internal/peer/rpc"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/settings"
	"quaybarrow/internal/tlsfiles"
)

// echoHandler answers with the data that it receives.
type echoHandler struct{ lastHold peer.Hold }

func (e *echoHandler) Ping(_ context.Context, s peer.Status) (peer.Status, error) { return s, nil }

func (e *echoHandler) Fetch(_ context.Context, above int64) (peer.RevisionMessage, error) {
	return peer.RevisionMessage{Number: above + 1, Data: []byte("data")}, nil
}

func (e *echoHandler) Push(_ context.Context, p peer.Push) ([]peer.Confirmation, error) {
	return []peer.Confirmation{{Host: p.Relay[0].Host, Revision: p.Revision.Number}}, nil
}

func (e *echoHandler) Hold(_ context.Context, h peer.Hold) error {
	e.lastHold = h
	if h.Known > 0 {
		return peer.ErrRefused
	}
	return nil
}

func (e *echoHandler) Grant(context.Context, peer.Grant) error { return nil }

func (e *echoHandler) Show(_ context.Context, q peer.Query) (peer.Reply, error) {
	return peer.Reply{Data: []byte(q.Subject)}, nil
}

func (e *echoHandler) Tell(_ context.Context, n quarantine.Update) (quarantine.Update, error) {
	return n, nil
}

// authority is a certificate authority.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	file string
}

func newAuthority(dir, name string) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(dir, name+".pem")
	writePEM(file, "CERTIFICATE", der)
	return authority{key: key, cert: cert, file: file}
}

func writePEM(file, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
}

// issue writes a host's key and certificate files; the certificate expires at the given time.
func (a authority) issue(dir, name string, ends time.Time) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: ends,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	names := settings.TLS{
		Certificate: filepath.Join(dir, name+".crt"), Key: filepath.Join(dir, name+".key"), Authority: a.file,
	}
	writePEM(names.Certificate, "CERTIFICATE", der)
	writePEM(names.Key, "EC PRIVATE KEY", keyDER)
	return names
}

func openFiles(names settings.TLS) *tlsfiles.Files {
	f, err := tlsfiles.Open(names)
	Expect(err).NotTo(HaveOccurred())
	return f
}

// serve starts a server with a handler and returns its address.
func serve(h peer.Handler, c credentials.TransportCredentials) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := rpc.NewServer(h, c)
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Stop)
	return listener.Addr().String()
}

func ping(c credentials.TransportCredentials, address string) error {
	link := rpc.NewLink(c)
	defer func() { _ = link.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := link.Ping(ctx, address, peer.Status{Host: "a"})
	return err
}

var _ = Describe("messages over gRPC", func() {
	It("arrive as they were sent", func() {
		var none *tlsfiles.Files
		handler := &echoHandler{}
		address := serve(handler, none.ServerCredentials())
		link := rpc.NewLink(none.ClientCredentials())
		defer func() { _ = link.Close() }()
		ctx := context.Background()
		sent := peer.Status{
			Host: "a", DataHall: "h", Region: "r", Address: "10.0.0.1:1", Incarnation: "i",
			Revision: 7, Age: 3 * time.Millisecond, Confirmed: true, Draining: true,
		}
		Expect(link.Ping(ctx, address, sent)).To(Equal(sent))
		Expect(link.Fetch(ctx, address, 4)).To(Equal(peer.RevisionMessage{Number: 5, Data: []byte("data")}))
		push := peer.Push{Revision: peer.RevisionMessage{Number: 9}, Relay: []peer.Target{{Host: "b", Address: "x"}}}
		Expect(link.Push(ctx, address, push)).To(Equal([]peer.Confirmation{{Host: "b", Revision: 9}}))
		hold := peer.Hold{Owner: "a", Incarnation: "i", Address: "x", Open: [][]byte{[]byte("bill")}, Closed: []string{"c"}}
		Expect(link.Hold(ctx, address, hold)).To(Succeed())
		Expect(handler.lastHold).To(Equal(hold))
		hold.Known = 1
		Expect(link.Hold(ctx, address, hold)).To(MatchError(peer.ErrRefused))
		news := quarantine.Update{
			Versions: map[string]int64{"a": 7}, Compare: true, Loaded: true, Scope: quarantine.ScopeAll,
			Rows: []quarantine.Row{{Host: "a", Version: 7, Value: []byte("{}")}},
		}
		Expect(link.Tell(ctx, address, news)).To(Equal(news))
		Expect(ping(none.ClientCredentials(), "127.0.0.1:1")).To(MatchError(peer.ErrUnreachable))
	})

	It("are exchanged only between hosts with certificates of the same authority", func() {
		dir := GinkgoT().TempDir()
		ours, theirs := newAuthority(dir, "ours"), newAuthority(dir, "theirs")
		later := time.Now().Add(time.Hour)
		server := openFiles(ours.issue(dir, "server", later))
		address := serve(&echoHandler{}, server.ServerCredentials())
		Expect(ping(openFiles(ours.issue(dir, "client", later)).ClientCredentials(), address)).To(Succeed())
		Expect(ping(openFiles(theirs.issue(dir, "stranger", later)).ClientCredentials(), address)).To(HaveOccurred())
		Expect(ping(openFiles(ours.issue(dir, "expired", time.Now().Add(-time.Hour))).ClientCredentials(), address)).To(HaveOccurred())
		var none *tlsfiles.Files
		Expect(ping(none.ClientCredentials(), address)).To(HaveOccurred())
	})

	It("are refused by a client when another authority issued the server's certificate", func() {
		dir := GinkgoT().TempDir()
		ours, theirs := newAuthority(dir, "ours"), newAuthority(dir, "theirs")
		later := time.Now().Add(time.Hour)
		untrusted := openFiles(theirs.issue(dir, "server", later))
		address := serve(&echoHandler{}, untrusted.ServerCredentials())
		Expect(ping(openFiles(ours.issue(dir, "client", later)).ClientCredentials(), address)).To(HaveOccurred())
	})

	It("need readable certificate files", func() {
		_, err := tlsfiles.Open(settings.TLS{Certificate: "none.crt", Key: "none.key", Authority: "none.pem"})
		Expect(err).To(MatchError(tlsfiles.ErrCertificate))
		Expect(err).To(MatchError(ContainSubstring("none.crt")))
	})
})
