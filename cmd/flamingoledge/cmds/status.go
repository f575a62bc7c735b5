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
	"flamingoledge.org/flamingoledge/pkg/provider"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show which instance runs what under which record offset, and who lags",
		Flags: []cli.Flag{
			platformFlag(), timeoutFlag(),
			&cli.BoolFlag{Name: flagJSON, Usage: "print the entries' own statuses as JSON lines"},
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
	http := &fasthttp.Client{}
	var statuses []reporter.Status
	for _, i := range instances {
		if i.Role != provider.RoleEntry {
			continue
		}
		st, err := publisher.FetchStatus(http, i.HTTPAddress)
		if err != nil {
			_, _ = fmt.Fprintf(os.Stderr, "entry %s does not answer: %v\n", i.Name, err)
			continue
		}
		statuses = append(statuses, st)
	}
	if cmd.Bool(flagJSON) {
		return printStatusJSON(statuses)
	}
	return printStatusTable(instances, statuses)
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
	newest := newestThrough(statuses)
	seen := map[string]reporter.SidecarStatus{}
	entries := map[string]reporter.Status{}
	for _, st := range statuses {
		entries[st.Instance] = st
		for _, sc := range st.Sidecars {
			if old, ok := seen[sc.Instance]; !ok || sc.ThroughOffset > old.ThroughOffset {
				seen[sc.Instance] = sc
			}
		}
	}
	for _, i := range instances {
		if st, ok := entries[i.Name]; ok {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t\n", i.Name, i.Role, i.Region, i.State, st.ThroughOffset, newest-st.ThroughOffset, st.InFlight)
			continue
		}
		sc, ok := seen[i.Name]
		if !ok {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t?\t?\t?\tnot attached\n", i.Name, i.Role, i.Region, i.State)
			continue
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", i.Name, i.Role, i.Region, i.State, sc.ThroughOffset, newest-sc.ThroughOffset, sc.Running, versionsText(sc.Versions))
	}
	return t.Flush()
}

func newestThrough(statuses []reporter.Status) (newest uint64) {
	for _, st := range statuses {
		newest = max(newest, st.ThroughOffset)
	}
	return newest
}

const shortDigest = 12

func versionsText(vs []reporter.VersionStatus) string {
	text := ""
	for _, v := range vs {
		state := fmt.Sprintf("%d/%d chunks", v.ChunksHeld, v.ChunksTotal)
		if v.Serving {
			state = "serving"
		}
		text += fmt.Sprintf("%s@%s %s; ", v.Model, v.VersionDigest[:min(shortDigest, len(v.VersionDigest))], state)
	}
	return text
}
