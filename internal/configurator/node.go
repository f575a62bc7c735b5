package configurator

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Node contains the settings of an entry that calls endpoints directly, or of a
// sidecar of such an endpoint.
type Node struct {
	Instance Instance `json:"instance"`
	// Regions maps each availability zone to its region.
	Regions map[string]string `json:"regions"`
	// Address is the instance's IP address.
	Address string `json:"address"`
	// NodePort accepts datagrams and drpc connections from other processes. It is
	// the same on all instances.
	NodePort int `json:"node_port"`
	// MetricsPort serves metrics; 0 disables them.
	MetricsPort int `json:"metrics_port"`
	// CallersAddress and ReadyAddress are set for an entry: the first accepts
	// callers' requests, the second the load balancer's readiness checks.
	CallersAddress string `json:"callers_address,omitempty"`
	ReadyAddress   string `json:"ready_address,omitempty"`
	// EndpointAddress and Service are set for a sidecar and describe its endpoint.
	EndpointAddress string `json:"endpoint_address,omitempty"`
	Service         string `json:"service,omitempty"`
	// Seeds are the instances from which the process discovers the others. They may
	// be down.
	Seeds []string `json:"seeds"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// LinkMbps is the bandwidth of the instance's link, in Mbit/s.
	LinkMbps float64 `json:"link_mbps"`
	// MemoryMB is the memory available to the process, in MB; 0 if unknown.
	MemoryMB int `json:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may have open; 0 if unknown.
	MaxDescriptors int    `json:"max_descriptors"`
	LogLevel       string `json:"log_level"`
	Bounds         Bounds `json:"bounds"`
	// Admission configures which requests are served while there is too little capacity.
	Admission Admission `json:"admission"`
	// Callers bounds what the callers of an entry may hold.
	Callers Callers `json:"callers"`
	// Weights configures which weights sidecars keep in the store.
	Weights Weights `json:"weights"`
}

// Weights configures which weights sidecars keep in the platform's store, to read them back
// after a loss of power, where the origin's link is slower than the instance's. The limits
// other than MaxKeptMB are those of the store, and must be the same on all instances.
type Weights struct {
	// MaxKeptMB is the size in MB of the largest weights that are kept; 0 for none.
	MaxKeptMB float64 `json:"max_kept_mb"`
	// Partitions is the largest number of partitions of a topic.
	Partitions int `json:"partitions"`
	// RecordBytes bounds a record, and CallBytes the records of a write.
	RecordBytes int `json:"record_bytes"`
	CallBytes   int `json:"call_bytes"`
}

const (
	// maxKeptMB leaves room for two versions and the other topics in a store of 400 MB.
	maxKeptMB = 160
	// maxPartitions and maxStoreBytes bound what a store is expected to accept.
	maxPartitions = 4096
	maxStoreBytes = 1 << 30
)

func (w Weights) check() error {
	if w.MaxKeptMB < 0 || w.MaxKeptMB > maxKeptMB {
		return &FieldError{Field: "weights.max_kept_mb", Problem: fmt.Sprintf("must be 0 to %d", maxKeptMB)}
	}
	return firstError(
		checkRange("weights.partitions", w.Partitions, 1, maxPartitions),
		checkRange("weights.record_bytes", w.RecordBytes, 1, maxStoreBytes),
		checkRange("weights.call_bytes", w.CallBytes, 1, maxStoreBytes),
	)
}

// Bounds contains the time bounds and budgets that the users set.
type Bounds struct {
	// DrainMillis has no effect; GraceSeconds bounds the drain.
	DrainMillis int64 `json:"drain_ms"`
	// GraceSeconds is the time from the shutdown signal until the platform kills the
	// process.
	GraceSeconds float64 `json:"grace_s"`
	// ConfigurationMillis is the maximum age of a confirmed configuration at which it may
	// be the reason to deny a request.
	ConfigurationMillis int64 `json:"configuration_ms"`
	// RevocationMillis is the time after the revocation of a key in which requests with it
	// may still run.
	RevocationMillis int64 `json:"revocation_ms"`
	// RevocationStrict requires that no request with a revoked key runs after
	// RevocationMillis, even if the process can't reach the store or its peers.
	RevocationStrict bool `json:"revocation_strict"`
	// VersionMillis is the time after operators set a version in which endpoints with older
	// versions may begin requests; 0 for no limit.
	VersionMillis int64 `json:"version_ms"`
	// EvacuateMillis is the time after operators evacuate an availability zone in which its
	// endpoints may still get requests; 0 if it is not bounded. Entries use as little of it as
	// they can.
	EvacuateMillis int64 `json:"evacuate_ms"`
	// In any second, a cold endpoint may get the requests per second that it tolerates times
	// ColdExcess, and ColdMargin more. 0 if there is no such rule: it then gets no more than it
	// tolerates.
	ColdExcess float64 `json:"cold_excess"`
	ColdMargin float64 `json:"cold_margin"`
	// In any period of RetryWindowSeconds, all entries together may make RetryRatio retries
	// per request and RetryExtra additional ones.
	RetryRatio         float64 `json:"retry_ratio"`
	RetryWindowSeconds float64 `json:"retry_window_s"`
	RetryExtra         float64 `json:"retry_extra"`
}

// Admission configures which requests an entry admits during an overload. The zero value
// prefers more urgent priorities and gives all workspaces the same weight.
type Admission struct {
	// WorkspaceWeights are the relative shares of workspaces within a priority; 1 for a
	// workspace without one.
	WorkspaceWeights map[string]float64 `json:"workspace_weights,omitempty"`
	// ReservedShares are the shares of all slots that priorities get before more urgent ones
	// get theirs. What is not used is lent. A priority is ten times that of the workspace, or
	// of the route if the workspace has none, and that of the route, as in log lines.
	ReservedShares map[int]float64 `json:"reserved_shares,omitempty"`
}

const (
	// minWeight and maxWeight bound weights: beyond them, a workspace gets nothing or all.
	minWeight, maxWeight = 0.01, 100
	// maxWeights bounds the workspaces with weights, and so the size of the settings.
	maxWeights = 10_000
	// maxReserved bounds the sum of the reserved shares. The rest follows demand, so that no
	// priority without a reserved share starves.
	maxReserved = 0.8
	// lastPriority is the least urgent priority of requests: ten times that of the workspace
	// and that of the route.
	lastPriority = 99
)

func (a Admission) check() error {
	if len(a.WorkspaceWeights) > maxWeights {
		return &FieldError{Field: "admission.workspace_weights", Problem: fmt.Sprintf("must have at most %d workspaces", maxWeights)}
	}
	for _, workspace := range slices.Sorted(maps.Keys(a.WorkspaceWeights)) {
		if w := a.WorkspaceWeights[workspace]; workspace == "" || w < minWeight || w > maxWeight {
			return &FieldError{Field: "admission.workspace_weights", Problem: fmt.Sprintf("%q: must be a name with %v to %v", workspace, minWeight, maxWeight)}
		}
	}
	sum := 0.0
	for _, priority := range slices.Sorted(maps.Keys(a.ReservedShares)) {
		share := a.ReservedShares[priority]
		if priority < 0 || priority > lastPriority || share < 0 {
			return &FieldError{Field: "admission.reserved_shares", Problem: fmt.Sprintf("%d: must be a priority of 0 to %d with a share that is not negative", priority, lastPriority)}
		}
		sum += share
	}
	if sum > maxReserved {
		return &FieldError{Field: "admission.reserved_shares", Problem: fmt.Sprintf("must not be more than %v together", maxReserved)}
	}
	return nil
}

// DefaultNode returns the default settings.
func DefaultNode() *Node {
	return &Node{
		LogLevel: "info",
		Weights:  Weights{MaxKeptMB: 64, Partitions: 24, RecordBytes: 262_144, CallBytes: 2_097_152},
		Bounds:   Bounds{DrainMillis: 2000, GraceSeconds: 8, ConfigurationMillis: 2000, RevocationMillis: 5000, RetryWindowSeconds: 10},
	}
}

// Check implements Checker.
func (n *Node) Check() error {
	switch {
	case n.Instance.Name == "":
		return &FieldError{Field: "instance.name", Problem: "must not be empty"}
	case n.Instance.AvailabilityZone == "":
		return &FieldError{Field: "instance.availability_zone", Problem: "must not be empty"}
	case n.NodePort < 1 || n.NodePort > maxPort:
		return &FieldError{Field: "node_port", Problem: "must be 1 to 65535"}
	case n.MetricsPort < 0 || n.MetricsPort > maxPort:
		return &FieldError{Field: "metrics_port", Problem: "must be 0 to 65535"}
	case n.MemoryMB < 0:
		return &FieldError{Field: "memory_mb", Problem: "must not be negative"}
	case n.LinkMbps < 0:
		return &FieldError{Field: "link_mbps", Problem: "must not be negative"}
	}
	if _, err := netip.ParseAddr(n.Address); err != nil {
		return &FieldError{Field: "address", Problem: "must be an IP address"}
	}
	if err := checkAddressPort("store", n.Store); err != nil {
		return err
	}
	for _, s := range n.Seeds {
		if err := checkAddressPort("seeds", s); err != nil {
			return err
		}
	}
	if err := n.Bounds.check(); err != nil {
		return err
	}
	return firstError(
		checkRange("max_descriptors", n.MaxDescriptors, 0, maxDescriptors),
		n.Callers.check(),
		n.Admission.check(),
		n.Weights.check(),
	)
}

const maxPort = 65535

func (b Bounds) check() error {
	switch {
	case b.RetryRatio < 0:
		return &FieldError{Field: "bounds.retry_ratio", Problem: "must not be negative"}
	case b.RetryWindowSeconds <= 0:
		return &FieldError{Field: "bounds.retry_window_s", Problem: "must be positive"}
	case b.GraceSeconds <= 0:
		return &FieldError{Field: "bounds.grace_s", Problem: "must be positive"}
	case b.ConfigurationMillis <= 0:
		return &FieldError{Field: "bounds.configuration_ms", Problem: "must be positive"}
	case b.EvacuateMillis < 0:
		return &FieldError{Field: "bounds.evacuate_ms", Problem: "must not be negative"}
	case b.ColdExcess < 0 || b.ColdExcess > 0 && b.ColdExcess < 1:
		return &FieldError{Field: "bounds.cold_excess", Problem: "must be 0 or at least 1"}
	case b.ColdMargin < 0:
		return &FieldError{Field: "bounds.cold_margin", Problem: "must not be negative"}
	case b.RevocationStrict && b.RevocationMillis <= 0:
		return &FieldError{Field: "bounds.revocation_ms", Problem: "must be positive"}
	}
	return nil
}

// CheckEntry validates the settings that only an entry needs.
func (n *Node) CheckEntry() error {
	if err := checkAddressPort("callers_address", n.CallersAddress); err != nil {
		return err
	}
	return checkAddressPort("ready_address", n.ReadyAddress)
}

// CheckSidecar validates the settings that only a sidecar needs.
func (n *Node) CheckSidecar() error {
	if n.Service == "" {
		return &FieldError{Field: "service", Problem: "must not be empty"}
	}
	return checkAddressPort("endpoint_address", n.EndpointAddress)
}

func checkAddressPort(field, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &FieldError{Field: field, Problem: "must be an IP address with a port"}
	}
	return nil
}

// Millis converts milliseconds to a duration.
func Millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Seconds converts seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
