// Package entryserver implements the entry role: it accepts requests over HTTP, admits
// and routes them, retries failed attempts within a budget, and forwards the
// configuration to sidecars.
package entryserver

import (
	"crypto/tls"
	"net"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/internal/connector"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/pkg/retrier"
	"flamingoledge.org/flamingoledge/pkg/router"
	"flamingoledge.org/flamingoledge/pkg/snapshotter"
)

// Config configures a Server.
type Config struct {
	Instance         string
	AvailabilityZone string
	Region           string
	// HTTPListener accepts requests of callers, ControlListener the control streams of
	// sidecars.
	HTTPListener    net.Listener
	ControlListener net.Listener
	// Address and HTTPAddress are the advertised addresses of ControlListener and
	// HTTPListener.
	Address     string
	HTTPAddress string

	Log       provider.Log
	Directory provider.Directory
	Dialer    *connector.Dialer
	ServerTLS *tls.Config
	Logger    *zap.Logger

	MaxBodyBytes int
	// Callers bounds what callers may hold. What it leaves open follows from MemoryMB and
	// MaxDescriptors, the memory of the process in MB and the number of its descriptors; 0 if unknown.
	Callers                  configurator.Callers
	MemoryMB, MaxDescriptors int
	// DrainTimeout limits how long a stopping entry waits for running requests.
	DrainTimeout time.Duration
	// ListInterval is the interval at which the platform's instance list is read.
	ListInterval time.Duration
	// HeartbeatTimeout is the time without heartbeats after which a sidecar is removed.
	HeartbeatTimeout time.Duration
	// MaxWaiting is the maximum number of queued requests per workspace and service.
	MaxWaiting int
	// Overcommit is the number of requests in progress per unit of endpoint capacity.
	// A value above 1 keeps requests queued at the endpoints, so that they never idle.
	Overcommit float64
	// TrafficGoroutines is the size of the goroutine pool that returns connections and
	// recovers the state.
	TrafficGoroutines int
	// NewestSchema is the newest schema version of record bodies that is supported.
	NewestSchema int
	// Peers are the addresses of processes that are queried for their state when the
	// log and the instance list are unavailable.
	Peers     []string
	Snapshots snapshotter.Config
	Routing   router.Config
	Retries   retrier.Config
}

// Default values of Config.
const (
	DefaultMaxBodyBytes      = 4 << 20
	DefaultDrainTimeout      = 30 * time.Second
	DefaultHeartbeatTimeout  = 3 * time.Second
	DefaultMaxWaiting        = 1000
	DefaultOvercommit        = 1.0
	DefaultTrafficGoroutines = 10_000
)

// bodyCopies is how often an entry holds the body of a request: in parts while it is read, in one piece,
// and in the message to the sidecar.
const bodyCopies = 3

// DefaultRoutingConfig returns the default routing policy of an entry in a region.
func DefaultRoutingConfig(region string) router.Config {
	return router.Config{Region: region, AffinityBound: 0.8, RegionPenalty: 0.05, SlowStart: 5 * time.Second}
}

// DefaultRetryConfig returns the default retry policy.
func DefaultRetryConfig() retrier.Config {
	return retrier.Config{
		Ratio:        0.15,
		MinPerSecond: 2,
		Window:       10 * time.Second,
		MaxAttempts:  4,
		BackoffBase:  20 * time.Millisecond,
		BackoffCap:   time.Second,
	}
}
