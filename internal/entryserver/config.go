// Package entryserver is the entry role: it takes callers' requests, admits and
// routes them, retries within a budget and hands the configuration on to sidecars.
package entryserver

import (
	"crypto/tls"
	"net"
	"time"

	"go.uber.org/zap"

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
	// HTTPListener takes callers' requests, Control the sidecars' streams.
	HTTPListener    net.Listener
	ControlListener net.Listener
	// Address and HTTPAddress are where others reach the listeners.
	Address     string
	HTTPAddress string

	Log       provider.Log
	Directory provider.Directory
	Dialer    *connector.Dialer
	ServerTLS *tls.Config
	Logger    *zap.Logger

	MaxBodyBytes int
	// DrainTimeout bounds how long running requests may take after a stop.
	DrainTimeout time.Duration
	// ListInterval is the time between readings of the platform's list.
	ListInterval time.Duration
	// HeartbeatTimeout is how long a silent sidecar is kept.
	HeartbeatTimeout time.Duration
	// MaxWaiting bounds the waiting requests of one workspace and service.
	MaxWaiting int
	// Overcommit is how many requests are in progress at a time for each place
	// of the endpoints, so that these never run dry.
	Overcommit float64
	// TrafficGoroutines bounds the goroutines that run attempts.
	TrafficGoroutines int
	// NewestSchema is the newest schema version of record bodies to read.
	NewestSchema int
	// Peers are addresses of processes to ask for their state when the log and
	// the list of instances are out of reach.
	Peers     []string
	Snapshots snapshotter.Config
	Routing   router.Config
	Retries   retrier.Config
}

// Defaults of a Config.
const (
	DefaultMaxBodyBytes      = 4 << 20
	DefaultDrainTimeout      = 30 * time.Second
	DefaultHeartbeatTimeout  = 3 * time.Second
	DefaultMaxWaiting        = 1000
	DefaultOvercommit        = 1.0
	DefaultTrafficGoroutines = 10_000
)

// DefaultRoutingConfig returns the routing policy of a region.
func DefaultRoutingConfig(region string) router.Config {
	return router.Config{Region: region, AffinityBound: 0.8, RegionPenalty: 0.05, SlowStart: 5 * time.Second}
}

// DefaultRetryConfig returns the retry policy.
func DefaultRetryConfig() retrier.Config {
	return retrier.Config{
		Ratio:          0.15,
		FloorPerSecond: 2,
		Window:         10 * time.Second,
		MaxAttempts:    4,
		BackoffBase:    20 * time.Millisecond,
		BackoffCap:     time.Second,
	}
}
