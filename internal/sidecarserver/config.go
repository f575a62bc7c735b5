// Package sidecarserver is the sidecar role: the only path to one endpoint. It
// guards versions, claims and drains, fetches and serves chunks, and gives the
// endpoint its orders.
package sidecarserver

import (
	"crypto/tls"
	"net"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/connector"
	"flamingoledge.org/flamingoledge/internal/endpointclient"
	"flamingoledge.org/flamingoledge/pkg/pacer"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// Config configures a Server.
type Config struct {
	Instance         string
	AvailabilityZone string
	Region           string
	Service          string
	// Listener takes connections of entries and other sidecars.
	Listener net.Listener
	// Address is where others reach the listener.
	Address string

	Endpoint  *endpointclient.Client
	Log       provider.Log
	Origin    provider.Origin
	Directory provider.Directory
	Dialer    *connector.Dialer
	ServerTLS *tls.Config
	Logger    *zap.Logger

	// OriginRegion is the region of the origin.
	OriginRegion string
	// ControlEntries is to how many entries control streams are held.
	ControlEntries int
	// ListInterval is the time between readings of the platform's list.
	ListInterval time.Duration
	// HeartbeatInterval is the time between heartbeats without news.
	HeartbeatInterval time.Duration
	// DrainTimeout bounds how long running requests may take after a stop.
	DrainTimeout time.Duration
	// LeaseDuration is how long the right to give orders outlives the last look
	// at the fences stream.
	LeaseDuration time.Duration
	// ClaimWindow is how long an idempotency key protects.
	ClaimWindow time.Duration
	// ClockSkew is how far the clocks of instances and callers may differ.
	ClockSkew time.Duration
	// ScaleDownDelay is how long fewer replicas of a model must suffice before one
	// is taken away.
	ScaleDownDelay time.Duration
	// TrafficGoroutines bounds the goroutines for origin reads and the like.
	TrafficGoroutines int
	// NewestSchema is the newest schema version of record bodies to read.
	NewestSchema int
	Transfer     TransferConfig
}

// TransferConfig bounds the transfers of chunks.
type TransferConfig struct {
	Neighbors    int
	PeerWindow   int
	OriginWindow int
	TotalWindow  int
	// TakeoverAfter is how long an instance sees no progress before it does the
	// fetch of another one.
	TakeoverAfter time.Duration
	ChunkTimeout  time.Duration
	OriginTimeout time.Duration
	// LinkBytesPerSecond is the rate of the instance's link, and
	// RegionBytesPerSecond that of the link between two regions; 0 if not known.
	// Transfers are paced below them.
	LinkBytesPerSecond   float64
	RegionBytesPerSecond float64
}

// Defaults of a Config.
const (
	DefaultControlEntries    = 3
	DefaultHeartbeatInterval = time.Second
	DefaultDrainTimeout      = 30 * time.Second
	DefaultLeaseDuration     = 6 * time.Second
	DefaultClaimWindow       = 10 * time.Minute
	DefaultClockSkew         = 5 * time.Second
	DefaultTrafficGoroutines = 256
	DefaultScaleDownDelay    = 2 * time.Minute
)

const (
	// busyLinkShare is the transfers' share of a link while requests run. The rest
	// lets requests pass without a queue.
	busyLinkShare = 0.7
	// busyPeriod is how long after the last request a link counts as busy.
	busyPeriod = 500 * time.Millisecond
	// chunkTimeoutWindows is how many whole windows of chunks a link must be given
	// time for before a fetch counts as stalled.
	chunkTimeoutWindows = 4
)

// newLinkPacer returns a pacer for a link of the given rate.
func newLinkPacer(bytesPerSecond float64) *pacer.Pacer {
	return pacer.New(pacer.Config{
		BytesPerSecond: bytesPerSecond, BusyShare: busyLinkShare, IdleShare: 1, BusyDuration: busyPeriod,
	})
}

// chunkTimeout is the configured timeout, or longer where the link needs it.
func (t TransferConfig) chunkTimeout(chunkBytes int) time.Duration {
	if t.LinkBytesPerSecond <= 0 {
		return t.ChunkTimeout
	}
	window := float64(t.TotalWindow*chunkBytes) / t.LinkBytesPerSecond
	return max(t.ChunkTimeout, time.Duration(chunkTimeoutWindows*window*float64(time.Second)))
}

// DefaultTransferConfig returns the usual bounds of transfers.
func DefaultTransferConfig() TransferConfig {
	return TransferConfig{
		Neighbors:     16,
		PeerWindow:    2,
		OriginWindow:  4,
		TotalWindow:   24,
		TakeoverAfter: time.Second,
		ChunkTimeout:  2 * time.Second,
		OriginTimeout: 10 * time.Second,
	}
}
