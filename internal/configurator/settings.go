package configurator

import (
	"fmt"
	"net"
	"regexp"
	"slices"
)

// Instance identifies the instance that a process runs on.
type Instance struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region"`
}

// TLS names the files for mutual TLS between the system's processes.
type TLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	// AuthorityFile contains the CA certificates that sign the processes'
	// certificates.
	AuthorityFile string `json:"authority_file"`
}

// Common contains the settings that both roles share.
type Common struct {
	Instance Instance `json:"instance"`
	// Platform is the IP address and port of the platform's services.
	Platform string `json:"platform"`
	// ListenAddress is the address at which the process accepts connections from other
	// processes.
	ListenAddress string `json:"listen_address"`
	// AdvertiseAddress is the address at which other processes reach
	// ListenAddress; by default the same.
	AdvertiseAddress string `json:"advertise_address,omitempty"`
	// AdminAddress serves metrics; empty disables them.
	AdminAddress string `json:"admin_address,omitempty"`
	LogLevel     string `json:"log_level"`
	// DrainTimeoutMillis bounds a graceful shutdown, in ms.
	DrainTimeoutMillis int `json:"drain_timeout_ms"`
	// TLS configures mutual TLS between processes; without it they use plain TCP.
	TLS *TLS `json:"tls,omitempty"`
}

// Entry contains the settings of an entry.
type Entry struct {
	Common
	// HTTPAddress accepts callers' requests.
	HTTPAddress string `json:"http_address"`
	// AdvertiseHTTPAddress is the address at which callers reach HTTPAddress; by
	// default the same.
	AdvertiseHTTPAddress string `json:"advertise_http_address,omitempty"`
	// MemoryMB is the memory available to the process, in MB, and MaxDescriptors the number of
	// descriptors that it may have open; 0 if unknown.
	MemoryMB       int `json:"memory_mb"`
	MaxDescriptors int `json:"max_descriptors"`
	// Callers bounds what callers may hold.
	Callers                Callers `json:"callers"`
	MaxBodyBytes           int     `json:"max_body_bytes"`
	MaxWaiting             int     `json:"max_waiting"`
	Overcommit             float64 `json:"overcommit"`
	HeartbeatTimeoutMillis int     `json:"heartbeat_timeout_ms"`
	RetryRatio             float64 `json:"retry_ratio"`
	TrafficGoroutines      int     `json:"traffic_goroutines"`
	// Peers are the processes whose state is requested when neither the log nor
	// the list of instances can be reached.
	Peers []string `json:"peers,omitempty"`
}

// Sidecar contains the settings of a sidecar.
type Sidecar struct {
	Common
	Service string `json:"service"`
	// Endpoint is the IP address and port of the sidecar's endpoint.
	Endpoint     string `json:"endpoint"`
	OriginRegion string `json:"origin_region"`
	// ControlEntries is the number of entries to which the sidecar keeps control
	// streams open.
	ControlEntries int `json:"control_entries"`
	// LeaseMillis is how long the lease to send orders stays valid after it was last
	// verified, in ms.
	LeaseMillis int `json:"lease_ms"`
	// ClaimWindowMillis is how long an idempotency key is protected, in ms. The
	// platform must retain the claims stream for longer.
	ClaimWindowMillis int `json:"claim_window_ms"`
	ClockSkewMillis   int `json:"clock_skew_ms"`
	// ChunkCopies is the number of copies of a version's chunks that are held in
	// memory and served to other sidecars; only 1 is supported.
	ChunkCopies int `json:"chunk_copies"`
	// Neighbors is the maximum number of sidecars in the same region from which a
	// transfer fetches chunks.
	Neighbors int `json:"neighbors"`
	// LinkBytesPerSecond is the bandwidth of the instance's link in each direction,
	// RegionBytesPerSecond that of the link between two regions. Transfers are
	// paced below them; 0 means unknown.
	LinkBytesPerSecond   float64 `json:"link_bytes_per_second,omitempty"`
	RegionBytesPerSecond float64 `json:"region_bytes_per_second,omitempty"`
	TrafficGoroutines    int     `json:"traffic_goroutines"`
}

// Platform contains the settings of the platform emulator.
type Platform struct {
	ListenAddress string `json:"listen_address"`
	// OriginBytesPerSecond limits the rate of reads from the origin; 0 is unlimited.
	OriginBytesPerSecond float64 `json:"origin_bytes_per_second"`
	// ListLagMillis is the lag of the list of instances, in ms.
	ListLagMillis int    `json:"list_lag_ms"`
	Seed          uint64 `json:"seed"`
}

// Endpoint contains the settings of an endpoint emulator.
type Endpoint struct {
	Name                string `json:"name"`
	ListenAddress       string `json:"listen_address"`
	ChecksFencing       bool   `json:"checks_fencing"`
	Capacity            int    `json:"capacity"`
	Slots               int    `json:"slots"`
	FirstTokenMillis    int    `json:"first_token_ms"`
	TokenIntervalMillis int    `json:"token_interval_ms"`
	RestartAfterMillis  int    `json:"restart_after_ms"`
	Seed                uint64 `json:"seed"`
}

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
	logLevels   = []string{"debug", "info", "warn", "error"}
)

const (
	maxMillis         = 24 * 3600 * 1000
	maxCount          = 1 << 20
	maxBodyBytes      = 8 << 20
	maxNeighbors      = 256
	maxOvercommit     = 100
	maxBytesPerSecond = 1e12
)

// Check implements Checker.
func (c *Common) Check() error {
	return firstError(
		checkName("instance.name", c.Instance.Name),
		checkName("instance.availability_zone", c.Instance.AvailabilityZone),
		checkName("instance.region", c.Instance.Region),
		checkAddress("platform", c.Platform, true),
		checkAddress("listen_address", c.ListenAddress, true),
		checkAddress("advertise_address", c.AdvertiseAddress, false),
		checkAddress("admin_address", c.AdminAddress, false),
		checkOneOf("log_level", c.LogLevel, logLevels),
		checkRange("drain_timeout_ms", c.DrainTimeoutMillis, 1, maxMillis),
		c.TLS.check(),
	)
}

func (t *TLS) check() error {
	if t == nil {
		return nil
	}
	return firstError(
		checkPresent("tls.certificate_file", t.CertificateFile),
		checkPresent("tls.key_file", t.KeyFile),
		checkPresent("tls.authority_file", t.AuthorityFile),
	)
}

// Check implements Checker.
func (e *Entry) Check() error {
	return firstError(
		e.Common.Check(),
		checkAddress("http_address", e.HTTPAddress, true),
		checkAddress("advertise_http_address", e.AdvertiseHTTPAddress, false),
		checkRange("memory_mb", e.MemoryMB, 0, maxMemoryMB),
		checkRange("max_descriptors", e.MaxDescriptors, 0, maxDescriptors),
		e.Callers.check(),
		checkRange("max_body_bytes", e.MaxBodyBytes, 1, maxBodyBytes),
		checkRange("max_waiting", e.MaxWaiting, 1, maxCount),
		checkFloatRange("overcommit", e.Overcommit, maxOvercommit),
		checkRange("heartbeat_timeout_ms", e.HeartbeatTimeoutMillis, 1, maxMillis),
		checkFloatRange("retry_ratio", e.RetryRatio, 1),
		checkRange("traffic_goroutines", e.TrafficGoroutines, 1, maxCount),
		checkAddresses("peers", e.Peers),
	)
}

func checkAddresses(field string, values []string) error {
	for _, v := range values {
		if err := checkAddress(field, v, true); err != nil {
			return err
		}
	}
	return nil
}

// Check implements Checker.
func (s *Sidecar) Check() error {
	return firstError(
		s.Common.Check(),
		checkName("service", s.Service),
		checkAddress("endpoint", s.Endpoint, true),
		checkName("origin_region", s.OriginRegion),
		checkRange("control_entries", s.ControlEntries, 1, maxCount),
		checkRange("lease_ms", s.LeaseMillis, 1, maxMillis),
		checkRange("claim_window_ms", s.ClaimWindowMillis, 1, maxMillis),
		checkRange("clock_skew_ms", s.ClockSkewMillis, 1, maxMillis),
		checkRange("chunk_copies", s.ChunkCopies, 1, 1),
		checkRange("neighbors", s.Neighbors, 1, maxNeighbors),
		checkFloatRange("link_bytes_per_second", s.LinkBytesPerSecond, maxBytesPerSecond),
		checkFloatRange("region_bytes_per_second", s.RegionBytesPerSecond, maxBytesPerSecond),
		checkRange("traffic_goroutines", s.TrafficGoroutines, 1, maxCount),
	)
}

// Check implements Checker.
func (p *Platform) Check() error {
	if p.OriginBytesPerSecond < 0 {
		return &FieldError{Field: "origin_bytes_per_second", Problem: "must be 0 or more"}
	}
	return firstError(
		checkAddress("listen_address", p.ListenAddress, true),
		checkRange("list_lag_ms", p.ListLagMillis, 0, maxMillis),
	)
}

// Check implements Checker.
func (e *Endpoint) Check() error {
	return firstError(
		checkName("name", e.Name),
		checkAddress("listen_address", e.ListenAddress, true),
		checkRange("capacity", e.Capacity, 1, maxCount),
		checkRange("slots", e.Slots, 1, maxCount),
		checkRange("first_token_ms", e.FirstTokenMillis, 0, maxMillis),
		checkRange("token_interval_ms", e.TokenIntervalMillis, 0, maxMillis),
		checkRange("restart_after_ms", e.RestartAfterMillis, 0, maxMillis),
	)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkPresent(field, value string) error {
	if value == "" {
		return &FieldError{Field: field, Problem: "must be present"}
	}
	return nil
}

func checkName(field, value string) error {
	if !namePattern.MatchString(value) {
		return &FieldError{Field: field, Problem: "must consist of 1 to 64 letters, digits, dots, underscores or hyphens"}
	}
	return nil
}

func checkAddress(field, value string, required bool) error {
	if value == "" && !required {
		return nil
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return &FieldError{Field: field, Problem: "must be an IP address and a port: " + err.Error()}
	}
	if net.ParseIP(host) == nil {
		return &FieldError{Field: field, Problem: fmt.Sprintf("host %q must be an IP address", host)}
	}
	return nil
}

func checkOneOf(field, value string, allowed []string) error {
	if !slices.Contains(allowed, value) {
		return &FieldError{Field: field, Problem: fmt.Sprintf("must be one of %v", allowed)}
	}
	return nil
}

func checkRange(field string, value, low, high int) error {
	if value < low || value > high {
		return &FieldError{Field: field, Problem: fmt.Sprintf("is %d, must be %d to %d", value, low, high)}
	}
	return nil
}

func checkFloatRange(field string, value, high float64) error {
	if value < 0 || value > high {
		return &FieldError{Field: field, Problem: fmt.Sprintf("is %g, must be 0 to %g", value, high)}
	}
	return nil
}
