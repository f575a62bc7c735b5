package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/reporter"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/internal/validator"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	propagationPollInterval = 20 * time.Millisecond
	statusTimeout           = time.Second
)

// Propagation lists the live instances on which a record is in force and the others.
type Propagation struct {
	Offset  uint64   `json:"offset"`
	InForce []string `json:"in_force"`
	// Lagging contains the live instances on which the record is not known to be in
	// force.
	Lagging []string `json:"lagging"`
}

// LagError reports that a record was not in force on all live instances in time.
type LagError struct {
	Propagation Propagation
}

// Error implements error.
func (e *LagError) Error() string {
	return fmt.Sprintf("record %d is accepted, but not yet in force on %v", e.Propagation.Offset, e.Propagation.Lagging)
}

// AwaitPropagation waits until the record at offset is in force on every live instance.
// It calls progress, if not nil, when the number of instances changes. If ctx ends
// first, the error is a *LagError.
func AwaitPropagation(ctx context.Context, directory provider.Directory, offset uint64, progress func(Propagation)) (p Propagation, err error) {
	client := &fasthttp.Client{Dial: validator.Dialer(statusTimeout), ReadTimeout: statusTimeout, WriteTimeout: statusTimeout}
	lastInForceCount := -1
	for {
		current := measurePropagation(ctx, directory, client, offset)
		if ctx.Err() != nil && lastInForceCount >= 0 {
			// The timeout may have interrupted this measurement, so the previous one
			// is returned.
			return p, &LagError{Propagation: p}
		}
		p = current
		if len(p.InForce) != lastInForceCount && progress != nil {
			progress(p)
		}
		lastInForceCount = len(p.InForce)
		if len(p.Lagging) == 0 && len(p.InForce) > 0 {
			return p, nil
		}
		if ctx.Err() != nil {
			return p, &LagError{Propagation: p}
		}
		sleeper.Sleep(ctx, propagationPollInterval)
	}
}

// measurePropagation reads the instance list and the status of each live entry, which
// includes the through-offsets of its sidecars.
func measurePropagation(ctx context.Context, directory provider.Directory, client *fasthttp.Client, offset uint64) Propagation {
	instances, err := directory.Instances(ctx)
	if err != nil {
		return Propagation{Offset: offset, Lagging: []string{"the list of instances"}}
	}
	throughOffsets := map[string]uint64{}
	for _, i := range instances {
		if i.State != provider.InstanceLive {
			continue
		}
		throughOffsets[i.Name] = max(throughOffsets[i.Name], 0)
		if i.Role != provider.RoleEntry {
			continue
		}
		if st, err := FetchStatus(client, i.HTTPAddress); err == nil {
			addThroughOffsets(throughOffsets, st)
		}
	}
	p := Propagation{Offset: offset}
	for _, name := range slices.Sorted(maps.Keys(throughOffsets)) {
		if throughOffsets[name] >= offset {
			p.InForce = append(p.InForce, name)
		} else {
			p.Lagging = append(p.Lagging, name)
		}
	}
	return p
}

// addThroughOffsets merges the through-offsets of an entry and its sidecars.
func addThroughOffsets(throughOffsets map[string]uint64, st reporter.Status) {
	if st.Ready {
		throughOffsets[st.Instance] = max(throughOffsets[st.Instance], st.ThroughOffset)
	}
	for _, sc := range st.Sidecars {
		if !sc.Leaving {
			throughOffsets[sc.Instance] = max(throughOffsets[sc.Instance], sc.ThroughOffset)
		}
	}
}

// FetchStatus fetches the status of an entry over HTTP.
func FetchStatus(client *fasthttp.Client, address string) (st reporter.Status, err error) {
	status, body, err := client.GetTimeout(nil, "http://"+address+"/v1/status", statusTimeout)
	if err != nil {
		return st, err
	}
	if status != fasthttp.StatusOK {
		return st, &provider.UnavailableError{Operation: "fetch status", Status: status}
	}
	return st, json.Unmarshal(body, &st)
}
