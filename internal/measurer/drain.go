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
	drainNewWorkBound = 2.0
	drainRate         = 600.0
	drainRequests     = 16_000
	drainQuick        = 900
	drainListLag      = 10 * time.Second
	drainDeadline     = 5 * time.Second

	onceRate     = 80.0
	onceTime     = 8 * time.Second
	onceQuick    = 2400 * time.Millisecond
	onceDeadline = 2 * time.Second
)

// measureDrain stops a sidecar and an entry under load while the list of
// instances lags by ten seconds.
func measureDrain(ctx context.Context, cfg Config, r *Report) error {
	t := engines(6, 16, deployer.Service{FirstToken: 5 * time.Millisecond, TokenInterval: 5 * time.Millisecond})
	requests := drainRequests
	if cfg.Quick {
		requests = drainQuick
	}
	return withRig(ctx, cfg, t, deployer.Options{}, func(ctx context.Context, rg *rig) error {
		rg.Platform.SetFaults(emulator.PlatformFaults{ListLagMillis: int(drainListLag.Milliseconds())})
		length := time.Duration(float64(requests) / drainRate * float64(time.Second))
		ctx, cancel := context.WithTimeout(ctx, length)
		defer cancel()
		leaving := rg.Endpoints[0]
		var stopped time.Time
		var wg sync.WaitGroup
		wg.Go(func() {
			time.Sleep(length / 3)
			stopped = time.Now()
			leaving.Sidecar.Stop()
			rg.Entries[1].Stop()
		})
		var all tally
		err := openLoop(ctx, drainRate, cfg.Seed, func(i int, _ time.Time) {
			body := prompt(i, i, limitTokens)
			reply, err := rg.ask(i, deployer.WorkspaceName(i), drainDeadline, body)
			// A stopped entry takes no connections, which its balancer sees.
			if err != nil && i%len(rg.Entries) == 1 && len(reply.Body) == 0 {
				return
			}
			all.add(reply, err, err != nil || isOwn(reply, body))
		})
		wg.Wait()
		if err != nil {
			return err
		}
		_, cut := rg.runs()
		r.bounded("drain_new_work_seconds", lastStart(leaving, stopped).Seconds(), "s", LowerIsBetter, drainNewWorkBound)
		r.bounded("drain_cut", float64(cut+all.unknown), "requests", LowerIsBetter, 0)
		r.add("drain_requests", float64(all.sent), "requests", HigherIsBetter)
		return nil
	})
}

// lastStart returns how long after a time the endpoint last began a run.
func lastStart(e *deployer.Endpoint, after time.Time) (last time.Duration) {
	for _, run := range e.StandIn.Runs() {
		last = max(last, run.StartedAt.Sub(after))
	}
	return last
}

// measureOnce sends orders twice while the log loses answers and goes down, and
// endpoints cut off and cross answers.
func measureOnce(ctx context.Context, cfg Config, r *Report) error {
	t := engines(2, 8, deployer.Service{FirstToken: time.Millisecond, TokenInterval: time.Millisecond})
	t.Services = append(t.Services, deployer.Service{
		Name: "orders", Kind: interpreter.ServicePlain, Endpoints: 3, Concurrency: 16, FirstToken: 2 * time.Millisecond,
	})
	return withRig(ctx, cfg, t, deployer.Options{}, func(ctx context.Context, rg *rig) error {
		length := onceTime
		if cfg.Quick {
			length = onceQuick
		}
		ctx, cancel := context.WithTimeout(ctx, length)
		defer cancel()
		go rg.disturb(ctx)
		o := &orders{rig: rg, notRun: map[string]struct{}{}}
		if err := openLoop(ctx, onceRate, cfg.Seed, func(i int, _ time.Time) { o.sendTwice(i) }); err != nil {
			return err
		}
		time.Sleep(onceDeadline)
		twice, falseNotRun := o.check()
		r.bounded("ran_twice", float64(twice), "orders", LowerIsBetter, 0)
		r.bounded("false_not_run", float64(falseNotRun), "requests", LowerIsBetter, 0)
		r.bounded("foreign_or_partial_answers", float64(o.foreign), "answers", LowerIsBetter, 0)
		r.add("orders_answered", float64(o.answered)/float64(max(o.sent, 1)), "ratio", HigherIsBetter)
		r.add("orders_unknown", float64(o.unknown)/float64(max(o.sent, 1)), "ratio", LowerIsBetter)
		return nil
	})
}

// disturb makes faults come and go until ctx ends.
func (r *rig) disturb(ctx context.Context) {
	platform := []emulator.PlatformFaults{{LogLoseAnswers: 0.3}, {LogDown: true}, {LogLatencyMillis: 30}, {}}
	endpoint := []emulator.EndpointFaults{{Truncate: 0.2}, {Cross: 0.2}, {FailRate: 0.3}, {}}
	for i := 0; ctx.Err() == nil; i++ {
		r.Platform.SetFaults(platform[i%len(platform)])
		r.setFaults(len(r.Endpoints), endpoint[(i/2)%len(endpoint)])
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
	r.Platform.SetFaults(emulator.PlatformFaults{})
	r.setFaults(len(r.Endpoints), emulator.EndpointFaults{})
}

// orders sends keyed calls and remembers what their callers were told.
type orders struct {
	rig *rig
	tally
	notRun map[string]struct{}
}

func (o *orders) sendTwice(i int) {
	key := newKey()
	body := fmt.Appendf(nil, `{"order":%d}`, i)
	var wg sync.WaitGroup
	for copy := range 2 {
		wg.Go(func() {
			id := newKey()
			reply, err := o.rig.caller.Do(context.Background(), caller.Request{
				Entry: o.rig.entry(i + copy), Workspace: deployer.WorkspaceName(i), Service: "orders",
				IdempotencyKey: key, RequestID: id, Deadline: onceDeadline, Body: body,
			})
			o.add(reply, err, err != nil || isOwnCall(reply, body))
			if err == nil && reply.Outcome == entryserver.OutcomeNotRun {
				o.mu.Lock()
				o.notRun[id] = struct{}{}
				o.mu.Unlock()
			}
		})
	}
	wg.Wait()
}

func isOwnCall(reply caller.Reply, body []byte) bool {
	var a emulator.CallAnswer
	return json.Unmarshal(reply.Body, &a) == nil && a.Echo == emulator.Echo(body) && a.Run == 1
}

func (o *orders) check() (twice, falseNotRun int) {
	for _, n := range o.rig.KeyRuns() {
		if n > 1 {
			twice++
		}
	}
	for _, e := range o.rig.Endpoints {
		for _, run := range e.StandIn.Runs() {
			if _, ok := o.notRun[run.RequestID]; ok {
				falseNotRun++
			}
		}
	}
	return twice, falseNotRun
}
