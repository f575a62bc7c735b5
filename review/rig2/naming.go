package main

import (
	"fmt"
	"time"
)

const (
	// storeTime is how long the store takes for an answer.
	storeTime = 4 * time.Millisecond
	// killDelay is how long after the acknowledgement of a version all processes are killed, and
	// processDown how long they are down.
	killDelay, processDown = 2 * time.Millisecond, 1600 * time.Millisecond
	// originDown is how long the origin of the weights is down.
	originDown = 6 * time.Second
	// namedPerSecond is the rate of the requests.
	namedPerSecond = 60
)

// runNaming names a version while the origin is down, and kills all processes right after the
// acknowledgement. It checks the rule VERSION.
func runNaming(f *fleet, hasTrouble bool) (broken bool, err error) {
	e, err := newStoreFrom(f.store, 1, storeTime)
	if err != nil {
		return false, err
	}
	defer func() { _ = e.server.Close() }()
	f.storeAddress = e.address()
	c := &client{fleet: f, rec: f.rec}
	engines, err := startMachines(f, 1)
	defer func() { closeEngines(engines) }()
	if err != nil {
		return false, err
	}
	f.store.NameVersion(model, 1)
	if err = f.awaitReady(c); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	replies := c.traffic(machineEntries, namedPerSecond, stop)
	time.Sleep(5 * time.Second)
	f.origin.setDown(true)
	time.AfterFunc(originDown, func() { f.origin.setDown(false) })
	f.store.NameVersion(model, 2)
	namedAt := time.Now()
	f.rec.say("version 2 is named")
	if hasTrouble {
		time.Sleep(killDelay)
		f.kill(f.running("")...)
		time.Sleep(processDown)
		if err = startProcesses(f); err != nil {
			return false, err
		}
	}
	inTouchFrom := time.Now().Add(contactTime)
	time.Sleep(time.Until(namedAt.Add(versionTime + 6*time.Second)))
	close(stop)
	late := 0
	for _, r := range <-replies {
		for _, engine := range engines {
			for _, run := range engine.RunsOf(r.id) {
				isLate := run.Version < 2 && run.At.After(namedAt.Add(versionTime)) && run.At.After(inTouchFrom)
				if isLate {
					late++
				}
				f.rec.logAt(run.At, "run", fmt.Sprintf("%s on version %d, %.3f s after the naming, late=%v", r.id, run.Version, run.At.Sub(namedAt).Seconds(), isLate))
			}
		}
	}
	f.rec.say("%d requests reached an engine with version 1 later than %v after version 2 was acknowledged", late, versionTime)
	return late > 0, nil
}
