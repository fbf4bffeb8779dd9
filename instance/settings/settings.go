// Package settings reads and validates the settings file of one instance, which is
// JSON with comments. All mistakes are reported in one run, each with its line,
// its field and a remedy.
package settings

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tailscale/hujson"

	"github.com/cobalttide/cobalttide/configuration"
	"github.com/cobalttide/cobalttide/domain"
)

// Settings are the settings of one instance.
type Settings struct {
	// Instance is the name of the instance. Each run adds a random suffix to it, so
	// that a restarted instance has a new id.
	Instance domain.InstanceID `json:"instance"`
	// DataCentre is the data centre that the instance runs in.
	DataCentre domain.DataCentre `json:"data_centre"`
	Listen     Listen            `json:"listen"`
	Platform   Platform          `json:"platform"`
	// PeerSecretFile is the file with the secret that all instances share.
	PeerSecretFile string `json:"peer_secret_file"`
	// BootstrapOperatorTokenHash is the hex SHA-256 of an operator's token that is
	// valid even before the first declarations name any.
	BootstrapOperatorTokenHash string `json:"bootstrap_operator_token_hash"`
	Limits                     Limits `json:"limits"`
	// LogLevel is one of debug, info, warning and error.
	LogLevel string `json:"log_level"`
}

// Listen holds the addresses, IP and port, that the instance listens on.
type Listen struct {
	// Callers is the address for callers, operators, metrics and health.
	Callers string `json:"callers"`
	// Peers is the address for other instances.
	Peers string `json:"peers"`
}

// Platform holds the addresses, IP and port, of the platform's services.
type Platform struct {
	Log  string `json:"log"`
	List string `json:"list"`
}

// Limits holds the limits on callers' requests and connections, and the times for
// draining.
type Limits struct {
	// BodyBytes bounds a request's body.
	BodyBytes int64 `json:"body_bytes"`
	// HeaderBytes bounds a request's headers.
	HeaderBytes int `json:"header_bytes"`
	// HeaderTimeout bounds the time to send the headers.
	HeaderTimeout domain.Duration `json:"header_timeout"`
	// BodyTimeout bounds the time to send the body, WriteTimeout the time that one write of an
	// answer may take, and IdleTimeout the time between two requests on a connection.
	BodyTimeout  domain.Duration `json:"body_timeout"`
	WriteTimeout domain.Duration `json:"write_timeout"`
	IdleTimeout  domain.Duration `json:"idle_timeout"`
	// RequestMemoryBytes bounds the memory of all requests in progress together.
	RequestMemoryBytes int64 `json:"request_memory_bytes"`
	// RequestTimeout bounds any deadline that a caller asks for.
	RequestTimeout domain.Duration `json:"request_timeout"`
	// Connections bounds the number of open connections of callers.
	Connections int `json:"connections"`
	// PeerConnections bounds the number of open connections of other instances.
	PeerConnections int `json:"peer_connections"`
	// DrainGrace is how long a leaving instance still accepts new requests, so that
	// the load balancer can notice.
	DrainGrace domain.Duration `json:"drain_grace"`
	// DrainTimeout bounds the time that a leaving instance waits for the requests
	// in flight.
	DrainTimeout domain.Duration `json:"drain_timeout"`
}

// Default returns the default settings, which a settings file overrides.
func Default() Settings {
	return Settings{
		Limits: Limits{
			BodyBytes: 256 << 10, HeaderBytes: 16 << 10,
			HeaderTimeout: domain.Duration(5 * time.Second), RequestTimeout: domain.Duration(2 * time.Minute),
			BodyTimeout: domain.Duration(10 * time.Second), WriteTimeout: domain.Duration(30 * time.Second), IdleTimeout: domain.Duration(2 * time.Minute),
			RequestMemoryBytes: 64 << 20, Connections: 12_000, PeerConnections: 2_000, DrainGrace: domain.Duration(3 * time.Second), DrainTimeout: domain.Duration(2 * time.Minute),
		},
		LogLevel: "info",
	}
}

// Load reads and validates a settings file.
func Load(file string) (Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, configuration.Problems{{File: file, Field: "-", Message: err.Error(), Remedy: "name a readable settings file with -settings"}}
	}
	return Parse(file, raw)
}

// Parse decodes and validates the text of a settings file; file is its name in
// problems.
func Parse(file string, raw []byte) (Settings, error) {
	s := Default()
	var problems configuration.Problems
	if problem := configuration.DecodeStrict(file, raw, &s); problem != nil {
		problems = append(problems, *problem)
		if problem.Field == "-" {
			return Settings{}, problems
		}
	}
	c := checker{file: file, raw: raw}
	c.check(s)
	problems = append(problems, c.problems...)
	return s, problems.Err()
}

type checker struct {
	file     string
	raw      []byte
	problems configuration.Problems
}

func (c *checker) require(ok bool, field, message, remedy string) {
	if ok {
		return
	}
	c.problems = append(c.problems, configuration.Problem{
		File: c.file, Line: c.line(field), Field: field, Message: message, Remedy: remedy,
	})
}

// line returns the line of a field, or of the closest enclosing one that is in the
// file.
func (c *checker) line(field string) int {
	value, err := hujson.Parse(c.raw)
	if err != nil {
		return 0
	}
	path := strings.Split(field, ".")
	for n := len(path); n > 0; n-- {
		if found := value.Find("/" + strings.Join(path[:n], "/")); found != nil {
			return configuration.LineAt(c.raw, int64(found.StartOffset))
		}
	}
	return 1
}

func (c *checker) address(field, value string) {
	_, err := netip.ParseAddrPort(value)
	c.require(err == nil, field, "is not an IP address with a port", `write such as "10.0.0.1:7000"; names are not looked up`)
}

func (c *checker) check(s Settings) {
	c.require(s.Instance != "", "instance", "is missing", "name the instance")
	c.require(s.DataCentre != "", "data_centre", "is missing", "name the data centre that the instance runs in")
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.peers", s.Listen.Peers)
	c.address("platform.log", s.Platform.Log)
	c.address("platform.list", s.Platform.List)
	c.require(s.PeerSecretFile != "", "peer_secret_file", "is missing", "name a file with the secret that all instances share")
	c.require(len(s.BootstrapOperatorTokenHash) == 64, "bootstrap_operator_token_hash", "is not a hex SHA-256", "write the hash that cobaltctl token prints")
	_, err := logrus.ParseLevel(s.LogLevel)
	c.require(err == nil, "log_level", "is unknown", "use debug, info, warning or error")
	c.limits(s.Limits)
}

// requestMemoryFactor is how many of the largest bodies the memory for requests has to hold, so
// that one request can always be served.
const requestMemoryFactor = 4

func (c *checker) limits(l Limits) {
	c.require(l.BodyBytes > 0, "limits.body_bytes", "must be above 0", "write a number of bytes such as 262144")
	c.require(l.HeaderBytes >= 1024, "limits.header_bytes", "must be at least 1024", "write a number of bytes such as 16384")
	c.require(l.HeaderTimeout > 0, "limits.header_timeout", "must be above 0", `write such as "5s"`)
	c.require(l.BodyTimeout > 0, "limits.body_timeout", "must be above 0", `write such as "10s"`)
	c.require(l.WriteTimeout > 0, "limits.write_timeout", "must be above 0", `write such as "30s"`)
	c.require(l.IdleTimeout > 0, "limits.idle_timeout", "must be above 0", `write such as "2m"`)
	c.require(l.RequestMemoryBytes >= requestMemoryFactor*l.BodyBytes, "limits.request_memory_bytes", "is less than four bodies", "write at least four times limits.body_bytes")
	c.require(l.PeerConnections > 0, "limits.peer_connections", "must be above 0", "write a number of connections such as 2000")
	c.require(l.RequestTimeout > 0, "limits.request_timeout", "must be above 0", `write such as "2m"`)
	c.require(l.Connections > 0, "limits.connections", "must be above 0", "write a number of connections such as 12000")
	c.require(l.DrainGrace >= 0, "limits.drain_grace", "must not be negative", `write such as "3s"`)
	c.require(l.DrainTimeout > 0, "limits.drain_timeout", "must be above 0", `write such as "2m"`)
}
