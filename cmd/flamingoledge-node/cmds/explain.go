package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/internal/forwarder"
	"flamingoledge.org/flamingoledge/internal/gatewayserver"
	"flamingoledge.org/flamingoledge/internal/tracer"
	"flamingoledge.org/flamingoledge/internal/validator"
)

// explainTimeout is how long an entry may take to answer, which it does from memory.
const explainTimeout = 5 * time.Second

// explainDescription describes the command explain.
const explainDescription = `Asks a running entry over its metrics address. The entry sends nothing to endpoints and changes no state.
The request is named by a host and a path, by a service, or by the id of a request in the given log files.
Example: flamingoledge-node explain --address 10.0.0.1:9100 --host api.example --path /chat/ --workspace lab
Example: flamingoledge-node explain --settings entry.jsonc --request 5460bb0955316a12 entry-*.log

Output for an entry that would start a request at i-1, while the zone of i-0 is evacuated:

    entry 127.1.1.1:41895: route keyed, service llm, workspace w, priority 11
    would start now at i-1
    0 waiting, 0 ahead, expected wait 0 ms of at most 484 ms; first output 16 ms after the start
    1.00 of this class admitted; 6 slots free for this entry, 0.0 left to more urgent requests
    endpoint  zone  version  home    load        own  age     pace  cost  excluded
    i-1       z     1        local   0.0 of 8.0  0    397 ms  1.00  0.00  chosen
    i-2       z     1        remote  0.0 of 8.0  0    395 ms  1.00  1.06  -
    i-0       y     1        -       0.0 of 8.0  0    401 ms  1.00  0.00  evacuated`

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "print where an entry would send a request now, and why",
		ArgsUsage:   "[LOG...]",
		Description: explainDescription,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "metrics `ADDRESS` of the entry, host and port"},
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of the entry, for its metrics address"},
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the request"},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the request"},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service, instead of a host and a path"},
			&cli.StringFlag{Name: "workspace", Usage: "`NAME` of the caller's workspace"},
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the model, if the service has several"},
			&cli.IntFlag{Name: "prompt", Usage: "`TOKENS` of the prompt; the service's usual number if 0"},
			&cli.IntFlag{Name: "answer", Usage: "`TOKENS` of the answer; the service's usual number if 0"},
			&cli.StringSliceFlag{Name: "prefix", Usage: "identifier of a `PART` of the prompt that other requests share; may be repeated"},
			&cli.StringSliceFlag{Name: "tried", Usage: "`ENDPOINT` that has run the request; may be repeated"},
			&cli.StringFlag{Name: "request", Usage: "`ID` of a request, for its service, priority and workspace in the given log files"},
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON"},
		},
		Action: explain,
	}
}

// explain prints where an entry would send a request now.
func explain(_ context.Context, c *cli.Command) error {
	address, err := metricsAddress(c)
	if err != nil {
		return err
	}
	q, err := question(c)
	if err != nil {
		return err
	}
	e, err := ask(address, q)
	if err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		enc := json.NewEncoder(c.Root().Writer)
		enc.SetIndent("", "  ")
		return enc.Encode(e)
	}
	return writeExplanation(c.Root().Writer, e)
}

// metricsAddress returns the metrics address of the entry that the flags name.
func metricsAddress(c *cli.Command) (string, error) {
	if address := c.String("address"); address != "" {
		return address, nil
	}
	if c.String("settings") == "" {
		return "", eris.New("the metrics address of an entry, or its settings, are required")
	}
	n, err := configurator.Load(c.String("settings"), configurator.DefaultNode())
	if err != nil {
		return "", err
	}
	if n.MetricsPort == 0 {
		return "", eris.Errorf("%s sets no metrics_port", c.String("settings"))
	}
	return net.JoinHostPort(n.Address, strconv.Itoa(n.MetricsPort)), nil
}

// question returns the question that the flags describe.
func question(c *cli.Command) (forwarder.Question, error) {
	q := forwarder.Question{
		Host: c.String("host"), Path: c.String("path"), Service: c.String("service"), Workspace: c.String("workspace"), RequestID: c.String("request"),
		Model: c.String("model"), PromptTokens: c.Int("prompt"), AnswerTokens: c.Int("answer"), PromptParts: c.StringSlice("prefix"), Tried: c.StringSlice("tried"),
	}
	hasRoute := q.Host != "" || q.Path != "" || q.Service != ""
	switch {
	case q.RequestID == "" && !hasRoute:
		return q, eris.New("a host and a path, a service, or the id of a logged request are required")
	case q.RequestID == "" || hasRoute && c.Args().Len() == 0:
		return q, nil
	}
	logs, closeAll, err := openLogs(c, c.Args().Slice())
	if err != nil {
		return q, err
	}
	defer closeAll()
	return withLoggedRequest(q, logs)
}

// withLoggedRequest adds what logs tell of the question's request.
func withLoggedRequest(q forwarder.Question, logs []io.Reader) (forwarder.Question, error) {
	lines, err := tracer.FindLines(q.RequestID, logs...)
	if err != nil {
		return q, err
	}
	isRouted := q.Host != "" || q.Path != "" || q.Service != ""
	for _, l := range lines {
		for _, f := range l.Fields {
			switch {
			case f.Name == "service" && !isRouted:
				q.Service = f.Value
			case f.Name == "workspace" && q.Workspace == "":
				q.Workspace = f.Value
			case f.Name == "priority" && !isRouted:
				if p, perr := strconv.Atoi(f.Value); perr == nil {
					q.Priority = &p
				}
			}
		}
	}
	if !isRouted && q.Service == "" {
		return q, eris.Errorf("no log line with the service of request %s found", q.RequestID)
	}
	return q, nil
}

// ask asks an entry.
func ask(address string, q forwarder.Question) (e forwarder.Explanation, err error) {
	body, err := json.Marshal(q)
	if err != nil {
		return e, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + gatewayserver.PathExplain)
	req.SetBody(body)
	client := fasthttp.Client{Dial: validator.Dialer(explainTimeout)}
	if err = client.DoTimeout(req, resp, explainTimeout); err != nil {
		return e, eris.Wrapf(err, "the entry can't be reached at %s", address)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		err = json.Unmarshal(resp.Body(), &e)
		return e, eris.Wrapf(err, "read the answer of %s", address)
	case fasthttp.StatusNotFound:
		return e, eris.Errorf("%s is not the metrics address of an entry that explains", address)
	default:
		var p gatewayserver.ExplainProblem
		if json.Unmarshal(resp.Body(), &p) != nil || p.Error == "" {
			return e, eris.Errorf("%s answered with status %d", address, resp.StatusCode())
		}
		return e, eris.New(p.Error)
	}
}

// writeExplanation writes an explanation as text with a table of the endpoints.
func writeExplanation(w io.Writer, e forwarder.Explanation) error {
	workspace := ""
	if e.Workspace != "" {
		workspace = ", workspace " + e.Workspace
	}
	lines := []string{
		fmt.Sprintf("entry %s: route %s, service %s%s, priority %d", e.Entry, e.Route, e.Service, workspace, e.Priority),
		choice(e),
		fmt.Sprintf("%d waiting, %d ahead, expected wait %.0f ms of at most %.0f ms; first output %.0f ms after the start", e.Waiting, e.Ahead, e.ExpectedWaitMillis, e.StartWithinMillis, e.FirstOutputMillis),
		fmt.Sprintf("%.2f of this class admitted; %.0f slots free for this entry, %.1f left to more urgent requests", e.Share, e.FreeSlots, e.ReservedSlots),
	}
	if _, err := fmt.Fprintln(w, strings.Join(lines, "\n")); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "endpoint\tzone\tversion\thome\tload\town\tage\tpace\tcost\texcluded")
	for _, c := range e.Candidates {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%.1f of %.1f\t%d\t%s\t%.2f\t%.2f\t%s\n",
			c.Endpoint, orDash(c.Zone), c.Version, orDash(c.Home), c.Load, c.Capacity, c.Own, age(c), c.Pace, c.Cost, exclusion(c))
	}
	return t.Flush()
}

// choice describes the outcome.
func choice(e forwarder.Explanation) string {
	switch e.Outcome {
	case "started":
		return "would start now at " + e.Endpoint
	case "queued":
		return "would wait: " + e.Reason
	default:
		return fmt.Sprintf("would be refused (%s): %s", e.Outcome, e.Reason)
	}
}

// age returns the age of an endpoint's report.
func age(c forwarder.ExplainedEndpoint) string {
	if c.ReportAgeMillis < 0 {
		return "none"
	}
	return fmt.Sprintf("%.0f ms", c.ReportAgeMillis)
}

// exclusion returns why an endpoint is excluded.
func exclusion(c forwarder.ExplainedEndpoint) string {
	switch {
	case c.Chosen && c.Excluded == "":
		return "chosen"
	case c.Chosen:
		return "chosen, although " + c.Excluded
	case c.ForMillis > 0:
		return fmt.Sprintf("%s, %.0f ms", c.Excluded, c.ForMillis)
	default:
		return orDash(c.Excluded)
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
