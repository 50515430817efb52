// Package fixedseed sets a fixed random seed for property-based tests, so that the
// results of CI runs are reproducible. Tests import it for its side effect. The
// flag -rapid.seed still overrides the seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag rapid.seed
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
