// Package proptest configures property-based tests with rapid. By default it sets a
// fixed seed, so that a test gives the same result in every run. The properties are
// left to the packages that are tested. It also holds what the tests of several packages
// share.
package proptest

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
// variables ENDIVERILL_SEED and ENDIVERILL_CHECKS override the seed and the number
// of test cases that rapid generates for each property. Flags on the command line
// override both. Main also keeps rapid from writing files for failed cases.
func Main(m *testing.M) {
	flag.Parse()
	setFlag("rapid.seed", os.Getenv(seedVariable), defaultSeed)
	setFlag("rapid.checks", os.Getenv(checksVariable), defaultChecks)
	setFlag("rapid.nofailfile", "true", "")
	os.Exit(m.Run())
}

// setFlag sets a flag to value, or to fallback if value is empty. It leaves flags
// from the command line as they are.
func setFlag(name, value, fallback string) {
	onCommandLine := false
	flag.Visit(func(flag *flag.Flag) { onCommandLine = onCommandLine || flag.Name == name })
	if value == "" {
		value = fallback
	}
	if onCommandLine || value == "" {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
