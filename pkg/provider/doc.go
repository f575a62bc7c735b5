// Package provider defines the API types and interfaces of the platform that the system
// uses: the append-only log, the origin of weights and the list of instances. It
// contains neither a client nor a server.
package provider
