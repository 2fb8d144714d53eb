// Package testseed fixes the seed of rapid's property tests, so that a test run
// gives the same result each time. Tests import it for its side effect; the flag
// -rapid.seed still overrides it.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // the flag is missing, so a run would not be repeatable
	}
}
