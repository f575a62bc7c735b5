package main

import (
	"fmt"
	"time"

	"flamingoledge.org/flamingoledge/platform/standin"
)

const (
	machineEntries = 3
	machineEngines = 8
	// heartbeat is how often runners write their records.
	heartbeat = 1200 * time.Millisecond
)

// startMachines starts all entries, engines and sidecars. The engines have loaded a version; 0
// for none.
func startMachines(f *fleet, version uint64) (engines []*standin.Engine, err error) {
	for i := range machineEngines {
		e, err := standin.NewEngine(standin.EngineConfig{
			ID: fmt.Sprintf("i-%d", i), Service: engineName, Zone: zone, Address: f.engineAddress(i),
			Store: f.store, Weights: f.weights, Spec: engineSpec, Version: version,
		})
		if err != nil {
			return engines, err
		}
		engines = append(engines, e)
	}
	return engines, startProcesses(f)
}

// startProcesses starts all entries and sidecars.
func startProcesses(f *fleet) error {
	for i := range machineEntries {
		if err := f.startEntry(i); err != nil {
			return err
		}
	}
	for i := range machineEngines {
		if err := f.startSidecar(i); err != nil {
			return err
		}
	}
	return nil
}

// closeEngines ends engines.
func closeEngines(engines []*standin.Engine) {
	for _, e := range engines {
		e.Close()
	}
}
