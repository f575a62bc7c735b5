// Package measurer runs the project's experiments. Each experiment returns rows
// with the bound that the stated target gives and, where there is one, a baseline
// that was measured in the same run. A row that was not measured is absent.
package measurer

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"go.uber.org/zap"
)

// Direction states whether lower or higher values of a row are better.
type Direction string

// The directions in which a value improves.
const (
	LowerIsBetter  Direction = "lower"
	HigherIsBetter Direction = "higher"
)

// Row is one measured value.
type Row struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Bound is the target, absent for a value without one.
	Bound     *float64  `json:"bound"`
	Direction Direction `json:"better"`
	Baseline  *float64  `json:"baseline"`
	// Holds tells whether the bound holds; a value without a bound holds.
	Holds bool `json:"holds"`
}

// Report is the result of an experiment.
type Report struct {
	Experiment string `json:"experiment"`
	Rows       []Row  `json:"rows"`
}

// Config configures an experiment.
type Config struct {
	// Quick ends the experiment within 45 s.
	Quick    bool
	Seed     uint64
	Progress io.Writer
	Logger   *zap.Logger
}

func (c Config) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Progress, format+"\n", args...)
}

// UnknownExperimentError tells that there is no such experiment.
type UnknownExperimentError struct {
	Name string
}

// Error implements error.
func (e *UnknownExperimentError) Error() string {
	return fmt.Sprintf("no experiment %q; there are %v", e.Name, ExperimentNames())
}

type experiment struct {
	name string
	run  func(ctx context.Context, cfg Config, r *Report) error
}

func experiments() []experiment {
	return []experiment{
		{name: "weights", run: measureWeights},
		{name: "requests", run: measureRequests},
		{name: "config", run: measureConfig},
	}
}

// ExperimentNames returns the names of the experiments.
func ExperimentNames() []string {
	var names []string
	for _, e := range experiments() {
		names = append(names, e.name)
	}
	return names
}

// Run runs an experiment by name.
func Run(ctx context.Context, name string, cfg Config) (Report, error) {
	es := experiments()
	i := slices.IndexFunc(es, func(e experiment) bool { return e.name == name })
	if i < 0 {
		return Report{}, &UnknownExperimentError{Name: name}
	}
	r := Report{Experiment: name}
	return r, es[i].run(ctx, cfg, &r)
}

// add adds a row without a bound.
func (r *Report) add(name string, value float64, unit string, direction Direction) *Row {
	r.Rows = append(r.Rows, Row{Name: name, Value: value, Unit: unit, Direction: direction, Holds: true})
	return &r.Rows[len(r.Rows)-1]
}

// addBounded adds a row with a bound.
func (r *Report) addBounded(name string, value float64, unit string, direction Direction, bound float64) *Row {
	row := r.add(name, value, unit, direction)
	row.Bound = &bound
	row.Holds = value <= bound
	if direction == HigherIsBetter {
		row.Holds = value >= bound
	}
	return row
}

// setBaseline puts a baseline beside a row.
func (row *Row) setBaseline(baseline float64) { row.Baseline = &baseline }

// WriteTable writes a report for people.
func WriteTable(w io.Writer, r Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ROW\tVALUE\tUNIT\tBOUND\tBASELINE\tHOLDS")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%.4g\t%s\t%s\t%s\t%v\n", row.Name, row.Value, row.Unit, formatOptional(row.Bound), formatOptional(row.Baseline), row.Holds)
	}
	return t.Flush()
}

func formatOptional(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%.4g", *v)
}
