package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/internal/caller"
	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/entryserver"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
)

const (
	drainLastStartBoundSeconds = 2.0
	drainRequestsPerSecond     = 600.0
	drainRequests              = 16_000
	drainQuickRequests         = 900
	drainListLag               = 10 * time.Second
	drainDeadline              = 5 * time.Second

	atMostOnceRequestsPerSecond = 80.0
	atMostOnceDuration          = 8 * time.Second
	atMostOnceQuickDuration     = 2400 * time.Millisecond
	atMostOnceDeadline          = 2 * time.Second
)

// measureDrain stops a sidecar and an entry under load, while the list of instances
// lags by ten seconds. It measures for how long after the stop the sidecar's endpoint
// starts runs, and counts the requests that were cut off or have an unknown outcome.
func measureDrain(ctx context.Context, cfg Config, r *Report) error {
	t := engineTopology(6, 16, deployer.Service{FirstTokenDelay: 5 * time.Millisecond, TokenInterval: 5 * time.Millisecond})
	requests := drainRequests
	if cfg.Quick {
		requests = drainQuickRequests
	}
	return withTestbed(ctx, cfg, t, deployer.Options{}, func(ctx context.Context, tb *testbed) error {
		tb.Platform.SetFaults(emulator.PlatformFaults{ListLagMillis: int(drainListLag.Milliseconds())})
		duration := time.Duration(float64(requests) / drainRequestsPerSecond * float64(time.Second))
		ctx, cancel := context.WithTimeout(ctx, duration)
		defer cancel()
		stoppedEndpoint := tb.Endpoints[0]
		var stopped time.Time
		var wg sync.WaitGroup
		wg.Go(func() {
			time.Sleep(duration / 3)
			stopped = time.Now()
			stoppedEndpoint.Sidecar.Stop()
			tb.Entries[1].Stop()
		})
		var counts outcomeCounts
		err := runOpenLoop(ctx, drainRequestsPerSecond, cfg.Seed, func(i int, _ time.Time) {
			body := promptBody(i, i, admissionTokens)
			reply, err := tb.sendModelRequest(i, deployer.WorkspaceName(i), drainDeadline, body)
			// A stopped entry refuses connections, which the balancer in front of it would
			// detect, so these requests do not count.
			if err != nil && i%len(tb.Entries) == 1 && len(reply.Body) == 0 {
				return
			}
			counts.add(reply, err, err != nil || isExpectedStream(reply, body))
		})
		wg.Wait()
		if err != nil {
			return err
		}
		_, truncated := tb.countRuns()
		r.addBounded("drain_new_work_seconds", lastRunStart(stoppedEndpoint, stopped).Seconds(), "s", LowerIsBetter, drainLastStartBoundSeconds)
		r.addBounded("drain_cut", float64(truncated+counts.unknown), "requests", LowerIsBetter, 0)
		r.add("drain_requests", float64(counts.sent), "requests", HigherIsBetter)
		return nil
	})
}

// lastRunStart returns the time from since to the last start of a run on the endpoint,
// or 0 if no run started after it.
func lastRunStart(endpoint *deployer.Endpoint, since time.Time) (last time.Duration) {
	for _, run := range endpoint.Emulator.Runs() {
		last = max(last, run.StartedAt.Sub(since))
	}
	return last
}

// measureAtMostOnce sends each order twice while the log loses responses and is down
// at times, and endpoints truncate responses, respond with wrong attempt IDs and refuse
// requests. It counts orders that ran twice, runs reported as not run, and wrong
// responses.
func measureAtMostOnce(ctx context.Context, cfg Config, r *Report) error {
	t := engineTopology(2, 8, deployer.Service{FirstTokenDelay: time.Millisecond, TokenInterval: time.Millisecond})
	t.Services = append(t.Services, deployer.Service{
		Name: "orders", Kind: interpreter.ServiceKindPlain, Endpoints: 3, Concurrency: 16, FirstTokenDelay: 2 * time.Millisecond,
	})
	return withTestbed(ctx, cfg, t, deployer.Options{}, func(ctx context.Context, tb *testbed) error {
		duration := atMostOnceDuration
		if cfg.Quick {
			duration = atMostOnceQuickDuration
		}
		ctx, cancel := context.WithTimeout(ctx, duration)
		defer cancel()
		go tb.injectFaults(ctx)
		sender := &orderSender{testbed: tb, notRunIDs: map[string]struct{}{}}
		if err := runOpenLoop(ctx, atMostOnceRequestsPerSecond, cfg.Seed, func(i int, _ time.Time) { sender.sendTwice(i) }); err != nil {
			return err
		}
		time.Sleep(atMostOnceDeadline)
		ranTwice, falseNotRun := sender.countViolations()
		r.addBounded("ran_twice", float64(ranTwice), "orders", LowerIsBetter, 0)
		r.addBounded("false_not_run", float64(falseNotRun), "requests", LowerIsBetter, 0)
		r.addBounded("foreign_or_partial_answers", float64(sender.foreign), "answers", LowerIsBetter, 0)
		r.add("orders_answered", float64(sender.answered)/float64(max(sender.sent, 1)), "ratio", HigherIsBetter)
		r.add("orders_unknown", float64(sender.unknown)/float64(max(sender.sent, 1)), "ratio", LowerIsBetter)
		return nil
	})
}

// injectFaults cycles through faults of the platform and the endpoints until ctx ends,
// and then clears them.
func (tb *testbed) injectFaults(ctx context.Context) {
	platform := []emulator.PlatformFaults{{AppendReplyLossRate: 0.3}, {LogDown: true}, {LogLatencyMillis: 30}, {}}
	endpoint := []emulator.EndpointFaults{{TruncationRate: 0.2}, {WrongIDRate: 0.2}, {RefusalRate: 0.3}, {}}
	for i := 0; ctx.Err() == nil; i++ {
		tb.Platform.SetFaults(platform[i%len(platform)])
		tb.setFaults(len(tb.Endpoints), endpoint[(i/2)%len(endpoint)])
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
	tb.Platform.SetFaults(emulator.PlatformFaults{})
	tb.setFaults(len(tb.Endpoints), emulator.EndpointFaults{})
}

// orderSender sends calls with an idempotency key and records their outcomes.
type orderSender struct {
	testbed *testbed
	outcomeCounts
	// notRunIDs are the IDs of the requests that were reported as not run.
	notRunIDs map[string]struct{}
}

// sendTwice sends order i concurrently over two entries, with the same idempotency key.
func (o *orderSender) sendTwice(i int) {
	key := newUUID()
	body := fmt.Appendf(nil, `{"order":%d}`, i)
	var wg sync.WaitGroup
	for attempt := range 2 {
		wg.Go(func() {
			id := newUUID()
			reply, err := o.testbed.caller.Do(context.Background(), caller.Request{
				EntryAddress: o.testbed.entryAddress(i + attempt), Workspace: deployer.WorkspaceName(i), Service: "orders",
				IdempotencyKey: key, RequestID: id, Deadline: atMostOnceDeadline, Body: body,
			})
			o.add(reply, err, err != nil || isExpectedCall(reply, body))
			if err == nil && reply.Outcome == entryserver.OutcomeNotRun {
				o.mu.Lock()
				o.notRunIDs[id] = struct{}{}
				o.mu.Unlock()
			}
		})
	}
	wg.Wait()
}

// isExpectedCall reports whether a reply is the complete response to the body, from the
// first run of its idempotency key.
func isExpectedCall(reply caller.Reply, body []byte) bool {
	var answer emulator.CallResponse
	return json.Unmarshal(reply.Body, &answer) == nil && answer.Echo == emulator.Echo(body) && answer.Run == 1
}

// countViolations returns the number of orders that ran more than once, and of runs
// whose request was reported as not run.
func (o *orderSender) countViolations() (ranTwice, falseNotRun int) {
	for _, n := range o.testbed.RunsByKey() {
		if n > 1 {
			ranTwice++
		}
	}
	for _, e := range o.testbed.Endpoints {
		for _, run := range e.Emulator.Runs() {
			if _, ok := o.notRunIDs[run.RequestID]; ok {
				falseNotRun++
			}
		}
	}
	return ranTwice, falseNotRun
}
