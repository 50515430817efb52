// Command heatherlift runs a proxy and provides command-line tools for operators.
package main

import (
	"os"

	"heatherlift.example/heatherlift/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
