package main

import (
	"fmt"
	"time"

	"flamingoledge.org/flamingoledge/platform/standin"
)

const (
	manifestEntries = 3
	manifestEngines = 8
	// downTime is how long all machines are without power.
	downTime = time.Second
	// afterTime is how long requests are sent after the machines are back.
	afterTime = 35 * time.Second
)

// runManifest lets all machines lose power and the origin spoil the first manifest after that. It
// checks the rule RECOVER.
func runManifest(f *fleet, hasTrouble bool) (broken bool, err error) {
	c := &client{fleet: f, rec: f.rec}
	engines, err := startMachines(f, 1)
	defer func() { closeEngines(engines) }()
	if err != nil {
		return false, err
	}
	if err = f.awaitReady(c, manifestEntries); err != nil {
		return false, err
	}
	f.store.NameVersion(model, 1)
	stop := make(chan struct{})
	replies := c.traffic(manifestEntries, soundPerSecond, stop)
	time.Sleep(5 * time.Second)
	lostAt := time.Now()
	f.rec.say("all machines lose power")
	f.kill(f.running("")...)
	closeEngines(engines)
	expireRecords(f.store, engines)
	if hasTrouble {
		f.origin.spoil(1)
	} else {
		f.origin.spoil(0)
	}
	time.Sleep(downTime)
	backAt := time.Now()
	if engines, err = startMachines(f, 0); err != nil {
		return false, err
	}
	time.Sleep(afterTime)
	close(stop)
	all := <-replies
	answers, spoiled := f.origin.counts()
	f.rec.say("the origin has sent %d answers after the loss of power, %d of them spoiled", answers, spoiled)
	before := shareServed(all, time.Time{}, lostAt)
	after := shareServed(all, backAt.Add(recoverTime), time.Now())
	loaded := 0
	for _, e := range engines {
		if e.Version() != 0 {
			loaded++
		}
	}
	f.rec.say("served before: %.2f; from %v after the machines were back: %.2f; %d of %d engines have loaded weights", before, recoverTime, after, loaded, len(engines))
	if before < 0.25 {
		return false, fmt.Errorf("only %.2f were served before", before)
	}
	return after < 0.25, nil
}

// startMachines starts all entries, engines and sidecars. The engines have loaded a version; 0
// for none.
func startMachines(f *fleet, version uint64) (engines []*standin.Engine, err error) {
	for i := range manifestEntries {
		if err = f.startEntry(i); err != nil {
			return engines, err
		}
	}
	for i := range manifestEngines {
		e, err := standin.NewEngine(standin.EngineConfig{
			ID: fmt.Sprintf("i-%d-%d", i, time.Now().UnixMilli()), Service: engineName, Zone: zone, Address: f.engineAddress(i),
			Store: f.store, Weights: f.weights, Spec: engineSpec, Version: version,
		})
		if err != nil {
			return engines, err
		}
		engines = append(engines, e)
		if err = f.startSidecar(i); err != nil {
			return engines, err
		}
	}
	return engines, nil
}

// closeEngines ends engines, whose records expire.
func closeEngines(engines []*standin.Engine) {
	for _, e := range engines {
		e.Close()
	}
}

// expireRecords deletes the records of engines that have lost power, after three heartbeats.
func expireRecords(s *standin.Store, engines []*standin.Engine) {
	time.AfterFunc(3*heartbeat, func() {
		for _, e := range engines {
			s.ExpireEndpoint(e.ID())
		}
	})
}

// heartbeat is how often engines write their records.
const heartbeat = 1200 * time.Millisecond

// shareServed returns the share of the requests sent in a time that were served.
func shareServed(all []reply, from, until time.Time) float64 {
	n, served := 0, 0
	for _, r := range all {
		if r.sentAt.Before(from) || !r.sentAt.Before(until) {
			continue
		}
		n++
		if r.isServed() {
			served++
		}
	}
	return float64(served) / float64(max(n, 1))
}
