package instance_test

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
	"github.com/cobalttide/cobalttide/state"
)

// waitTimeout bounds the waits for expected conditions. No test asserts how long a
// wait took.
const waitTimeout = 20 * time.Second

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// deployment is a small deployment over TCP: a stand-in platform and instances.
type deployment struct {
	t         *testing.T
	platform  *standin.Server
	instances []*runningInstance
}

type runningInstance struct {
	*instance.Instance
	stop context.CancelFunc
	done chan error
}

func declarations() configuration.Declarations {
	operator := auth.Hash("operator")
	return configuration.Declarations{
		Accounts: map[domain.AccountID]domain.ClientAccount{
			"shop": {Weight: 1, RequestsPerSecond: 10_000, TokenHashes: []string{auth.Hash("shop-old"), auth.Hash("shop")}},
			"school": {Weight: 1, RequestsPerSecond: 10_000, TokenHashes: []string{auth.Hash("school")},
				Teams: map[domain.TeamID]domain.Team{"bikes": {Nominal: 8, Ceiling: 8}}},
		},
		Classes: map[domain.ClassName]domain.Class{
			"quote": {Kind: domain.RequestClass, Expectation: domain.Duration(10 * time.Second), Idempotent: true},
			"check": {Kind: domain.RequestClass, Expectation: domain.Duration(10 * time.Second)},
			"gang":  {Kind: domain.JobClass, Expectation: domain.Duration(time.Hour), Idempotent: true},
		},
		OperatorTokenHashes: []string{operator},
	}
}

func newDeployment(t *testing.T, dcs ...domain.DataCentre) *deployment {
	t.Helper()
	fleet := standin.Fleet{}
	for _, dc := range dcs {
		fleet.DataCentres = append(fleet.DataCentres, standin.FleetDataCentre{
			Name: dc, Racks: 2, WorkersPerRack: 4, Capacity: domain.Resources{Accelerators: 8, CPU: 30, MemoryMiB: 100_000}, Minions: 4, Slots: 8,
		})
	}
	platform, err := standin.Start(fleet, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &deployment{t: t, platform: platform}
	t.Cleanup(s.close)
	return s
}

func (s *deployment) start(dc domain.DataCentre) *runningInstance {
	s.t.Helper()
	return s.startWith(dc, instance.Options{})
}

func (s *deployment) startWith(dc domain.DataCentre, options instance.Options) *runningInstance {
	s.t.Helper()
	secret := filepath.Join(s.t.TempDir(), "secret")
	if err := os.WriteFile(secret, []byte("a-secret-of-the-peers"), 0o600); err != nil {
		s.t.Fatal(err)
	}
	settings := settings.Default()
	settings.Instance = domain.InstanceID(fmt.Sprint("i", len(s.instances)))
	settings.DataCentre = dc
	settings.Listen.Callers, settings.Listen.Peers = "127.0.0.1:0", "127.0.0.1:0"
	settings.Platform.Log, settings.Platform.List = s.platform.Address, s.platform.Address
	settings.PeerSecretFile = secret
	settings.BootstrapOperatorTokenHash = auth.Hash("operator")
	settings.Limits.DrainGrace = domain.Duration(50 * time.Millisecond)
	settings.Limits.BodyBytes = 4096
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	options.Log = quiet
	in, err := instance.New(settings, options)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningInstance{Instance: in, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- in.Run(ctx) }()
	s.instances = append(s.instances, r)
	return r
}

func (s *deployment) configure() {
	s.t.Helper()
	raw, err := json.Marshal(declarations())
	if err != nil {
		s.t.Fatal(err)
	}
	if _, refusal := s.instances[0].Apply(context.Background(), string(raw), 0, "first", "test"); refusal != nil {
		s.t.Fatal(refusal)
	}
	for _, in := range s.instances {
		eventually(s.t, "the configuration is in force", func() bool { return in.ConfigurationVersion() == 1 && in.Ready() })
		eventually(s.t, "the instances have discovered each other", func() bool { return in.LiveInstances() == len(s.instances) })
	}
}

func (s *deployment) close() {
	for _, in := range s.instances {
		in.stop()
		select {
		case <-in.done:
		case <-time.After(waitTimeout):
			s.t.Errorf("instance %s does not stop", in.ID)
		}
	}
	s.platform.Stop()
}

// call sends one HTTP request and returns the response, its body, and the refusal
// if the body is one.
func (r *runningInstance) call(t *testing.T, method, path, token, id, body string) (*http.Response, string, domain.Refusal) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+r.CallersAddress()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	if id != "" {
		request.Header.Set("Cobalttide-Request-Id", id)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var refusal domain.Refusal
	_ = json.Unmarshal(raw, &refusal) // most bodies are not a refusal
	return response, string(raw), refusal
}

func gangBody(id string, tasks int, run time.Duration) string {
	work := standin.Workload{Run: domain.Duration(run)}.Encode()
	return fmt.Sprintf(`{"id": %q, "class": "gang", "estimate": "1m", "payload": %q,
		"shape": {"tasks": %d, "per_task": {"accelerators": 8}, "adjacency": "same-rack"}}`, id, work, tasks)
}

func (r *runningInstance) wait(t *testing.T, id, token string) state.Status {
	t.Helper()
	var status state.Status
	eventually(t, "job "+id+" ends", func() bool {
		_, raw, _ := r.call(t, http.MethodGet, "/v1/jobs/"+id+"?wait=1s", token, "", "")
		return json.Unmarshal([]byte(raw), &status) == nil && status.State.IsFinal()
	})
	return status
}
