package tracer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"flamingoledge.org/flamingoledge/internal/logger"
)

// Loss is a cause for which requests were refused or late.
type Loss struct {
	Cause    LossCause `json:"cause"`
	Requests int       `json:"requests"`
	// Priorities and Workspaces hold the requests by priority and by workspace.
	Priorities map[int]int    `json:"priorities"`
	Workspaces map[string]int `json:"workspaces"`
}

// LossCause is why a request was refused or late.
type LossCause string

// Causes of losses. Each lost request has one of the first four, and may have the others too.
const (
	// LossFreeElsewhere means that a request was refused while endpoints had free slots.
	LossFreeElsewhere LossCause = "refused_free_elsewhere"
	LossFull          LossCause = "refused_full"
	LossLateWaiting   LossCause = "late_waiting"
	LossLateEndpoint  LossCause = "late_endpoint"
	// LossAgain means that the caller had been refused before.
	LossAgain LossCause = "refused_again"
	// LossBehind means that in the same second a smaller share of the request's priority was
	// started than of a less urgent one of the service.
	LossBehind LossCause = "behind_less_urgent"
)

// lossTexts holds the causes in the order of the table.
var lossTexts = []struct {
	cause LossCause
	text  string
}{
	{LossFreeElsewhere, "refused, free slots elsewhere"},
	{LossFull, "refused, no free slots"},
	{LossLateWaiting, "late because of waiting"},
	{LossLateEndpoint, "late in the endpoint"},
	{LossAgain, "of these: refused again"},
	{LossBehind, "of these: behind a less urgent kind"},
}

// Losses sums up the decisions in the logs of a run.
type Losses struct {
	Started int `json:"started"`
	Refused int `json:"refused"`
	Late    int `json:"late"`
	// DroppedLines is the number of lines about requests that exceeded the log's limits.
	DroppedLines int    `json:"dropped_lines"`
	Losses       []Loss `json:"losses"`
}

// lossLine holds the fields of a log line that losses are counted by.
type lossLine struct {
	Time      time.Time `json:"time"`
	Name      string    `json:"name"`
	Service   string    `json:"service"`
	Workspace string    `json:"workspace"`
	Priority  int       `json:"priority"`
	Cause     string    `json:"cause"`
	Admitted  bool      `json:"admitted"`
	Repeat    bool      `json:"repeat"`
	FreeSlots int       `json:"free_slots"`
	Sends     int       `json:"sends"`
	// Chosen, Decided and Late are the lines dropped of each event, in lines_dropped.
	Chosen  int `json:"route_chosen"`
	Decided int `json:"admission_decided"`
	Late    int `json:"answer_late"`
}

// period is one second of one service.
type period struct {
	service string
	second  int64
}

// served counts the requests of a priority that were started or refused.
type served struct{ started, offered int }

func (s served) share() float64 { return float64(s.started) / float64(max(s.offered, 1)) }

// lossCounter sums up log lines.
type lossCounter struct {
	losses  Losses
	periods map[period]map[int]served
	// lost holds the lines of refused requests and of those that were late because of waiting.
	lost    []lossLine
	byCause map[LossCause]*Loss
}

// SumLosses sums up the refused and late requests in logs by cause. It ignores text before a
// line's JSON object, and other lines.
func SumLosses(logs ...io.Reader) (Losses, error) {
	c := lossCounter{periods: map[period]map[int]served{}, byCause: map[LossCause]*Loss{}}
	for _, log := range logs {
		s := bufio.NewScanner(log)
		s.Buffer(make([]byte, bufio.MaxScanTokenSize), maxLineBytes)
		for s.Scan() {
			var l lossLine
			if start := bytes.IndexByte(s.Bytes(), '{'); start >= 0 && json.Unmarshal(s.Bytes()[start:], &l) == nil {
				c.add(l)
			}
		}
		if err := s.Err(); err != nil {
			return Losses{}, fmt.Errorf("read log: %w", err)
		}
	}
	return c.result(), nil
}

func (c *lossCounter) add(l lossLine) {
	switch l.Name {
	case logger.RouteChosen.Name:
		if l.Sends == 0 {
			c.losses.Started++
			c.countServed(l, true)
		}
	case logger.AdmissionDecided.Name:
		if l.Admitted {
			return
		}
		c.losses.Refused++
		c.countServed(l, false)
		c.lost = append(c.lost, l)
		if l.FreeSlots > 0 {
			c.count(LossFreeElsewhere, l)
		} else {
			c.count(LossFull, l)
		}
		if l.Repeat {
			c.count(LossAgain, l)
		}
	case logger.AnswerLate.Name:
		c.losses.Late++
		if l.Cause == "endpoint" {
			c.count(LossLateEndpoint, l)
			return
		}
		c.count(LossLateWaiting, l)
		c.lost = append(c.lost, l)
	case logger.LinesDropped.Name:
		c.losses.DroppedLines += l.Chosen + l.Decided + l.Late
	}
}

func (l lossLine) period() period { return period{service: l.Service, second: l.Time.Unix()} }

func (c *lossCounter) countServed(l lossLine, started bool) {
	byPriority := c.periods[l.period()]
	if byPriority == nil {
		byPriority = map[int]served{}
		c.periods[l.period()] = byPriority
	}
	s := byPriority[l.Priority]
	s.offered++
	if started {
		s.started++
	}
	byPriority[l.Priority] = s
}

func (c *lossCounter) count(cause LossCause, l lossLine) {
	loss := c.byCause[cause]
	if loss == nil {
		loss = &Loss{Cause: cause, Priorities: map[int]int{}, Workspaces: map[string]int{}}
		c.byCause[cause] = loss
	}
	loss.Requests++
	loss.Priorities[l.Priority]++
	if l.Workspace != "" {
		loss.Workspaces[l.Workspace]++
	}
}

// isBehind reports whether a less urgent priority was served more often.
func (c *lossCounter) isBehind(l lossLine) bool {
	own := c.periods[l.period()][l.Priority].share()
	for priority, s := range c.periods[l.period()] {
		if priority > l.Priority && s.share() > own {
			return true
		}
	}
	return false
}

func (c *lossCounter) result() Losses {
	for _, l := range c.lost {
		if c.isBehind(l) {
			c.count(LossBehind, l)
		}
	}
	for _, t := range lossTexts {
		if loss := c.byCause[t.cause]; loss != nil {
			c.losses.Losses = append(c.losses.Losses, *loss)
		}
	}
	return c.losses
}

// maxListedWorkspaces is the number of workspaces in a row of the table.
const maxListedWorkspaces = 3

// WriteLosses writes losses as a table.
func WriteLosses(w io.Writer, losses Losses) error {
	priorities := map[int]struct{}{}
	for _, l := range losses.Losses {
		for p := range l.Priorities {
			priorities[p] = struct{}{}
		}
	}
	if _, err := fmt.Fprintf(w, "%d started, %d refused, %d late\n", losses.Started, losses.Refused, losses.Late); err != nil {
		return err
	}
	if losses.DroppedLines > 0 {
		if _, err := fmt.Fprintf(w, "%d lines are missing: the log has a limit for each event\n", losses.DroppedLines); err != nil {
			return err
		}
	}
	if len(losses.Losses) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := "cause\trequests"
	for _, p := range slices.Sorted(maps.Keys(priorities)) {
		header += fmt.Sprintf("\tpriority %d", p)
	}
	_, _ = fmt.Fprintln(table, header+"\tworkspaces")
	for _, l := range losses.Losses {
		row := fmt.Sprintf("%s\t%d", textOf(l.Cause), l.Requests)
		for _, p := range slices.Sorted(maps.Keys(priorities)) {
			row += fmt.Sprintf("\t%d", l.Priorities[p])
		}
		_, _ = fmt.Fprintln(table, row+"\t"+topWorkspaces(l.Workspaces))
	}
	return table.Flush()
}

func textOf(cause LossCause) string {
	for _, t := range lossTexts {
		if t.cause == cause {
			return t.text
		}
	}
	return string(cause)
}

// topWorkspaces returns the workspaces with the most requests.
func topWorkspaces(requests map[string]int) string {
	names := slices.SortedFunc(maps.Keys(requests), func(a, b string) int {
		return cmp.Or(cmp.Compare(requests[b], requests[a]), cmp.Compare(a, b))
	})
	var parts []string
	for i, name := range names {
		if i == maxListedWorkspaces {
			parts = append(parts, fmt.Sprintf("%d more", len(names)-i))
			break
		}
		parts = append(parts, fmt.Sprintf("%s %d", name, requests[name]))
	}
	return strings.Join(parts, ", ")
}
