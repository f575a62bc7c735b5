// Package reporter defines the status report of an entry.
package reporter

// Status is the status of an entry and its attached sidecars.
type Status struct {
	Instance      string          `json:"instance"`
	Ready         bool            `json:"ready"`
	ThroughOffset uint64          `json:"through_offset"`
	StateDigest   string          `json:"state_digest"`
	Draining      bool            `json:"draining"`
	InFlight      int64           `json:"in_flight"`
	Unreadable    []string        `json:"unreadable,omitempty"`
	Sidecars      []SidecarStatus `json:"sidecars"`
}

// SidecarStatus is the status of one attached sidecar.
type SidecarStatus struct {
	Instance      string          `json:"instance"`
	Region        string          `json:"region"`
	Service       string          `json:"service"`
	ThroughOffset uint64          `json:"through_offset"`
	Running       int             `json:"running"`
	Leaving       bool            `json:"leaving,omitempty"`
	Versions      []VersionStatus `json:"versions,omitempty"`
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
