package measurer

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"flamingoledge.org/flamingoledge/internal/messenger"
)

// baselineInstances is small because the duration of a baseline grows with it.
const baselineInstances = 16

// measureBaselines compares the planned distribution of a version with two simple
// schemes: every instance fetches all of it from the origin, or each instance fetches
// it from the previous one in a chain.
func measureBaselines(ctx context.Context, cfg Config, r *Report) error {
	sc := cfg.scaledForQuick(oneRegionSwarm(baselineInstances, true, cfg.Seed))
	if cfg.Quick {
		sc.weightsBytes /= 2 * quickDivisor
		sc.window /= 2 * quickDivisor
	}
	planned, err := distribute(ctx, cfg, sc)
	if err != nil {
		return err
	}
	fromOrigin, err := runBaseline(ctx, sc, fetchAllFromOrigin)
	if err != nil {
		return err
	}
	alongChain, err := runBaseline(ctx, sc, fetchAlongChain)
	if err != nil {
		return err
	}
	r.add("baseline_everyone_from_origin_seconds", fromOrigin.elapsed.Seconds(), "s", LowerIsBetter)
	r.add("baseline_everyone_from_origin_copies", fromOrigin.copies, "copies", LowerIsBetter)
	r.add("baseline_chain_seconds", alongChain.elapsed.Seconds(), "s", LowerIsBetter)
	r.add("baseline_chain_copies", alongChain.copies, "copies", LowerIsBetter)
	r.add("sixteen_instances_seconds", planned.elapsed.Seconds(), "s", LowerIsBetter).setBaseline(fromOrigin.elapsed.Seconds())
	r.add("sixteen_instances_copies", planned.copies, "copies", LowerIsBetter).setBaseline(fromOrigin.copies)
	r.add("sixteen_instances_seconds_against_chain", planned.elapsed.Seconds(), "s", LowerIsBetter).setBaseline(alongChain.elapsed.Seconds())
	return nil
}

// runBaseline runs fetch concurrently on every node of a new swarm.
func runBaseline(ctx context.Context, sc swarmConfig, fetch func(ctx context.Context, n *node, i int) error) (d distributionResult, err error) {
	s, err := newSwarm(ctx, sc)
	if err != nil {
		return d, err
	}
	defer s.close()
	start := time.Now()
	errs := make([]error, len(s.nodes))
	var wg sync.WaitGroup
	for i, n := range s.nodes {
		wg.Go(func() { errs[i] = fetch(ctx, n, i) })
	}
	wg.Wait()
	for _, err = range errs {
		if err != nil {
			return d, err
		}
	}
	return distributionResult{elapsed: time.Since(start), copies: s.originCopies(), swarm: s}, nil
}

// fetchAllFromOrigin reads every chunk from the origin, in order.
func fetchAllFromOrigin(ctx context.Context, n *node, _ int) error {
	originClient := n.originClient()
	m := n.swarm.manifest
	for i := range m.Chunks {
		buf := make([]byte, m.ChunkLen(i))
		if err := originClient.ReadAt(ctx, m.WeightsDigest, m.ChunkOffset(i), buf); err != nil {
			return err
		}
		if _, err := n.assembly.Put(i, buf); err != nil {
			return err
		}
	}
	return n.assembly.VerifyWeights()
}

// fetchAlongChain fetches the chunks in order from the previous node, each as soon as
// that node has it. The first node reads them from the origin.
func fetchAlongChain(ctx context.Context, n *node, i int) error {
	if i == 0 {
		return fetchAllFromOrigin(ctx, n, i)
	}
	conn, err := n.dial(ctx, n.swarm.nodes[i-1].member.Instance)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := messenger.NewDRPCTransferClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	if err = stream.Send(&messenger.ChunkRequest{VersionDigest: n.swarm.digest, Instance: n.member.Instance}); err != nil {
		return err
	}
	return receiveFromPredecessor(n, stream)
}

// receiveFromPredecessor requests each chunk, in order, once the previous node has
// announced it, and stores the replies until the version is complete.
func receiveFromPredecessor(n *node, stream messenger.DRPCTransfer_ExchangeClient) error {
	available := map[uint32]bool{}
	next := uint32(0)
	for !n.assembly.IsComplete() {
		reply, err := stream.Recv()
		if err != nil {
			return err
		}
		if len(reply.GetData()) > 0 {
			if _, err = n.assembly.Put(int(reply.GetIndex()), reply.GetData()); err != nil {
				return err
			}
		}
		for _, i := range reply.GetGained() {
			available[i] = true
		}
		for ; available[next]; next++ {
			if err = stream.Send(&messenger.ChunkRequest{Ask: true, Index: next}); err != nil {
				return eris.Wrap(err, "request chunk from the previous node")
			}
		}
	}
	return n.assembly.VerifyWeights()
}
