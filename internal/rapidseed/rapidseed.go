// Package rapidseed fixes the seed of rapid's property tests, so that every
// run makes the same choices and reaches the same verdict.
package rapidseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seed is the seed used unless one is given on the command line.
const seed = "20261202"

// defaultChecks is rapid's own default number of checks per property.
const defaultChecks = "100"

// Main runs m's tests with rapid's seed fixed, and checks runs of each
// property, unless the command line says otherwise. It does not return.
func Main(m *testing.M, checks int) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", seed)
	}
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == defaultChecks {
		_ = flag.Set("rapid.checks", strconv.Itoa(checks))
	}
	os.Exit(m.Run())
}
