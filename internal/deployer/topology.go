// Package deployer starts entries and sidecars with emulated endpoints and an emulated
// platform in one process, on loopback addresses and with rate-limited links. The demo,
// the experiments and the tests use it.
package deployer

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/interpreter"
)

// Service describes a service and its endpoints.
type Service struct {
	Name string
	Kind interpreter.ServiceKind
	// Endpoints is the number of endpoints.
	Endpoints int
	// Concurrency is the number of requests that an endpoint runs concurrently.
	Concurrency int
	// Slots is the number of versions that fit in an endpoint's memory.
	Slots           int
	ChecksFencing   bool
	FirstTokenDelay time.Duration
	TokenInterval   time.Duration
	// PrefixMissDelay and CachedPrefixes configure the engine's prefix cache, see
	// emulator.EndpointConfig.
	PrefixMissDelay time.Duration
	CachedPrefixes  int
}

// Links holds the rates of links in bytes per second; 0 means unlimited.
type Links struct {
	// Instance is the rate of an instance's link in each direction.
	Instance float64
	// InstanceShared makes both directions share that rate.
	InstanceShared bool
	// Region is the rate of the link between two regions in each direction.
	Region float64
	// Origin is the rate of the origin's link.
	Origin float64
}

// Topology describes a deployment.
type Topology struct {
	Name string
	// Regions are the names of the regions, each with one availability zone. The platform
	// with its store and origin is in the first one.
	Regions          []string
	EntriesPerRegion int
	Services         []Service
	Links            Links
	Prefer           interpreter.Preference
	// ListLag is the lag of the platform's list of instances.
	ListLag time.Duration
	Seed    uint64
}

// regionLinkBytesPerSecond is 20 Mbit/s.
const regionLinkBytesPerSecond = 20e6 / 8

// Numbers of endpoints of each service in the users' deployments.
const (
	modelEndpoints  = 16
	orderEndpoints  = 3
	portalEndpoints = 1
)

// Zvaz is the deployment of the Ľadový Družstevný Zväz Horehronie.
func Zvaz() Topology {
	return Topology{
		Name:             "zvaz",
		Regions:          []string{"stred", "zapad", "vychod"},
		EntriesPerRegion: 1,
		Prefer:           interpreter.PreferTime,
		Services:         newServices("language-model", "orders", "member-records"),
		Links:            Links{Region: regionLinkBytesPerSecond},
	}
}

// Vloerwerk is the deployment of Vloerwerk Van der Heijden B.V.
func Vloerwerk() Topology {
	return Topology{
		Name:             "vloerwerk",
		Regions:          []string{"nl-west", "nl-east", "be-north"},
		EntriesPerRegion: 1,
		Prefer:           interpreter.PreferOriginBytes,
		Services:         newServices("drafting", "booking", "customer-portal"),
		Links:            Links{Region: regionLinkBytesPerSecond},
	}
}

func newServices(model, orders, portal string) []Service {
	return []Service{
		{
			Name: model, Kind: interpreter.ServiceKindModel, Endpoints: modelEndpoints, Concurrency: 8, Slots: 2, ChecksFencing: true,
			FirstTokenDelay: 20 * time.Millisecond, TokenInterval: 4 * time.Millisecond,
		},
		{Name: orders, Kind: interpreter.ServiceKindPlain, Endpoints: orderEndpoints, Concurrency: 8, FirstTokenDelay: 5 * time.Millisecond},
		{Name: portal, Kind: interpreter.ServiceKindPlain, Endpoints: portalEndpoints, Concurrency: 8, FirstTokenDelay: 5 * time.Millisecond},
	}
}
