package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/platformclient"
	"flamingoledge.org/flamingoledge/internal/publisher"
	"flamingoledge.org/flamingoledge/internal/reporter"
	"flamingoledge.org/flamingoledge/internal/validator"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the instances with their record offsets, lag and model versions",
		Flags: []cli.Flag{
			platformFlag(), timeoutFlag(),
			&cli.BoolFlag{Name: flagJSON, Usage: "print the status of each entry as a JSON line"},
		},
		Action: showStatus,
	}
}

func showStatus(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	client := platformclient.New(platformclient.Config{Address: cmd.String(flagPlatform)})
	instances, err := client.Instances(ctx)
	if err != nil {
		return err
	}
	http := &fasthttp.Client{Dial: validator.Dialer(cmd.Duration(flagTimeout))}
	var statuses []reporter.Status
	for _, i := range instances {
		if i.Role != provider.RoleEntry {
			continue
		}
		st, err := publisher.FetchStatus(http, i.HTTPAddress)
		if err != nil {
			_, _ = fmt.Fprintf(os.Stderr, "entry %s does not respond: %v\n", i.Name, err)
			continue
		}
		statuses = append(statuses, st)
	}
	if cmd.Bool(flagJSON) {
		return printStatusJSON(statuses)
	}
	if err = printStatusTable(instances, statuses); err != nil {
		return err
	}
	return printEvacuations(ctx, os.Stdout, client, evacuations(instances, statuses))
}

func printStatusJSON(statuses []reporter.Status) error {
	out := json.NewEncoder(os.Stdout)
	for _, st := range statuses {
		if err := out.Encode(st); err != nil {
			return err
		}
	}
	return nil
}

func printStatusTable(instances []provider.Instance, statuses []reporter.Status) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "INSTANCE\tROLE\tREGION\tLIST\tTHROUGH\tLAG\tIN PROGRESS\tVERSIONS")
	newest := newestThroughOffset(statuses)
	sidecars := map[string]reporter.SidecarStatus{}
	entries := map[string]reporter.Status{}
	for _, st := range statuses {
		entries[st.Instance] = st
		for _, sc := range st.Sidecars {
			if old, ok := sidecars[sc.Instance]; !ok || sc.ThroughOffset > old.ThroughOffset {
				sidecars[sc.Instance] = sc
			}
		}
	}
	for _, i := range instances {
		if st, ok := entries[i.Name]; ok {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t\n", i.Name, i.Role, i.Region, i.State, st.ThroughOffset, newest-st.ThroughOffset, st.InFlight)
			continue
		}
		sc, ok := sidecars[i.Name]
		if !ok {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t?\t?\t?\tnot attached\n", i.Name, i.Role, i.Region, i.State)
			continue
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", i.Name, i.Role, i.Region, i.State, sc.ThroughOffset, newest-sc.ThroughOffset, sc.Running, versionsText(sc.Versions))
	}
	return t.Flush()
}

// newestThroughOffset returns the highest offset up to which an entry has processed the
// configuration log. The lag of an instance is its distance to this offset.
func newestThroughOffset(statuses []reporter.Status) (newest uint64) {
	for _, st := range statuses {
		newest = max(newest, st.ThroughOffset)
	}
	return newest
}

// shortDigestChars is the number of characters of a digest that are printed.
const shortDigestChars = 12

func versionsText(vs []reporter.VersionStatus) string {
	text := ""
	for _, v := range vs {
		state := fmt.Sprintf("%d/%d chunks", v.ChunksHeld, v.ChunksTotal)
		if v.Serving {
			state = "serving"
		}
		text += fmt.Sprintf("%s@%s %s; ", v.Model, v.VersionDigest[:min(shortDigestChars, len(v.VersionDigest))], state)
	}
	return text
}
