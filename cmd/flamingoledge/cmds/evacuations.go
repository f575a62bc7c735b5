package cmds

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"flamingoledge.org/flamingoledge/internal/publisher"
	"flamingoledge.org/flamingoledge/internal/reporter"
	"flamingoledge.org/flamingoledge/pkg/acceptor"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// unknownZoneError reports that a record evacuates an availability zone without instances.
type unknownZoneError struct {
	zone  string
	known []string
}

// Error implements error.
func (e *unknownZoneError) Error() string {
	return fmt.Sprintf("no instance is in availability zone %q; known zones: %s", e.zone, strings.Join(e.known, ", "))
}

// checkZone checks that a record that evacuates a zone names one that has instances. An
// evacuation of any zone can be withdrawn.
func checkZone(e acceptor.Envelope, instances []provider.Instance) error {
	zone, ok := interpreter.EvacuatedZone(e.Subject)
	if !ok || e.Deleted {
		return nil
	}
	var known []string
	for _, i := range instances {
		known = append(known, i.AvailabilityZone)
	}
	slices.Sort(known)
	if known = slices.Compact(known); slices.Contains(known, zone) {
		return nil
	}
	return &unknownZoneError{zone: zone, known: known}
}

// checkZoneOfPlatform checks the zone of a record by the platform's list of instances.
func checkZoneOfPlatform(ctx context.Context, directory provider.Directory, e acceptor.Envelope) error {
	if _, ok := interpreter.EvacuatedZone(e.Subject); !ok {
		return nil
	}
	instances, err := directory.Instances(ctx)
	if err != nil {
		return err
	}
	return checkZone(e, instances)
}

// evacuation is an evacuated zone as the entries report it.
type evacuation struct {
	reporter.EvacuationStatus
	// running is the number of requests that run in the zone.
	running int
	// unconfirmed are the entries that have not processed the record.
	unconfirmed []string
}

// evacuations returns the evacuated zones. instances are all instances; entries without a
// status have not confirmed.
func evacuations(instances []provider.Instance, statuses []reporter.Status) (out []evacuation) {
	newest := reporter.Status{}
	through, running := map[string]uint64{}, map[string]map[string]int{}
	for _, st := range statuses {
		through[st.Instance] = st.ThroughOffset
		if st.ThroughOffset >= newest.ThroughOffset {
			newest = st
		}
		for _, sc := range st.Sidecars {
			if running[sc.AvailabilityZone] == nil {
				running[sc.AvailabilityZone] = map[string]int{}
			}
			// Each entry reports the same sidecars, with what runs there from all of them.
			running[sc.AvailabilityZone][sc.Instance] = max(running[sc.AvailabilityZone][sc.Instance], sc.Running)
		}
	}
	for _, status := range newest.Evacuations {
		e := evacuation{EvacuationStatus: status}
		for _, n := range running[e.AvailabilityZone] {
			e.running += n
		}
		for _, i := range instances {
			if i.Role == provider.RoleEntry && through[i.Name] < e.RecordOffset {
				e.unconfirmed = append(e.unconfirmed, i.Name)
			}
		}
		out = append(out, e)
	}
	return out
}

// printEvacuations prints the evacuated zones, since when they are, what runs there and which
// entries have not confirmed.
func printEvacuations(ctx context.Context, w io.Writer, log provider.Log, es []evacuation) error {
	if len(es) == 0 {
		return nil
	}
	since := map[uint64]time.Time{}
	err := publisher.WalkHistory(ctx, log, func(o acceptor.Outcome, at time.Time, _ string) { since[o.Offset] = at })
	if err != nil {
		return err
	}
	for _, e := range es {
		when := "an unknown time"
		if at := since[e.RecordOffset]; !at.IsZero() {
			when = at.UTC().Format(time.RFC3339)
		}
		confirmed := "confirmed by all entries"
		if len(e.unconfirmed) > 0 {
			confirmed = "not confirmed by " + strings.Join(e.unconfirmed, ", ")
		}
		_, _ = fmt.Fprintf(w, "zone %s is evacuated since %s (offset %d), %d requests run there, %s\n", e.AvailabilityZone, when, e.RecordOffset, e.running, confirmed)
	}
	return nil
}
