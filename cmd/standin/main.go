// Command standin runs a simulated platform or a simulated backend server, for
// demonstrations and benchmarks.
//
//	standin platform -listen IP:PORT [-lag DURATION] [-limit CALLS]
//	standin backend -listen IP:PORT -id ID [-slots N] [-cold DURATION]
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
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
	slots := flags.Int("slots", 10, "requests that run concurrently")
	cold := flags.Duration("cold", 0, "`DURATION` of the cold start")
	lag := flags.Duration("lag", time.Second, "`DURATION` before the instance list shows a change")
	limit := flags.Uint64("limit", 0, "maximum calls per second to the platform; 0 means unlimited")
	_ = flags.Parse(os.Args[2:])
	var err error
	switch os.Args[1] {
	case "platform":
		err = http.ListenAndServe(*listen, platform.New(*lag, *limit).Handler())
	case "backend":
		err = serveBackend(*listen, backend.New(*id, *slots, *cold))
	default:
		usage()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serveBackend serves until SIGTERM and then shuts down gracefully.
func serveBackend(listen string, s *backend.Server) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	return s.Serve(ctx, l)
}

func usage() {
	fmt.Fprintln(os.Stderr, "usage: standin platform|backend -listen IP:PORT [flags]")
	os.Exit(2)
}
