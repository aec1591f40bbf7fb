// Package proof runs property-based tests from a fixed seed, so that a test
// gives the same verdict every time.
package proof

import (
	"flag"
	"os"
	"testing"
)

const (
	seedVariable   = "ENDIVERILL_SEED"
	checksVariable = "ENDIVERILL_CHECKS"
	defaultSeed    = "20261203"
	defaultChecks  = "1000"
)

// Main is the TestMain of packages with property-based tests. The environment
// variables ENDIVERILL_SEED and ENDIVERILL_CHECKS replace the seed and the
// number of histories.
func Main(m *testing.M) {
	flag.Parse()
	set("rapid.seed", os.Getenv(seedVariable), defaultSeed)
	set("rapid.checks", os.Getenv(checksVariable), defaultChecks)
	set("rapid.nofailfile", "true", "")
	os.Exit(m.Run())
}

func set(name, value, fallback string) {
	given := false
	flag.Visit(func(flag *flag.Flag) { given = given || flag.Name == name })
	if value == "" {
		value = fallback
	}
	if given || value == "" {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
