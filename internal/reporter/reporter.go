// Package reporter holds the types in which an entry reports its status.
package reporter

// Status is what an entry knows about itself and its sidecars.
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

// SidecarStatus is one attached sidecar in an entry's status.
type SidecarStatus struct {
	Instance      string          `json:"instance"`
	Region        string          `json:"region"`
	Service       string          `json:"service"`
	ThroughOffset uint64          `json:"through_offset"`
	Running       int             `json:"running"`
	Leaving       bool            `json:"leaving,omitempty"`
	Versions      []VersionStatus `json:"versions,omitempty"`
}

// VersionStatus is how far a sidecar is with a version.
type VersionStatus struct {
	Model         string `json:"model"`
	VersionDigest string `json:"version_digest"`
	ChunksHeld    int    `json:"chunks_held"`
	ChunksTotal   int    `json:"chunks_total"`
	Serving       bool   `json:"serving"`
}

// CountServing counts the attached sidecars that serve a version.
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
