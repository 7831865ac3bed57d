// Package rapidseed sets the seed of the property tests that use the rapid package, so
// that every run of a test draws the same values and gives the same result.
package rapidseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// defaultSeed is the seed used unless the flag -rapid.seed gives another.
const defaultSeed = "20261202"

// rapidDefaultChecks is the default of the flag -rapid.checks. A flag with this value is
// taken as not given.
const rapidDefaultChecks = "100"

// Main runs the tests of m with defaultSeed and the given number of checks of each
// property, unless the flags -rapid.seed and -rapid.checks give others. It is to be
// called from TestMain and exits the process.
func Main(m *testing.M, checks int) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == rapidDefaultChecks {
		_ = flag.Set("rapid.checks", strconv.Itoa(checks))
	}
	os.Exit(m.Run())
}
