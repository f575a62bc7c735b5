package cmds

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoledge.org/flamingoledge/internal/tracer"
)

const flagJSON = "json"

// trace prints the log lines of a request.
func trace(_ context.Context, c *cli.Command) error {
	id := c.Args().First()
	if id == "" {
		return eris.New("a request id is required")
	}
	logs, closeAll, err := openLogs(c, c.Args().Tail())
	if err != nil {
		return err
	}
	defer closeAll()
	lines, err := tracer.FindLines(id, logs...)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return eris.Errorf("no log line of request %s found", id)
	}
	if !c.Bool(flagJSON) {
		return tracer.WriteLines(c.Root().Writer, lines)
	}
	for _, l := range lines {
		if _, err = fmt.Fprintln(c.Root().Writer, string(l.Raw)); err != nil {
			return err
		}
	}
	return nil
}

// openLogs opens log files, or standard input if there are none.
func openLogs(c *cli.Command, names []string) (logs []io.Reader, closeAll func(), err error) {
	if len(names) == 0 {
		return []io.Reader{c.Root().Reader}, func() {}, nil
	}
	var files []*os.File
	closeAll = func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	for _, name := range names {
		var f *os.File
		if f, err = os.Open(name); err != nil {
			closeAll()
			return nil, nil, eris.Wrap(err, "open log")
		}
		files = append(files, f)
		logs = append(logs, f)
	}
	return logs, closeAll, nil
}
