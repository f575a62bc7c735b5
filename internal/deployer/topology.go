// Package deployer starts real entries and sidecars with embedded stand-ins in
// one process, on loopback addresses and with rate-limited links. The demo, the
// experiments and the tests run on it.
package deployer

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/interpreter"
)

// Service is a service with its endpoints.
type Service struct {
	Name      string
	Kind      interpreter.ServiceKind
	Endpoints int
	// Concurrency is how many requests an endpoint runs at a time.
	Concurrency int
	// Slots is how many versions fit in an endpoint's memory.
	Slots         int
	ChecksFencing bool
	FirstToken    time.Duration
	TokenInterval time.Duration
	// ColdPrefix and CachedPrefixes are the engine's prefix cache.
	ColdPrefix     time.Duration
	CachedPrefixes int
}

// Links are the rates of links in bytes per second; 0 is unlimited.
type Links struct {
	// Instance is the rate of an instance's link in each direction.
	Instance float64
	// InstanceShared makes both directions share the instance's rate.
	InstanceShared bool
	// Region is the rate between two regions in each direction.
	Region float64
	// Origin is the rate of the origin's link.
	Origin float64
}

// Topology describes a deployment.
type Topology struct {
	Name string
	// Regions are the regions, one availability zone each; the first one holds
	// the platform's store and the origin.
	Regions          []string
	EntriesPerRegion int
	Services         []Service
	Links            Links
	Prefer           interpreter.Preference
	// ListLag is how far the platform's list of instances lags.
	ListLag time.Duration
	Seed    uint64
}

// regionLinkRate is about twenty megabits per second.
const regionLinkRate = 20e6 / 8

// Sizes that the users gave for their deployments.
const (
	modelRunners    = 16
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
		Services:         services("language-model", "orders", "member-records"),
		Links:            Links{Region: regionLinkRate},
	}
}

// Vloerwerk is the deployment of Vloerwerk Van der Heijden B.V.
func Vloerwerk() Topology {
	return Topology{
		Name:             "vloerwerk",
		Regions:          []string{"nl-west", "nl-east", "be-north"},
		EntriesPerRegion: 1,
		Prefer:           interpreter.PreferOriginBytes,
		Services:         services("drafting", "booking", "customer-portal"),
		Links:            Links{Region: regionLinkRate},
	}
}

func services(model, orders, portal string) []Service {
	return []Service{
		{
			Name: model, Kind: interpreter.ServiceKindModel, Endpoints: modelRunners, Concurrency: 8, Slots: 2, ChecksFencing: true,
			FirstToken: 20 * time.Millisecond, TokenInterval: 4 * time.Millisecond,
		},
		{Name: orders, Kind: interpreter.ServiceKindPlain, Endpoints: orderEndpoints, Concurrency: 8, FirstToken: 5 * time.Millisecond},
		{Name: portal, Kind: interpreter.ServiceKindPlain, Endpoints: portalEndpoints, Concurrency: 8, FirstToken: 5 * time.Millisecond},
	}
}
