package publisher

import (
	"context"
	"time"

	"flamingoledge.org/flamingoledge/internal/synchronizer"
	"flamingoledge.org/flamingoledge/pkg/acceptor"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// WalkHistory calls visit with the outcome of every retained record, in log order. If
// retention has removed records, it starts from the newest snapshot, if there is one.
func WalkHistory(ctx context.Context, log provider.Log, visit func(o acceptor.Outcome, at time.Time, author string)) error {
	cfg := synchronizer.NewConfiguration(interpreter.SchemaLatest)
	for {
		page, err := log.Read(ctx, provider.StreamConfiguration, cfg.State.LastOffset()+1, synchronizer.PageLimit, 0)
		if err != nil {
			return err
		}
		next, outcomes, err := cfg.WithPage(page)
		if err != nil {
			if next, err = recoverFromSnapshot(ctx, log, cfg, err); err != nil {
				return err
			}
		}
		byOffset := make(map[uint64]provider.Record, len(page.Records))
		for _, r := range page.Records {
			byOffset[r.Offset] = r
		}
		for _, o := range outcomes {
			r := byOffset[o.Offset]
			e, _ := acceptor.ParseEnvelope(r.Data)
			visit(o, r.AppendedAt, e.Author)
		}
		cfg = next
		if cfg.State.LastOffset()+1 >= page.Next {
			return nil
		}
	}
}
