package publisher

import (
	"context"
	"time"

	"flamingoledge.org/flamingoledge/internal/keeper"
	"flamingoledge.org/flamingoledge/pkg/acceptor"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// WalkHistory passes the verdict on every retained record to see, in order. What
// retention has removed is taken from the newest snapshot, if there is one.
func WalkHistory(ctx context.Context, log provider.Log, see func(o acceptor.Outcome, at time.Time, author string)) error {
	k := keeper.New(interpreter.SchemaNewest)
	for {
		page, err := log.Read(ctx, provider.StreamConfiguration, k.State.Through()+1, keeper.PageLimit, 0)
		if err != nil {
			return err
		}
		next, outcomes, err := k.WithPage(page)
		if err != nil {
			if next, err = fromSnapshot(ctx, log, k, err); err != nil {
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
			see(o, r.AppendedAt, e.Author)
		}
		k = next
		if k.State.Through()+1 >= page.Next {
			return nil
		}
	}
}
