// Package reporter defines the status report of an entry.
package reporter

// Status is the status of an entry and its attached sidecars.
type Status struct {
	Instance string `json:"instance"`
	// Ready is true once the entry has had a complete configuration.
	Ready bool `json:"ready"`
	// ThroughOffset is the offset up to which the entry has processed the configuration
	// log.
	ThroughOffset uint64 `json:"through_offset"`
	// StateDigest is the digest of the accepted records.
	StateDigest string `json:"state_digest"`
	Draining    bool   `json:"draining"`
	// InFlight is the number of requests in progress.
	InFlight int64 `json:"in_flight"`
	// Unreadable lists the subjects whose accepted record the entry can't decode.
	Unreadable []string `json:"unreadable,omitempty"`
	// Evacuations are the evacuated availability zones.
	Evacuations []EvacuationStatus `json:"evacuations,omitempty"`
	Sidecars    []SidecarStatus    `json:"sidecars"`
}

// EvacuationStatus is an evacuated availability zone.
type EvacuationStatus struct {
	AvailabilityZone string `json:"availability_zone"`
	// RecordOffset is the offset of the record that evacuates the zone.
	RecordOffset uint64 `json:"record_offset"`
	Reason       string `json:"reason,omitempty"`
}

// SidecarStatus is the status of one attached sidecar.
type SidecarStatus struct {
	Instance         string          `json:"instance"`
	Region           string          `json:"region"`
	AvailabilityZone string          `json:"availability_zone,omitempty"`
	Service          string          `json:"service"`
	ThroughOffset    uint64          `json:"through_offset"`
	Running          int             `json:"running"`
	Leaving          bool            `json:"leaving,omitempty"`
	Versions         []VersionStatus `json:"versions,omitempty"`
}

// VersionStatus is a sidecar's progress in loading a version.
type VersionStatus struct {
	Model         string `json:"model"`
	VersionDigest string `json:"version_digest"`
	ChunksHeld    int    `json:"chunks_held"`
	ChunksTotal   int    `json:"chunks_total"`
	Serving       bool   `json:"serving"`
}

// CountServing returns the number of attached sidecars that serve a version.
func (s Status) CountServing(versionDigest string) (n int) {
	for _, sc := range s.Sidecars {
		for _, v := range sc.Versions {
			if v.Serving && v.VersionDigest == versionDigest {
				n++
			}
		}
	}
	return n
}
