package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
	"github.com/urfave/cli/v3"

	"flamingoledge.org/flamingoledge/internal/platformclient"
	"flamingoledge.org/flamingoledge/internal/publisher"
	"flamingoledge.org/flamingoledge/pkg/acceptor"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	flagPlatform = "platform"
	flagFile     = "file"
	flagTimeout  = "timeout"
	flagSubject  = "subject"
	flagNoWait   = "no-wait"
	flagRebase   = "rebase"
)

func platformFlag() cli.Flag {
	return &cli.StringFlag{Name: flagPlatform, Required: true, Usage: "address and port of the platform"}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: flagTimeout, Value: 10 * time.Second, Usage: "maximum time to wait"}
}

func configCommand() *cli.Command {
	file := &cli.StringFlag{Name: flagFile, Required: true, Usage: "record file, JSON with comments; - for standard input"}
	subject := &cli.StringFlag{Name: flagSubject, Usage: "only this subject, such as workspace:market"}
	return &cli.Command{
		Name:  "config",
		Usage: "validate, publish and print configuration records",
		Commands: []*cli.Command{
			{Name: "lint", Usage: "validate a record without publishing it", Flags: []cli.Flag{file}, Action: lintRecord},
			{
				Name:  "publish",
				Usage: "publish a record and wait until it is in force on every live instance",
				Flags: []cli.Flag{
					platformFlag(), file, timeoutFlag(),
					&cli.BoolFlag{Name: flagNoWait, Usage: "do not wait until the record is in force"},
					&cli.BoolFlag{Name: flagRebase, Usage: "use the record in force as the base, instead of the base in the file"},
				},
				Action: publishRecord,
			},
			{Name: "show", Usage: "print the records in force", Flags: []cli.Flag{platformFlag(), subject, timeoutFlag()}, Action: showRecords},
			{Name: "history", Usage: "print every retained record with its verdict", Flags: []cli.Flag{platformFlag(), subject, timeoutFlag()}, Action: showHistory},
		},
	}
}

// readRecord reads a record file, or standard input if name is "-". It generates a
// missing record_id.
func readRecord(name string) (e acceptor.Envelope, err error) {
	var text []byte
	if name == "-" {
		text, err = io.ReadAll(io.LimitReader(os.Stdin, acceptor.MaxRecordBytes+1))
	} else {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return e, eris.Wrap(err, "read record")
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return e, eris.Wrapf(err, "parse record %s", name)
	}
	if err = json.Unmarshal(plain, &e); err != nil {
		return e, eris.Wrapf(err, "decode record %s", name)
	}
	if e.RecordID == "" {
		e.RecordID = uuid.Must(uuid.NewV7()).String()
	}
	return e, nil
}

// checkRecord validates the envelope and the body of a record.
func checkRecord(e acceptor.Envelope) error {
	data, err := json.Marshal(e)
	if err != nil {
		return eris.Wrap(err, "encode record")
	}
	if e, err = acceptor.ParseEnvelope(data); err != nil {
		return err
	}
	return interpreter.Validate(e)
}

func lintRecord(_ context.Context, cmd *cli.Command) error {
	e, err := readRecord(cmd.String(flagFile))
	if err != nil {
		return err
	}
	if err = checkRecord(e); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(os.Stdout, "record for %s, schema version %d: no errors found\n", e.Subject, e.SchemaVersion)
	return nil
}

func publishRecord(ctx context.Context, cmd *cli.Command) error {
	e, err := readRecord(cmd.String(flagFile))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	client := platformclient.New(platformclient.Config{Address: cmd.String(flagPlatform)})
	if err = checkZoneOfPlatform(ctx, client, e); err != nil {
		return err
	}
	if cmd.Bool(flagRebase) {
		if e.Base, err = currentOffset(ctx, client, e.Subject); err != nil {
			return err
		}
	}
	offset, err := publisher.Publish(ctx, client, e)
	if err != nil {
		return publishError(err)
	}
	_, _ = fmt.Fprintf(os.Stdout, "record %s for %s is accepted at offset %d\n", e.RecordID, e.Subject, offset)
	if cmd.Bool(flagNoWait) {
		return nil
	}
	s, err := publisher.AwaitPropagation(ctx, client, offset, func(s publisher.Propagation) {
		_, _ = fmt.Fprintf(os.Stdout, "in force on %d of %d live instances\n", len(s.InForce), len(s.InForce)+len(s.Lagging))
	})
	if err != nil {
		return &exitError{code: exitLagging, cause: err}
	}
	_, _ = fmt.Fprintf(os.Stdout, "in force on all %d live instances\n", len(s.InForce))
	return nil
}

// currentOffset returns the offset of the subject's record in force.
func currentOffset(ctx context.Context, log provider.Log, subject string) (uint64, error) {
	loaded, err := publisher.LoadConfiguration(ctx, log)
	if err != nil {
		return 0, err
	}
	current, _ := loaded.State.RecordFor(subject)
	return current.Offset, nil
}

// publishError adds the exit code to an error of Publish.
func publishError(err error) error {
	var conflict *publisher.ConflictError
	var unknown *publisher.UnknownOutcomeError
	switch {
	case errors.As(err, &conflict):
		return &exitError{code: exitConflict, cause: err}
	case errors.As(err, &unknown):
		return &exitError{code: exitUnknown, cause: err}
	default:
		return err
	}
}

// recordInForce is the printed form of a record in force.
type recordInForce struct {
	Offset uint64            `json:"offset"`
	Record acceptor.Envelope `json:"record"`
}

func showRecords(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	loaded, err := publisher.LoadConfiguration(ctx, platformclient.New(platformclient.Config{Address: cmd.String(flagPlatform)}))
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	for _, a := range loaded.State.RecordsAfter(0) {
		if s := cmd.String(flagSubject); s != "" && s != a.Envelope.Subject {
			continue
		}
		if err = out.Encode(recordInForce{Offset: a.Offset, Record: a.Envelope}); err != nil {
			return eris.Wrap(err, "print record")
		}
	}
	return nil
}

func showHistory(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	client := platformclient.New(platformclient.Config{Address: cmd.String(flagPlatform)})
	return publisher.WalkHistory(ctx, client, func(o acceptor.Outcome, at time.Time, author string) {
		if s := cmd.String(flagSubject); s != "" && s != o.Subject {
			return
		}
		_, _ = fmt.Fprintf(os.Stdout, "%d  %s  %-9s  %s  %s  by %q  %s\n",
			o.Offset, at.UTC().Format(time.RFC3339), o.Verdict, o.Subject, o.RecordID, author, o.Problem)
	})
}
