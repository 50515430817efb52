// Package fixedseed makes property-based tests start from the same seed in
// each run, so that CI gives the same verdict. Tests import it for its effect;
// the flag -rapid.seed still overrides the seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
