package resolver

import (
	"strings"
)

// Table indexes a configuration. It is immutable. A route lookup takes one map access
// per slash in the path, regardless of the number of routes.
type Table struct {
	cfg             Configuration
	routesByHost    map[string]map[string]*Route
	workspacesByKey map[string]*Workspace
	services        map[string]*Service
}

// New returns a table for a configuration.
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

// Configuration returns the indexed configuration.
func (t *Table) Configuration() *Configuration { return &t.cfg }

// Route returns the route with the longest matching prefix of path, or nil if there is
// none. host may include a port.
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

// Workspace returns the workspace of an API key, or nil if the key is unknown.
func (t *Table) Workspace(key string) *Workspace { return t.workspacesByKey[key] }

// NeedsKey reports whether requests of a route require an API key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.cfg.Workspaces) > 0 && !r.Anonymous }

// Service returns the service with the given name, or nil if it is unknown.
func (t *Table) Service(name string) *Service { return t.services[name] }

// PickService selects one of the route's services according to their weights. random
// should be uniformly distributed.
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
