package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cobalttide/cobalttide/configuration"
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/instance"
	"github.com/cobalttide/cobalttide/instance/settings"
	"github.com/cobalttide/cobalttide/standin"
)

// cluster is a running deployment.
type cluster struct {
	dir      string
	platform *standin.Server
	fleet    standin.Fleet
	client   *http.Client

	mu        sync.Mutex
	instances []*member
	declared  configuration.Declarations
}

// member is one instance of the cluster.
type member struct {
	*instance.Instance
	cancel context.CancelFunc
	done   chan error
	dead   bool
}

func startCluster(options Options, d deployment) (*cluster, error) {
	c := &cluster{dir: filepath.Join(options.Root, options.Deployment)}
	fleet, err := standin.LoadFleet(filepath.Join(c.dir, "fleet.json"))
	if err != nil {
		return nil, err
	}
	c.fleet = fleet
	if c.platform, err = standin.Start(fleet, "127.0.0.1:0"); err != nil {
		return nil, err
	}
	c.client = &http.Client{Transport: delayedTransport{
		next:  &http.Transport{MaxIdleConnsPerHost: 256},
		delay: d.clientLatency,
	}}
	files, err := filepath.Glob(filepath.Join(c.dir, "settings", "*.json"))
	if err != nil || len(files) == 0 {
		return nil, errors.Newf("no settings in %s; run it from the repository's root or name -deployments", c.dir)
	}
	for _, file := range files {
		if err := c.startInstance(file, d); err != nil {
			c.stop()
			return nil, err
		}
	}
	return c, nil
}

// startInstance starts an instance with the settings from a file, but on ports
// chosen by the operating system and against the stand-in platform.
func (c *cluster) startInstance(file string, d deployment) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Platform = settings.Platform{Log: c.platform.Address, List: c.platform.Address}
	s.PeerSecretFile = filepath.Join(c.dir, filepath.Base(s.PeerSecretFile))
	s.Limits.DrainGrace = domain.Duration(200 * time.Millisecond)
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	in, err := instance.New(s, instance.Options{Log: quiet})
	if err != nil {
		return err
	}
	in.PeerPool().SetDelay(c.peerDelay(s.DataCentre, d.dcLatency))
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{Instance: in, cancel: cancel, done: make(chan error, 1)}
	go func() { m.done <- in.Run(ctx) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances = append(c.instances, m)
	return nil
}

// peerDelay returns a function that returns the round-trip latency to a peer: twice
// the delay if it is in another data centre, otherwise 0.
func (c *cluster) peerDelay(home domain.DataCentre, delay time.Duration) func(string) time.Duration {
	return func(address string) time.Duration {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, m := range c.instances {
			if m.PeersAddress() == address && m.Settings.DataCentre != home {
				return 2 * delay
			}
		}
		return 0
	}
}

// delayedTransport adds the latency between callers and instances to every request.
type delayedTransport struct {
	next  http.RoundTripper
	delay time.Duration
}

// RoundTrip implements http.RoundTripper.
func (d delayedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(d.delay)
	response, err := d.next.RoundTrip(r)
	time.Sleep(d.delay)
	return response, err
}

// aliveInstances returns the instances that the load balancer would use.
func (c *cluster) aliveInstances() []*member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*member
	for _, m := range c.instances {
		if !m.dead {
			out = append(out, m)
		}
	}
	return out
}

func (c *cluster) applyDeclarations(ctx context.Context) error {
	declared, err := configuration.LoadDirectory(filepath.Join(c.dir, "declarations"))
	if err != nil {
		return err
	}
	c.declared = declared
	text, err := encode(declared)
	if err != nil {
		return err
	}
	// Gives the instances time to read the first list.
	time.Sleep(300 * time.Millisecond)
	if _, refusal := c.instances[0].Apply(ctx, text, 0, "demo", "demo"); refusal != nil {
		return refusal
	}
	end := time.Now().Add(10 * time.Second)
	for _, m := range c.aliveInstances() {
		for m.ConfigurationVersion() < 1 {
			if time.Now().After(end) {
				return errors.Newf("the configuration is not in force at %s after 10 s", m.ID)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// kill ends an instance without draining it, as a crash does.
func (c *cluster) kill(i int) domain.InstanceID {
	c.mu.Lock()
	m := c.instances[i]
	m.dead = true
	c.mu.Unlock()
	m.Kill()
	return m.ID
}

// cut disconnects a data centre from the platform and its instances from those of
// the other data centres. undoCut reverts it.
func (c *cluster) cut(dc domain.DataCentre) {
	c.platform.SetCut(dc)
	for _, a := range c.aliveInstances() {
		for _, b := range c.aliveInstances() {
			if (a.Settings.DataCentre == dc) != (b.Settings.DataCentre == dc) {
				a.PeerPool().Block(b.PeersAddress())
			}
		}
	}
}

func (c *cluster) undoCut() {
	c.platform.SetCut()
	for _, m := range c.aliveInstances() {
		m.PeerPool().Unblock()
	}
}

func (c *cluster) stop() {
	var wg sync.WaitGroup
	for _, m := range c.aliveInstances() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.cancel()
			if err := <-m.done; err != nil {
				fmt.Fprintln(os.Stderr, m.ID, err)
			}
		}()
	}
	wg.Wait()
	if c.platform != nil {
		c.platform.Stop()
	}
}
