package logger

// Discard drops the log output of a library. The processes log the same
// conditions as events of the catalogue.
type Discard struct{}

// Printf implements the logger interface of fasthttp.
func (Discard) Printf(string, ...any) {}
