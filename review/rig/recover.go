package main

import (
	"fmt"
	"time"
)

const (
	// startTime is how long the processes run before callers come, and steadyTime how long
	// what is served is counted before the fault.
	startTime  = 3 * time.Second
	steadyTime = 6 * time.Second
	// countedTime is how long what is served is counted after recoverTime.
	countedTime = 20 * time.Second
	// loadTimeout is how long a named version may take.
	loadTimeout = 20 * time.Second
	// leastServed is the share that RECOVER asks for.
	leastServed = 0.25
	sides       = 3
)

// startAll starts entries and the instances of the endpoints, whose engines hold a version.
func (f *fleet) startAll(entries []int, version uint64, seeds []string) error {
	for _, i := range entries {
		if err := f.startEntry(i, seeds); err != nil {
			return err
		}
	}
	for i := range sides {
		if err := f.startSide(i, version, seeds); err != nil {
			return err
		}
	}
	return nil
}

// prepare starts a deployment, names version 2, waits until it is loaded and checks that
// callers are served.
func (f *fleet) prepare(entries []int, seeds []string) error {
	f.configure(1)
	if err := f.startAll(entries, 1, seeds); err != nil {
		return err
	}
	time.Sleep(startTime)
	f.callers.start()
	f.store.NameVersion(model, 2)
	f.log.printf("version 2 is named")
	if err := await("version 2 is loaded", loadTimeout, func() bool { return f.loaded(2) == sides }); err != nil {
		return err
	}
	f.log.printf("version 2 is loaded by all engines")
	from := time.Now().Add(time.Second)
	time.Sleep(steadyTime)
	sent, served := f.callers.count(from, time.Now().Add(-2*time.Second))
	f.log.printf("before the fault: %d of %d requests served", served, sent)
	if sent == 0 || float64(served) < leastServed*float64(sent) {
		return fmt.Errorf("too few requests are served before the fault")
	}
	return nil
}

// checkRecovery counts what is served from recoverTime after the machines are back.
func (f *fleet) checkRecovery(backAt time.Time) error {
	from := backAt.Add(recoverTime)
	until := from.Add(countedTime)
	time.Sleep(time.Until(until))
	f.callers.stop()
	sent, served := f.callers.count(from, until)
	f.log.printf("from %v after the machines were back: %d of %d requests served; version 2 is loaded by %d of %d engines", recoverTime, served, sent, f.loaded(2), sides)
	if sent == 0 {
		return fmt.Errorf("no requests were sent")
	}
	if float64(served) < leastServed*float64(sent) {
		return fmt.Errorf("%w: RECOVER: %d of %d requests served", errBroken, served, sent)
	}
	return nil
}

// spoiltManifest is a loss of power of all machines after which one answer of the origin, the
// manifest, is spoilt by one digit.
func spoiltManifest(f *fleet, hasTrouble bool) error {
	entries, seeds := []int{0, 1}, f.seeds(0, 1)
	if err := f.prepare(entries, seeds); err != nil {
		return err
	}
	f.configure(2)
	f.losePower()
	time.Sleep(downTime)
	if hasTrouble {
		f.origin.spoilNextManifest()
	}
	if err := f.startAll(entries, 0, seeds); err != nil {
		return err
	}
	f.log.printf("all machines are back")
	err := f.checkRecovery(time.Now())
	f.log.printf("the origin sent %d answers since", f.origin.answersSent())
	return err
}

// staleSeeds is a loss of power of all machines, of which those that the settings name as seeds
// never come back. The settings name others after seedLag.
func staleSeeds(f *fleet, hasTrouble bool) error {
	all := []int{0, 1, 2, 3, 4}
	gone, rest := all[:3], all[3:]
	seeds := f.seeds(gone...)
	if err := f.prepare(all, seeds); err != nil {
		return err
	}
	f.configure(2)
	f.losePower()
	time.Sleep(downTime)
	entries := rest
	if !hasTrouble {
		entries = all
	}
	if err := f.startAll(entries, 0, seeds); err != nil {
		return err
	}
	backAt := time.Now()
	f.log.printf("the machines are back, but for %d entries", len(all)-len(entries))
	time.Sleep(seedLag)
	if err := f.renewSeeds(f.seeds(rest...)); err != nil {
		return err
	}
	return f.checkRecovery(backAt)
}
