// Package measurer runs the project's experiments. Each experiment returns rows of
// measured values, with the bound of the stated target and a baseline from the same
// run where they exist. Values that could not be measured have no row.
package measurer

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"go.uber.org/zap"
)

// Direction is the direction in which a value improves.
type Direction string

// The directions.
const (
	LowerIsBetter  Direction = "lower"
	HigherIsBetter Direction = "higher"
)

// Row is one measured value.
type Row struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Bound is the target, nil for a value without one.
	Bound     *float64  `json:"bound"`
	Direction Direction `json:"better"`
	Baseline  *float64  `json:"baseline"`
	// Holds reports whether the value is within its bound. It is true without a bound.
	Holds bool `json:"holds"`
}

// Report contains the rows of an experiment.
type Report struct {
	Experiment string `json:"experiment"`
	Rows       []Row  `json:"rows"`
}

// Config configures an experiment.
type Config struct {
	// Quick shortens the experiment to at most 45 s.
	Quick bool
	// Seed seeds all random choices.
	Seed uint64
	// Progress receives a line for each intermediate result.
	Progress io.Writer
	Logger   *zap.Logger
}

// progressf writes a formatted line to Progress.
func (c Config) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Progress, format+"\n", args...)
}

// UnknownExperimentError is returned for the name of an experiment that does not exist.
type UnknownExperimentError struct {
	Name string
}

// Error implements error.
func (e *UnknownExperimentError) Error() string {
	return fmt.Sprintf("experiment %q does not exist; the experiments are %v", e.Name, ExperimentNames())
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

// ExperimentNames returns the names of all experiments, in the order in which they run.
func ExperimentNames() []string {
	var names []string
	for _, e := range experiments() {
		names = append(names, e.name)
	}
	return names
}

// Run runs the experiment with the given name.
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

// addBounded adds a row with an inclusive bound.
func (r *Report) addBounded(name string, value float64, unit string, direction Direction, bound float64) *Row {
	row := r.add(name, value, unit, direction)
	row.Bound = &bound
	row.Holds = value <= bound
	if direction == HigherIsBetter {
		row.Holds = value >= bound
	}
	return row
}

// setBaseline sets the baseline of a row.
func (row *Row) setBaseline(baseline float64) { row.Baseline = &baseline }

// WriteTable writes a report as an aligned table.
func WriteTable(w io.Writer, r Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ROW\tVALUE\tUNIT\tBOUND\tBASELINE\tHOLDS")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%.4g\t%s\t%s\t%s\t%v\n", row.Name, row.Value, row.Unit, formatOptional(row.Bound), formatOptional(row.Baseline), row.Holds)
	}
	return t.Flush()
}

// formatOptional formats a value, or "-" for nil.
func formatOptional(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%.4g", *v)
}
