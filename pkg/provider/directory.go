package provider

import "context"

// Role is the role of the process that runs on an instance.
type Role string

// Roles of instances.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// InstanceState is the state of an instance in the platform's list, which may be out of
// date.
type InstanceState string

// States of instances.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list of instances.
type Instance struct {
	Name             string        `json:"instance"`
	Role             Role          `json:"role"`
	AvailabilityZone string        `json:"availability_zone"`
	Region           string        `json:"region"`
	Service          string        `json:"service,omitempty"`
	Address          string        `json:"address"`
	HTTPAddress      string        `json:"http_address,omitempty"`
	State            InstanceState `json:"state"`
}

// Directory is the platform's list of live and leaving instances, which may be out of
// date.
type Directory interface {
	// Instances returns the platform's current list.
	Instances(ctx context.Context) ([]Instance, error)
	// Announce registers an instance with the platform. A platform that discovers
	// instances itself ignores it.
	Announce(ctx context.Context, instance Instance) error
}
