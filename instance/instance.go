// Package instance implements one entry instance, which cobalttided runs. It
// connects the request and job pipelines, the planner, membership and state. All
// instances are equal, and none has state that neither the platform nor its
// peers have.
package instance

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"
	"github.com/sirupsen/logrus"

	"github.com/cobalttide/cobalttide/configuration"
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/instance/settings"
	"github.com/cobalttide/cobalttide/internal/inbound"
	"github.com/cobalttide/cobalttide/membership"
	"github.com/cobalttide/cobalttide/planner"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/requests/attempt"
	"github.com/cobalttide/cobalttide/requests/dispatch"
	"github.com/cobalttide/cobalttide/requests/limit"
	"github.com/cobalttide/cobalttide/requests/retry"
	"github.com/cobalttide/cobalttide/requests/routing"
	"github.com/cobalttide/cobalttide/standin/client"
	"github.com/cobalttide/cobalttide/state"
	"github.com/cobalttide/cobalttide/telemetry"
	"github.com/cobalttide/cobalttide/transport/peer"
)

// Platform is the set of platform services that an instance uses.
type Platform interface {
	port.Log
	port.Lister
	port.Workers
}

// Instance is one entry instance.
type Instance struct {
	ID       domain.InstanceID
	Settings settings.Settings
	Metrics  *Metrics

	log      *logrus.Entry
	platform Platform
	peers    *peer.Pool
	counters *peer.Counters
	secret   []byte

	configuration *configuration.Store
	jobs          *state.Jobs
	ledger        *attempt.Ledger
	journal       *state.Journal
	held          *heldRecords
	followers     map[port.Stream]*state.Follower

	routingTable *routing.Table
	gate         *limit.Gate
	rates        *limit.Limiters
	keeper       *attempt.Coordinator
	requests     endpoint.Endpoint
	planner      *planner.Runner

	members   memberTable
	inventory atomic.Pointer[port.Inventory]
	orders    orderStore
	leaving   atomic.Bool
	planning  atomic.Bool
	recovered atomic.Bool
	inFlight  sync.WaitGroup

	// callers admits the connections of callers.
	callers                        *inbound.Gate
	callersListener, peersListener net.Listener
	server                         *http.Server
	peerServer                     *peer.Server
	wg                             sync.WaitGroup
	cancel                         context.CancelFunc
}

// Options replaces parts of an instance. The zero value is for production.
type Options struct {
	// Platform replaces the HTTP client of the platform.
	Platform Platform
	// Log replaces the default logger.
	Log *logrus.Logger
	// Planner replaces the planner's options.
	Planner *planner.Options
}

// New returns an instance with validated settings. It opens the listeners, so
// that a wrong address is reported here; Run does the rest.
func New(s settings.Settings, options Options) (*Instance, error) {
	secret, err := readSecret(s.PeerSecretFile)
	if err != nil {
		return nil, err
	}
	in := &Instance{
		ID: domain.InstanceID(string(s.Instance) + "-" + randomSuffix()), Settings: s,
		Metrics: newMetrics(), secret: secret, counters: &peer.Counters{},
		configuration: configuration.NewStore(), jobs: state.NewJobs(), ledger: attempt.NewLedger(),
		followers:    map[port.Stream]*state.Follower{},
		routingTable: routing.NewTable(s.DataCentre, routing.DefaultOptions()),
		rates:        limit.NewLimiters(), orders: orderStore{drained: map[domain.WorkerID]bool{}},
		platform: options.Platform,
	}
	in.log = newLogger(options.Log, s).WithFields(logrus.Fields{"instance": in.ID, "data_centre": s.DataCentre})
	in.Metrics.countBytes("peers", in.PeerBytes)
	if in.platform == nil {
		c := client.New(s.Platform.Log, s.Platform.List, s.DataCentre)
		in.Metrics.countBytes("platform", c.Bytes)
		in.platform = c
	}
	in.inventory.Store(&port.Inventory{})
	in.callers = inbound.NewGate(callerLimits(s.Limits), in.Metrics.connectionClosed)
	in.Metrics.Registry.MustRegister(telemetry.UsageGauges("clients", in.callers.Usage)...)
	if err := in.listen(); err != nil {
		return nil, err
	}
	in.wire(options)
	return in, nil
}

// randomSuffix returns a suffix that distinguishes the runs of an instance.
func randomSuffix() string {
	raw := make([]byte, 4)
	// crypto/rand.Read never returns an error: on failure it crashes the program.
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func readSecret(file string) ([]byte, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "can't read peer_secret_file; make it readable for the instance")
	}
	secret := strings.TrimSpace(string(raw))
	if len(secret) < 16 {
		return nil, errors.Newf("peer_secret_file %s has fewer than 16 characters; use a longer secret", file)
	}
	return []byte(secret), nil
}

func newLogger(given *logrus.Logger, s settings.Settings) *logrus.Logger {
	if given != nil {
		return given
	}
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		log.SetLevel(level)
	}
	return log
}

func (in *Instance) listen() error {
	var err error
	if in.callersListener, err = in.callers.Listen(in.Settings.Listen.Callers); err != nil {
		return errors.Wrap(err, "can't listen on listen.callers; use another port")
	}
	in.peersListener, err = net.Listen("tcp", in.Settings.Listen.Peers)
	if err != nil {
		_ = in.callersListener.Close() // the instance does not start
		return errors.Wrap(err, "can't listen on listen.peers; use another port")
	}
	return nil
}

// CallersAddress returns the address for callers and operators.
func (in *Instance) CallersAddress() string { return in.callersListener.Addr().String() }

// PeersAddress returns the address for peers.
func (in *Instance) PeersAddress() string { return in.peersListener.Addr().String() }

// ConfigurationVersion returns the version of the configuration in force at the
// instance.
func (in *Instance) ConfigurationVersion() configuration.Version {
	return in.configuration.Current().Version
}

// PeerPool returns the connections to peers, so that tests and the demo can
// block some.
func (in *Instance) PeerPool() *peer.Pool { return in.peers }

// PeerBytes returns the number of bytes received from and sent to peers.
func (in *Instance) PeerBytes() (received, sent int64) {
	return in.counters.In.Load(), in.counters.Out.Load()
}

// The share of requests that may be retried, and the number of further retries
// that a burst may use.
const (
	retryShare   = 0.1
	retryReserve = 10
)

func (in *Instance) wire(options Options) {
	journalOptions := state.DefaultJournalOptions()
	journalOptions.OnAppend = in.countAppend
	in.journal = state.NewJournal(in.platform, journalOptions)
	in.held = newHeldRecords()
	in.peers = peer.NewPool(in.secret, in.counters)
	self := membership.Member{ID: in.ID, DataCentre: in.Settings.DataCentre, Address: in.PeersAddress()}
	in.members.table = membership.NewTable(self, membership.DefaultOptions())
	in.peerServer = peer.NewServer(in.secret, in.peerMethods(), in.counters)
	in.addFollower(state.ConfigurationStream, in.configurationOffset, in.applyConfiguration, in.loadConfigurationSnapshot)
	in.addFollower(state.JobStream(in.Settings.DataCentre), in.jobs.Offset, in.applyJob, in.loadJobsSnapshot)
	in.addFollower(state.AttemptStream, in.ledger.Offset, in.applyAttempt, nil)
	in.wireRequests()
	in.wirePlanner(options)
	in.peerServer.OnClosed = func(reason string) { in.Metrics.connectionClosed(inbound.Reason(reason)) }
	in.server = in.callers.NewServer(in.handler())
}

// callerLimits converts the settings to the limits of callers' connections.
func callerLimits(l settings.Limits) inbound.Limits {
	return inbound.Limits{
		Connections: l.Connections, RequestBytes: l.RequestMemoryBytes, HeaderBytes: l.HeaderBytes,
		HeaderTimeout: l.HeaderTimeout.Std(), BodyTimeout: l.BodyTimeout.Std(), WriteTimeout: l.WriteTimeout.Std(), IdleTimeout: l.IdleTimeout.Std(),
	}
}

func (in *Instance) wireRequests() {
	in.keeper = &attempt.Coordinator{Instance: in.ID, Journal: in.journal, Ledger: in.ledger, Options: attempt.DefaultOptions()}
	in.gate = limit.NewGate(limit.DefaultGateOptions().MaxLimit, limit.DefaultGateOptions())
	router := &dispatch.Router{
		Table: in.routingTable, Budget: retry.NewBudget(retryShare, retryReserve),
		Transport: backendTransport(), Options: dispatch.DefaultRouteOptions(),
		OnRetry: func(reason domain.Reason) { in.Metrics.retries.WithLabelValues(string(reason)).Inc() },
	}
	in.requests = dispatch.Chain(router.Endpoint(),
		dispatch.LimitRate(in.rates), dispatch.Deduplicate(in.keeper), dispatch.Admit(in.gate))
}

// Limits of the connections to one backend server.
const (
	connectionsPerBackend = 60
	backendDialTimeout    = time.Second
)

func backendTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	return &http.Transport{
		DialContext: dialer.DialContext, MaxConnsPerHost: connectionsPerBackend,
		MaxIdleConnsPerHost: connectionsPerBackend, IdleConnTimeout: time.Minute,
		DisableCompression: true, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
	}
}

func (in *Instance) countAppend(records int, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	in.Metrics.appends.WithLabelValues(result).Inc()
	in.Metrics.records.Add(float64(records))
}

func (in *Instance) addFollower(stream port.Stream, from func() int64, apply func(port.Entry), onTruncated func(context.Context, int64) error) {
	in.followers[stream] = &state.Follower{Log: in.platform, Stream: stream, NextOffset: from, OnTruncated: onTruncated, Apply: func(e port.Entry) {
		apply(e)
		in.journal.ConfirmRead(stream, e)
	}}
}

func (in *Instance) configurationOffset() int64 { return in.configuration.Current().Offset }

// Run serves until ctx ends, then drains: requests in flight are completed. It
// returns once that is done or after DrainTimeout.
func (in *Instance) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	in.cancel = cancel
	defer cancel()
	in.spawn(background, in.inventoryLoop)
	in.spawn(background, in.probeLoop)
	in.spawn(background, in.recoverState)
	in.spawn(background, in.planner.Run)
	in.spawn(background, in.heldLoop)
	in.spawn(background, in.snapshotLoop)
	in.spawn(background, in.gateLoop)
	in.spawn(background, func(ctx context.Context) {
		in.peerServer.Serve(ctx, limitListener(in.peersListener, in.Settings.Limits.PeerConnections))
	})
	serving := make(chan error, 1)
	go func() { serving <- in.server.Serve(in.callersListener) }()
	in.log.WithFields(logrus.Fields{"callers": in.CallersAddress(), "peers": in.PeersAddress()}).Info("serving")

	select {
	case err := <-serving:
		in.stop()
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	return in.drain()
}

func (in *Instance) spawn(ctx context.Context, loop func(context.Context)) {
	in.wg.Add(1)
	go func() {
		defer in.wg.Done()
		loop(ctx)
	}()
}

// drain announces that the instance leaves, keeps serving until the load balancer
// has noticed, completes the requests in flight, and flushes the journal.
func (in *Instance) drain() error {
	in.log.Info("leaving")
	in.leaving.Store(true)
	in.members.leave()
	in.announceLeave()
	time.Sleep(in.Settings.Limits.DrainGrace.Std())
	ctx, cancel := context.WithTimeout(context.Background(), in.Settings.Limits.DrainTimeout.Std())
	defer cancel()
	err := in.server.Shutdown(ctx)
	in.inFlight.Wait()
	in.flushJournal(ctx)
	in.stop()
	in.log.Info("left")
	return errors.Wrap(err, "requests were still in flight after drain_timeout")
}

// flushPollInterval is the interval at which flushJournal polls the journal.
const flushPollInterval = 20 * time.Millisecond

// flushJournal waits for records that are not in the log yet. If the log stays
// unreachable it stops waiting: peers have copies of the records.
func (in *Instance) flushJournal(ctx context.Context) {
	const maxWait = 5 * time.Second
	end := time.Now().Add(maxWait)
	for in.journal.Pending() > 0 && time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(flushPollInterval)
	}
}

// Kill stops the instance without draining, like a crash. It is meant for tests
// and the demo.
func (in *Instance) Kill() {
	_ = in.server.Close() // connections are cut on purpose
	in.stop()
}

func (in *Instance) stop() {
	if in.cancel != nil {
		in.cancel()
	}
	_ = in.peersListener.Close() // it is not used again
	_ = in.server.Close()        // it is not used again
	in.peers.Close()
	in.journal.Close()
	in.wg.Wait()
}
