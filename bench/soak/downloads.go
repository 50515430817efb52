package main

import (
	"context"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"heatherlift.example/heatherlift/platform/standin"
)

const (
	// downloadPath is the path prefix of requests with large responses, to the first
	// service. The route is repeatable.
	downloadPath = "/fetch/"
	// meanDownloadBytes is the mean size of a large response.
	meanDownloadBytes = 90_000
	// downloadLinkMbps is the bandwidth that the settings name for each machine if
	// there are downloads.
	downloadLinkMbps = 50
	// downloadersPerMachine is the number of callers of a machine that fetch large
	// responses in a step of kindDownloads; every slowDownloaders-th of them reads
	// slowly, at minSlowRead to maxSlowRead bytes per second.
	downloadersPerMachine    = 6
	slowDownloaders          = 3
	minSlowRead, maxSlowRead = 20_000, 400_000
)

// addDownloads adds callers that fetch large responses to every machine.
func (c *cluster) addDownloads(s step) {
	ctx, cancel := context.WithTimeout(c.ctx, s.Duration)
	defer cancel()
	var callers sync.WaitGroup
	for _, m := range c.machines {
		for i := range downloadersPerMachine {
			rng := c.newRand(downloadStream, uint64(s.At)+uint64(m.index*downloadersPerMachine+i))
			callers.Go(func() { m.runDownloads(ctx, rng, i%slowDownloaders == 0) })
		}
	}
	callers.Wait()
}

// runDownloads fetches one large response after the other until ctx is done, each over a
// connection of its own.
func (m *machine) runDownloads(ctx context.Context, rng *rand.Rand, slow bool) {
	for ctx.Err() == nil {
		a := &attempt{
			Request: standin.Request{ID: fmt.Sprintf("%016x", rng.Uint64()), Method: http.MethodGet, Host: hostName, Deadline: requestDeadline},
			machine: m.index, service: m.service, slowReader: slow,
		}
		a.Path = downloadPath + formatHex(rng.Uint64()) + "-" + standin.SizeSuffix(1+int(rng.ExpFloat64()*meanDownloadBytes))
		pace := minSlowRead + rng.IntN(maxSlowRead-minSlowRead)
		conn, err := standin.Dial(address(m.processIP, callersPort), time.Second)
		if err != nil {
			time.Sleep(meanBatchPause)
			continue
		}
		if slow {
			conn.ReadSlowly(pace)
		}
		last, _ := m.sendBatch(conn, []*attempt{a})
		_ = conn.Close()
		time.Sleep(min(last.RetryAfter, maxRetryAfter))
	}
}

// digest stands in place of a large body in the observations.
func digest(body string) string {
	return fmt.Sprintf("%d bytes, CRC-32 %08x", len(body), crc32.ChecksumIEEE([]byte(body)))
}

// expectedBody returns the body of an instance's response to the request, or the digest of
// a large one.
func (a *attempt) expectedBody(instance string) string {
	body := standin.ResponseBodyOf(a.ID, instance, a.Path)
	if standin.ResponseSize(a.Path) > 0 {
		return digest(body)
	}
	return body
}
