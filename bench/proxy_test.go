package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobalttide/cobalttide/configuration"
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/instance"
	"github.com/cobalttide/cobalttide/instance/auth"
	"github.com/cobalttide/cobalttide/instance/settings"
	"github.com/cobalttide/cobalttide/standin"
)

// startProxy starts one instance and a platform stand-in over loopback TCP. It returns the
// instance and the address of a backend server.
func startProxy(b *testing.B) (in *instance.Instance, backend string) {
	b.Helper()
	platform, err := standin.Start(standin.Fleet{DataCentres: []standin.FleetDataCentre{{
		Name: "dc", Racks: 1, WorkersPerRack: 1, Capacity: domain.Resources{Accelerators: 8}, Minions: 8, Slots: 64,
	}}}, "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	secret := filepath.Join(b.TempDir(), "secret")
	if err := os.WriteFile(secret, []byte("a-secret-of-the-peers"), 0o600); err != nil {
		b.Fatal(err)
	}
	s := settings.Default()
	s.Instance, s.DataCentre, s.PeerSecretFile = "one", "dc", secret
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Platform = settings.Platform{Log: platform.Address, List: platform.Address}
	s.Limits.DrainGrace = 0
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	in, err = instance.New(s, instance.Options{Log: quiet})
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- in.Run(ctx) }()
	b.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			b.Error(err)
		}
		platform.Stop()
	})
	raw, err := json.Marshal(configuration.Declarations{
		Accounts:            map[domain.AccountID]domain.ClientAccount{"a": {Weight: 1, RequestsPerSecond: 1e6, TokenHashes: []string{auth.Hash("a")}}},
		Classes:             map[domain.ClassName]domain.Class{"c": {Kind: domain.RequestClass, Expectation: domain.Duration(10 * time.Second), Idempotent: true}},
		OperatorTokenHashes: []string{auth.Hash("o")},
	})
	if err != nil {
		b.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond) // wait until the instance has read the first list
	if _, refusal := in.Apply(context.Background(), string(raw), 0, "one", "bench"); refusal != nil {
		b.Fatal(refusal)
	}
	return in, platform.Backends()[0].Spec.Address
}

// BenchmarkProxy measures a request through an instance and the same request sent directly to a
// backend server, over loopback in the same run.
func BenchmarkProxy(b *testing.B) {
	in, backend := startProxy(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	targets := []struct{ name, url string }{
		{"direct", "http://" + backend + "/run/c"},
		{"through", "http://" + in.CallersAddress() + "/v1/requests/c"},
	}
	for _, target := range targets {
		b.Run(target.name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				sendOne(b, client, target.url, fmt.Sprintf("%s-%d-%d", target.name, b.N, i))
			}
		})
		b.Run(target.name+"-parallel", func(b *testing.B) {
			b.SetParallelism(8)
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					sendOne(b, client, target.url, fmt.Sprintf("%s-p-%d", target.name, i))
				}
			})
		})
	}
}

func sendOne(b *testing.B, client *http.Client, url, id string) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("{}"))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer a")
	request.Header.Set("Cobalttide-Request-Id", id)
	response, err := client.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	raw, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // the body has been read
	if err != nil || response.StatusCode != http.StatusOK {
		b.Fatalf("%d %s %v", response.StatusCode, raw, err)
	}
}
