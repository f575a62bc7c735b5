package main

import "syscall"

// renewSeeds writes the settings of all processes with other seeds, and tells them so.
func (f *fleet) renewSeeds(seeds []string) error {
	f.log.printf("the settings name the seeds %v", seeds)
	for _, p := range f.processes {
		p.node.Seeds = seeds
		if err := p.writeSettings(); err != nil {
			return err
		}
		if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	return nil
}
