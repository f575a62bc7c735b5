package resolver_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/resolver"
)

func table(routes ...resolver.Route) *resolver.Table {
	return resolver.New(resolver.Configuration{
		Version: 1, Routes: routes,
		Workspaces: []resolver.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}, {Name: "v", Keys: []string{"k3"}}},
		Services:   []resolver.Service{{Name: "s"}},
	})
}

func TestRoute(t *testing.T) {
	routes := []resolver.Route{
		{Name: "root", Host: "a.example", PathPrefix: "/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "other", Host: "B.example", PathPrefix: "/x/"},
	}
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":                 {host: "a.example", path: "/x/y/z", want: "long"},
		"shorter prefix":                 {host: "a.example", path: "/x/z", want: "short"},
		"prefix without its final slash": {host: "a.example", path: "/x", want: "root"},
		"the prefix itself":              {host: "a.example", path: "/x/y/", want: "long"},
		"port and case of the host":      {host: "A.EXAMPLE:8005", path: "/q", want: "root"},
		"case of the configured host":    {host: "b.example", path: "/x/1", want: "other"},
		"no matching prefix":             {host: "b.example", path: "/y/1"},
		"unknown host":                   {host: "c.example", path: "/x/1"},
		"empty path":                     {host: "a.example", path: ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := table(routes...).Route(tc.host, tc.path)
			if tc.want == "" {
				is.True(r == nil)
				return
			}
			is.Equal(r.Name, tc.want)
		})
	}
}

func TestWorkspaceByKey(t *testing.T) {
	is := is.New(t)
	tb := table(resolver.Route{Name: "r", Host: "h", PathPrefix: "/"}, resolver.Route{Name: "o", Host: "o", PathPrefix: "/", Anonymous: true})
	is.Equal(tb.Workspace("k2").Name, "w")
	is.True(tb.Workspace("") == nil)
	is.True(tb.Workspace("k4") == nil)
	is.True(tb.NeedsKey(tb.Route("h", "/")))
	is.True(!tb.NeedsKey(tb.Route("o", "/")))
}

func TestPickServiceFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := resolver.Route{Targets: []resolver.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[string]int{}
	for i := range uint64(1000) {
		count[r.PickService(i)]++
	}
	is.Equal(count["a"], 900)
	is.Equal(count["b"], 100)
	is.Equal((&resolver.Route{}).PickService(1), "")
}

// BenchmarkRoute measures lookups with different numbers of routes; the time should
// not grow with the number.
func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{10, 1000, 100000} {
		routes := make([]resolver.Route, n)
		for i := range routes {
			routes[i] = resolver.Route{Name: fmt.Sprint(i), Host: fmt.Sprintf("h%d.example", i%50), PathPrefix: fmt.Sprintf("/a%d/b/", i)}
		}
		tb := table(routes...)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				tb.Route("h7.example", "/a7/b/c/d")
			}
		})
	}
}
