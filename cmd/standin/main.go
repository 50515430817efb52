// Command standin runs a stand-in of the platform or of a backend server, for
// demonstrations and measurements.
//
//	standin platform -listen IP:PORT [-lag DURATION] [-limit CALLS]
//	standin backend -listen IP:PORT -id ID [-slots N] [-cold DURATION]
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"heatherlift.example/heatherlift/internal/standin/backend"
	"heatherlift.example/heatherlift/internal/standin/platform"
)

func main() {
	if len(os.Args) < 2 {
		usage()
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	listen := flags.String("listen", "", "`IP:PORT`")
	id := flags.String("id", "", "instance `ID`")
	slots := flags.Int("slots", 10, "requests run at once")
	cold := flags.Duration("cold", 0, "`DURATION` of the cold start")
	lag := flags.Duration("lag", time.Second, "`DURATION` by which the instance list lags")
	limit := flags.Uint64("limit", 0, "calls a second before the platform refuses; 0 means none")
	_ = flags.Parse(os.Args[2:])
	var handler http.Handler
	switch os.Args[1] {
	case "platform":
		handler = platform.New(*lag, *limit).Handler()
	case "backend":
		handler = backend.New(*id, *slots, *cold).Handler()
	default:
		usage()
	}
	if err := http.ListenAndServe(*listen, handler); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func usage() {
	fmt.Fprintln(os.Stderr, "usage: standin platform|backend -listen IP:PORT [flags]")
	os.Exit(2)
}
