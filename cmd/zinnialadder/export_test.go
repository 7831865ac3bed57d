package main

// RootCmd is exported for tests of the names of commands and flags.
var RootCmd = rootCmd

// ConnectionLimits returns the limits of connectionLimits at callers' address, at those of other
// instances, the list of instances, readiness and metrics.
func ConnectionLimits(sockets, memoryMB int) [5]int {
	c := connectionLimits(sockets, memoryMB)
	return [5]int{c.front, c.peers, c.directory, c.ready, c.metrics}
}
