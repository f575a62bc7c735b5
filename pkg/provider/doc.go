// Package provider holds the API types and narrow interfaces through which the
// system meets the platform: the append-only log, the origin of weights and the
// lagging list of instances. It contains no client and no server.
package provider
