package loadsim

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Machines describes how fast the upstreams' machines are.
type Machines struct {
	Speeds []float64 // times for work relative to the usual, repeated over the upstreams; none for 1
	// SlowShare is the share of the time in which other work on the machine makes work
	// take SlowFactor times as long, for SlowTime at once.
	SlowShare, SlowFactor float64
	SlowTime              time.Duration
}

// machines are Machines from a start on.
type machines struct {
	Machines
	seed  uint64
	start time.Time
}

// pace returns how long work takes at an upstream at now relative to the usual.
func (m machines) pace(id string, now time.Time) float64 {
	if len(m.Speeds) == 0 {
		return m.passing(id, now)
	}
	return m.Speeds[index(id)%len(m.Speeds)] * m.passing(id, now)
}

// passing returns the part of pace that passes. Slow times of different machines start
// at different times.
func (m machines) passing(id string, now time.Time) float64 {
	if m.SlowShare == 0 {
		return 1
	}
	machine := rand.New(rand.NewPCG(m.seed, uint64(index(id))))
	after := now.Sub(m.start) + time.Duration(machine.Float64()*float64(m.SlowTime))
	if rand.New(rand.NewPCG(machine.Uint64(), uint64(after/m.SlowTime))).Float64() < m.SlowShare {
		return m.SlowFactor
	}
	return 1
}

// upstreamID returns the ID of the upstream with an index, and index that index.
func upstreamID(i int) string { return fmt.Sprintf("i-%02d", i) }

func index(id string) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(id, "i-")) // IDs are made by upstreamID
	return n
}
