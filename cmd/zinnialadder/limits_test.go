package main_test

import (
	"testing"

	main "github.com/zinnialadder/zinnialadder/cmd/zinnialadder"
)

// Guards against addresses whose connections together leave no socket for the store and the
// upstreams, and against an address without any.
func TestConnectionLimitsLeaveSockets(t *testing.T) {
	for _, sockets := range []int{60, 200, 824, 2875, 8000, 10050} {
		for _, memoryMB := range []int{64, 144, 314, 536} {
			sum := 0
			for i, n := range main.ConnectionLimits(sockets, memoryMB) {
				if n < 1 {
					t.Errorf("%d sockets, %d MB: address %d may have %d connections, want some", sockets, memoryMB, i, n)
				}
				sum += n
			}
			if sum > sockets*4/5 {
				t.Errorf("%d sockets, %d MB: clients may have %d connections, want at most 4 in 5", sockets, memoryMB, sum)
			}
		}
	}
}
