package main

import (
	"github.com/zinnialadder/zinnialadder/internal/client"
	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/option"
)

// requestLimits returns the operator's limits on requests, or nothing if n has no configuration.
func requestLimits(n *node.Node) option.Of[client.Limits] {
	if !n.Configured() {
		return option.Of[client.Limits]{}
	}
	l := n.Limits()
	return option.Some(client.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout})
}
