package configurator_test

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/configurator"
)

// renderTemplate renders the deployment's settings template with the values of one
// instance.
func renderTemplate(t *testing.T, sidecar bool) string {
	t.Helper()
	b, err := os.ReadFile("../../deploy/settings.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	text := string(b)
	sections := map[string]bool{"listen.frontend": !sidecar, "listen.ready": !sidecar, "app": sidecar, "service": sidecar}
	// Not every deployment has these bounds. Here, those with a sidecar have none.
	// The same goes for the limits of the store.
	for _, bound := range []string{"bounds.evacuate_ms", "bounds.cold_excess", "bounds.cold_margin", "platform.parts", "platform.record_bytes", "platform.call_bytes"} {
		sections[bound] = !sidecar
	}
	values := map[string]string{
		"listen.frontend": `"10.1.0.40:8005"`, "listen.ready": `"10.1.0.40:8002"`, "app": `"10.1.0.42:8001"`, "service": `"huvo11a"`,
		"bounds.evacuate_ms": "5000", "bounds.cold_excess": "1.5", "bounds.cold_margin": "5",
		"platform.parts": "12", "platform.record_bytes": "131072", "platform.call_bytes": "1048576",
		"node_name|json": `"edge-stred-a-1"`, "zone|json": `"stred-a"`, "region|json": `"stred"`, "zones|json": `{"stred-a":"stred"}`,
		"ip|json": `"10.1.0.40"`, "port_range.0": "7700", "port_range.1": "7715", "seed_nodes|json": `["10.1.0.40:8000"]`,
		"platform.address|json": `"10.200.1.7:8007"`, "limits.link_mbps|json": "7.3", "limits.memory_mb|json": "284", "limits.max_fds|json": "4200",
		"bounds.drain_ms|json": "2000", "bounds.grace_s|json": "8", "bounds.config_ms|json": "2000", "bounds.revoke_ms|json": "5000",
		"bounds.revoke_strict|json": "true", "bounds.version_ms|json": "8000", "bounds.retry_ratio|json": "0.2",
		"bounds.retry_window_s|json": "10", "bounds.retry_extra|json": "104",
	}
	for name, enabled := range sections {
		section := regexp.MustCompile(`(?s)\{\{#` + regexp.QuoteMeta(name) + `\}\}(.*?)\{\{/` + regexp.QuoteMeta(name) + `\}\}`)
		text = section.ReplaceAllStringFunc(text, func(s string) string {
			if !enabled {
				return ""
			}
			return strings.ReplaceAll(section.FindStringSubmatch(s)[1], "{{.|json}}", values[name])
		})
	}
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	return text
}

func TestDeploymentTemplate(t *testing.T) {
	is := is.New(t)
	for _, sidecar := range []bool{false, true} {
		text := renderTemplate(t, sidecar)
		is.True(!strings.Contains(text, "{{")) // every placeholder is known here
		n, err := configurator.Parse("settings.jsonc", []byte(text), configurator.DefaultNode())
		is.NoErr(err)
		is.Equal(n.NodePort, 7700)
		is.Equal(n.Bounds.RetryExtra, 104.0)
		is.Equal(n.Bounds.EvacuateMillis == 5000, !sidecar)
		is.Equal(n.Bounds.ColdExcess == 1.5 && n.Bounds.ColdMargin == 5, !sidecar)
		limits := configurator.Weights{MaxKeptMB: 64, Partitions: 24, RecordBytes: 262144, CallBytes: 2097152}
		if !sidecar {
			limits = configurator.Weights{MaxKeptMB: 64, Partitions: 12, RecordBytes: 131072, CallBytes: 1048576}
		}
		is.Equal(n.Weights, limits)
		is.Equal(n.CheckEntry() == nil, !sidecar)
		is.Equal(n.CheckSidecar() == nil, sidecar)
	}
}

func TestInvalidNodeSettings(t *testing.T) {
	valid := renderTemplate(t, false)
	tests := map[string]struct{ from, to, field string }{
		"unknown field":               {from: `"log_level"`, to: `"log_levels"`, field: "log_levels"},
		"wrong type":                  {from: `"node_port": 7700`, to: `"node_port": "7700"`, field: "node_port"},
		"port too large":              {from: `"node_port": 7700`, to: `"node_port": 77000`, field: "node_port"},
		"address":                     {from: `"address": "10.1.0.40"`, to: `"address": "host"`, field: "address"},
		"store":                       {from: `"10.200.1.7:8007"`, to: `"10.200.1.7"`, field: "store"},
		"seed":                        {from: `["10.1.0.40:8000"]`, to: `["10.1.0.40"]`, field: "seeds"},
		"no name":                     {from: `"edge-stred-a-1"`, to: `""`, field: "instance.name"},
		"negative ratio":              {from: `"retry_ratio": 0.2`, to: `"retry_ratio": -1`, field: "bounds.retry_ratio"},
		"zero grace":                  {from: `"grace_s": 8`, to: `"grace_s": 0`, field: "bounds.grace_s"},
		"zero revocation":             {from: `"revocation_ms": 5000`, to: `"revocation_ms": 0`, field: "bounds.revocation_ms"},
		"weight of zero":              {from: `"log_level": "info"`, to: `"admission": {"workspace_weights": {"market": 0}}`, field: "admission.workspace_weights"},
		"weight too large":            {from: `"log_level": "info"`, to: `"admission": {"workspace_weights": {"market": 101}}`, field: "admission.workspace_weights"},
		"weight without a name":       {from: `"log_level": "info"`, to: `"admission": {"workspace_weights": {"": 1}}`, field: "admission.workspace_weights"},
		"reserved for no priority":    {from: `"log_level": "info"`, to: `"admission": {"reserved_shares": {"100": 0.1}}`, field: "admission.reserved_shares"},
		"reserved share below zero":   {from: `"log_level": "info"`, to: `"admission": {"reserved_shares": {"1": -0.1}}`, field: "admission.reserved_shares"},
		"reserved for a name":         {from: `"log_level": "info"`, to: `"admission": {"reserved_shares": {"high": 0.1}}`, field: "admission.reserved_shares"},
		"more reserved than there is": {from: `"log_level": "info"`, to: `"admission": {"reserved_shares": {"1": 0.5, "2": 0.4}}`, field: "admission.reserved_shares"},
		"low excess":                  {from: `"cold_excess": 1.5`, to: `"cold_excess": 0.5`, field: "bounds.cold_excess"},
		"negative margin":             {from: `"cold_margin": 5`, to: `"cold_margin": -5`, field: "bounds.cold_margin"},
		"evacuation":                  {from: `"evacuate_ms": 5000`, to: `"evacuate_ms": -1`, field: "bounds.evacuate_ms"},
		"no partitions":               {from: `"partitions": 12`, to: `"partitions": 0`, field: "weights.partitions"},
		"no record":                   {from: `"record_bytes": 131072`, to: `"record_bytes": -1`, field: "weights.record_bytes"},
		"call too large":              {from: `"call_bytes": 1048576`, to: `"call_bytes": 2000000000`, field: "weights.call_bytes"},
		"too much kept":               {from: `"max_kept_mb": 64`, to: `"max_kept_mb": 161`, field: "weights.max_kept_mb"},
		"less than nothing kept":      {from: `"max_kept_mb": 64`, to: `"max_kept_mb": -1`, field: "weights.max_kept_mb"},
		"negative memory":             {from: `"memory_mb": 284`, to: `"memory_mb": -1`, field: "memory_mb"},
		"negative descriptors":        {from: `"max_descriptors": 4200`, to: `"max_descriptors": -1`, field: "max_descriptors"},
		"too little for callers":      {from: `"log_level": "info"`, to: `"callers": {"memory_mb": 31}`, field: "callers.memory_mb"},
		"negative connections":        {from: `"log_level": "info"`, to: `"callers": {"max_connections": -1}`, field: "callers.max_connections"},
		"negative stall time":         {from: `"log_level": "info"`, to: `"callers": {"stall_ms": -1}`, field: "callers.stall_ms"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(valid, tc.from, tc.to, 1)
			is.True(text != valid)
			_, err := configurator.Parse("settings.jsonc", []byte(text), configurator.DefaultNode())
			var file *configurator.FileError
			var field *configurator.FieldError
			is.True(errors.As(err, &file))
			is.True(errors.As(err, &field))
			is.Equal(field.Field, tc.field)
			is.True(file.Line > 1)
		})
	}
}

// TestAdmissionSettings guards against valid settings of the admission that are refused.
func TestAdmissionSettings(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(renderTemplate(t, false), `"log_level": "info"`,
		`"admission": {"workspace_weights": {"market": 2.5, "lab": 0.01}, "reserved_shares": {"0": 0.3, "99": 0.5}}`, 1)
	n, err := configurator.Parse("settings.jsonc", []byte(text), configurator.DefaultNode())
	is.NoErr(err)
	is.Equal(n.Admission.WorkspaceWeights["market"], 2.5)
	is.Equal(n.Admission.ReservedShares[99], 0.5)
}
