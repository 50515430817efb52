// Command heatherlift runs a proxy and provides the tools of its operators.
package main

import (
	"os"

	"heatherlift.example/heatherlift/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
