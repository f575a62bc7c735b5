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

// trace prints the lines of logs that tell of a request.
func trace(_ context.Context, c *cli.Command) error {
	id := c.Args().First()
	if id == "" {
		return eris.New("name a request")
	}
	logs, closeAll, err := openLogs(c)
	if err != nil {
		return err
	}
	defer closeAll()
	lines, err := tracer.FindLines(id, logs...)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return eris.Errorf("no line tells of request %s", id)
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

func openLogs(c *cli.Command) (logs []io.Reader, closeAll func(), err error) {
	if c.Args().Len() == 1 {
		return []io.Reader{c.Root().Reader}, func() {}, nil
	}
	var files []*os.File
	closeAll = func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	for _, name := range c.Args().Tail() {
		var f *os.File
		if f, err = os.Open(name); err != nil {
			closeAll()
			return nil, nil, eris.Wrap(err, "log")
		}
		files = append(files, f)
		logs = append(logs, f)
	}
	return logs, closeAll, nil
}
