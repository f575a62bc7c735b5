// Package reloader receives the signal that requests that settings be read again. It has
// few dependencies, so that it is initialized before most other packages: until then, the
// signal ends the process.
package reloader

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = notify()

func notify() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Signals returns the channel that receives SIGHUP.
func Signals() <-chan os.Signal { return signals }
