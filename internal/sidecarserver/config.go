// Package sidecarserver implements the sidecar role, the only path to one endpoint.
// A sidecar admits attempts to the versions that the endpoint serves, claims
// idempotency keys, fetches and serves chunks, sends orders to the endpoint, and
// drains on shutdown.
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
	// Listener accepts connections from entries and other sidecars.
	Listener net.Listener
	// Address is the advertised address of the listener.
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
	// ControlEntries is the number of entries to which control streams are open.
	ControlEntries int
	// ListInterval is the time between reads of the platform's instance list.
	ListInterval time.Duration
	// HeartbeatInterval is the time between heartbeats while nothing changes.
	HeartbeatInterval time.Duration
	// DrainTimeout bounds how long running requests may take after shutdown begins.
	DrainTimeout time.Duration
	// LeaseDuration is how long the lease, the right to send orders, is valid after
	// the last read of the fences stream.
	LeaseDuration time.Duration
	// ClaimWindow is how long an idempotency key protects a call from running twice.
	ClaimWindow time.Duration
	// ClockSkew is how far the clocks of instances and callers may differ.
	ClockSkew time.Duration
	// ScaleDownDelay is how long fewer replicas of a model must suffice before one
	// is removed.
	ScaleDownDelay time.Duration
	// TrafficGoroutines is the size of the goroutine pool for transfers, such as
	// origin reads.
	TrafficGoroutines int
	// NewestSchema is the newest schema version of record bodies that is accepted.
	NewestSchema int
	Transfer     TransferConfig
}

// TransferConfig limits the transfers of chunks.
type TransferConfig struct {
	Neighbors    int
	PeerWindow   int
	OriginWindow int
	TotalWindow  int
	// TakeoverAfter is how long an instance sees no progress before it takes over a
	// fetch from the instance that is ranked before it.
	TakeoverAfter time.Duration
	ChunkTimeout  time.Duration
	OriginTimeout time.Duration
	// LinkBytesPerSecond is the rate of the instance's link, and
	// RegionBytesPerSecond that of the link between two regions; 0 if unknown.
	// Transfers are paced to stay below these rates.
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
	// busyLinkShare is the transfers' share of a link while requests run. The
	// remainder lets requests pass without queuing.
	busyLinkShare = 0.7
	// busyPeriod is how long a link counts as busy after the last request.
	busyPeriod = 500 * time.Millisecond
	// chunkTimeoutWindows is the number of full transfer windows that a link must
	// have time for before the fetch of a chunk counts as stalled.
	chunkTimeoutWindows = 4
)

// newLinkPacer returns a pacer for a link with the given rate.
func newLinkPacer(bytesPerSecond float64) *pacer.Pacer {
	return pacer.New(pacer.Config{
		BytesPerSecond: bytesPerSecond, BusyShare: busyLinkShare, IdleShare: 1, BusyDuration: busyPeriod,
	})
}

// chunkTimeout returns the configured timeout, or a longer one if the link is slow.
func (t TransferConfig) chunkTimeout(chunkBytes int) time.Duration {
	if t.LinkBytesPerSecond <= 0 {
		return t.ChunkTimeout
	}
	window := float64(t.TotalWindow*chunkBytes) / t.LinkBytesPerSecond
	return max(t.ChunkTimeout, time.Duration(chunkTimeoutWindows*window*float64(time.Second)))
}

// DefaultTransferConfig returns the default limits of transfers.
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
