package logger

// Quiet drops what a library would print by itself; the roles log the same
// things as events of the catalogue.
type Quiet struct{}

// Printf implements the loggers of libraries.
func (Quiet) Printf(string, ...any) {}
