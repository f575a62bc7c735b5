package resolver

import (
	"strings"
)

// Table answers lookups in one configuration. It is immutable; a lookup costs one
// map access for each slash of the path, whatever the number of routes.
type Table struct {
	cfg             Configuration
	routesByHost    map[string]map[string]*Route
	workspacesByKey map[string]*Workspace
	services        map[string]*Service
}

// New returns the table of a configuration.
func New(cfg Configuration) *Table {
	t := &Table{
		cfg:             cfg,
		routesByHost:    map[string]map[string]*Route{},
		workspacesByKey: map[string]*Workspace{},
		services:        make(map[string]*Service, len(cfg.Services)),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		if t.routesByHost[host] == nil {
			t.routesByHost[host] = map[string]*Route{}
		}
		t.routesByHost[host][r.PathPrefix] = r
	}
	for i := range cfg.Workspaces {
		for _, k := range cfg.Workspaces[i].Keys {
			t.workspacesByKey[k] = &cfg.Workspaces[i]
		}
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	return t
}

// Configuration returns what the table was made from.
func (t *Table) Configuration() *Configuration { return &t.cfg }

// Route returns the route with the longest prefix of path, nil if there is none.
// host may carry a port.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	routes := t.routesByHost[strings.ToLower(host)]
	if routes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := routes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that holds a key, nil if none does.
func (t *Table) Workspace(key string) *Workspace { return t.workspacesByKey[key] }

// NeedsKey tells whether requests of a route need a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.cfg.Workspaces) > 0 && !r.Anonymous }

// Service returns a service, nil if it is not known.
func (t *Table) Service(name string) *Service { return t.services[name] }

// PickService chooses one of a route's services by their weights. random is a random
// number for this choice.
func (r *Route) PickService(random uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	offset := int(random % uint64(total))
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Service
		}
		offset -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
