package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quaybarrow/internal/gatewayd"
	"quaybarrow/internal/settings"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/platform"
	"quaybarrow/platform/standin"
)

// Addresses of the host, the store and the endpoint.
const (
	callersAddress  = "10.0.0.1:80"
	storeAddress    = "10.9.0.1:80"
	endpointAddress = "10.0.1.1:80"
)

const declaration = `{"version":1,"routes":[{"name":"r","host":"a.example","path_prefix":"/x/","kind":"non_idempotent","timeout_ms":30000,
"target_latency_ms":300,"service":"s","max_attempts":1,"public":true}],"services":[{"name":"s","max_conns":96}],"limits":{"idle_timeout_ms":15000}}`

// withGrace returns the settings of a gateway host.
func withGrace(grace time.Duration) settings.Settings {
	s := settings.Default()
	s.Host, s.DataHall, s.Region = "front-1", "ikeja", "lagos"
	s.Gateway = settings.Gateway{
		Callers: callersAddress, Ready: "10.0.0.1:81", Control: "10.0.0.1:82", Peers: "10.0.0.1:83", Store: storeAddress,
		MemoryMB: 200, RetryRatio: 0.9, Grace: grace, InForce: 2 * time.Second, Leaving: 2 * time.Second, Cores: 0.4,
	}
	return s
}

// graces are changes of the grace of a host that starts with one of 8 s and serves a request of 12 s as it is
// stopped.
var graces = map[string]struct {
	raisedTo time.Duration
	at       time.Duration // from the stop on
	status   int
}{
	"not changed":            {8 * time.Second, 0, http.StatusBadGateway},
	"raised before the stop": {24 * time.Second, -time.Second, http.StatusOK},
	"raised during the stop": {24 * time.Second, 4 * time.Second, http.StatusOK},
}

// TestGraceInForceBoundsTheStop guards against requests that are cut at a grace that is not in force any more.
func TestGraceInForceBoundsTheStop(t *testing.T) {
	for name, c := range graces {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				network, store := memnet.New(), standin.NewStore()
				server := &http.Server{Handler: store}
				storeListener, endpointListener := network.Listen(storeAddress), network.Listen(endpointAddress)
				go func() { _ = server.Serve(storeListener) }()
				go standin.NewEndpoint("e-1", standin.Always(standin.Reply{Status: 200, Body: "done", Delay: 12 * time.Second})).Serve(endpointListener)
				store.Put("op", "config", []byte(declaration))
				store.Put("servers", "e-1", standin.EndpointValue("s", endpointAddress, "ikeja", "v1", false))
				hangup := make(chan os.Signal, 1)
				var raised atomic.Bool
				app := newGatewayApp(withGrace(8*time.Second), gatewayd.Ports{
					Store: platform.NewStore(storeAddress, network.Dial), LogTo: io.Discard, Dial: network.Dial, Hangup: hangup,
					Listen: func(_ context.Context, address string) (net.Listener, error) { return network.Listen(address), nil },
					Reload: func() (settings.Settings, error) {
						if raised.Load() {
							return withGrace(c.raisedTo), nil
						}
						return withGrace(8 * time.Second), nil
					},
				})
				ctx, stop := context.WithCancel(context.Background())
				served := make(chan error, 1)
				go func() { served <- serve(ctx, app) }()
				time.Sleep(2 * time.Second)
				caller, err := network.Dial(ctx, "tcp", callersAddress)
				Expect(err).NotTo(HaveOccurred())
				go func() { _, _ = io.WriteString(caller, standin.NewRequest("POST", "/x/1", "x").WithKey("").Text()) }()
				time.AfterFunc(1500*time.Millisecond, stop)
				time.AfterFunc(1500*time.Millisecond+c.at, func() {
					raised.Store(true)
					hangup <- syscall.SIGHUP
				})
				response, err := http.ReadResponse(bufio.NewReader(caller), nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(response.StatusCode).To(Equal(c.status))
				Expect(<-served).To(Succeed())
				_ = caller.Close()
				_ = server.Close()
				_ = endpointListener.Close()
				time.Sleep(5 * time.Minute)
			})
		})
	}
}
