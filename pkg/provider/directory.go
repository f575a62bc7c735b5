package provider

import "context"

// Role is what a process on an instance does.
type Role string

// Roles of instances.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// InstanceState is the platform's lagging opinion about an instance.
type InstanceState string

// States of instances.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one row of the platform's list.
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

// Directory is the platform's lagging list of live and leaving instances.
type Directory interface {
	// Instances returns the list as the platform sees it now.
	Instances(ctx context.Context) ([]Instance, error)
	// Announce tells the platform that an instance is there. A platform that
	// learns this by itself ignores it.
	Announce(ctx context.Context, instance Instance) error
}
