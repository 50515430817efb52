package forward

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/routing"
)

func TestBackendReportIsReadFromHeader(t *testing.T) {
	d := Dialect{RateLimitHeader: "Limit", LeavingHeader: "Leaving"}
	for _, c := range []struct {
		limit, leaving string
		want           backendReport
		invalid        bool
	}{
		{"", "", backendReport{}, false},
		{"23.4", "", backendReport{rateLimit: 23.4, rateLimited: true}, false},
		{"0", "", backendReport{rateLimited: true}, false},
		{"8", "1", backendReport{rateLimit: 8, rateLimited: true, leaving: true}, false},
		{"", "1", backendReport{leaving: true}, false},
		{"-1", "", backendReport{}, true},
		{"NaN", "", backendReport{}, true},
		{"1e999", "", backendReport{}, true},
		{"Inf", "", backendReport{}, true},
		{"8/s", "1", backendReport{leaving: true}, true},
		{"8", "true", backendReport{rateLimit: 8, rateLimited: true}, true},
	} {
		t.Run(c.limit+","+c.leaving, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{}
			if c.limit != "" {
				h.Set("Limit", c.limit)
			}
			if c.leaving != "" {
				h.Set("Leaving", c.leaving)
			}
			report, err := d.backendReport(h)
			is.Equal(report, c.want)
			is.Equal(errors.Is(err, errBackendReport), c.invalid)
			native := NativeDialect()
			report, err = native.backendReport(h)
			is.NoErr(err)
			is.Equal(report, backendReport{})
		})
	}
}

func TestHopHeaderCarriesTheRateLimit(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	parse := func(hop string) (admission.Arrived, bool) {
		return parseHop(now, http.Header{http.CanonicalHeaderKey(hopHeader): {hop}})
	}
	a, ok := parse(formatHop(routing.Send{Repeatable: true, RateLimited: true, RateLimit: 23.4}, "q", 7, false, now))
	is.True(ok)
	is.True(a.RateLimited)
	is.Equal(a.RateLimit, 23.4)
	a, ok = parse(formatHop(routing.Send{Repeatable: true}, "q", 7, false, now))
	is.True(ok)
	is.True(!a.RateLimited)
	for _, invalid := range []string{"NaN", "-1", "x"} {
		_, ok = parse("f=7&s=1&l=" + invalid)
		is.True(!ok)
	}
}

// What a backend server states reaches admission beside it and routing at the entry, and
// the caller gets the headers unchanged.
func TestBackendReportReachesAdmissionAndRouting(t *testing.T) {
	is := is.New(t)
	g := &rig{runs: &runCounter{}, dialect: fullDialect()}
	g.dialect.RateLimitHeader, g.dialect.LeavingHeader = "X-Limit", "X-Leaving"
	g.start(t, rawServer(t, func(c net.Conn, r *bufio.Reader) {
		respondOnce(c, r, signedResponse("r1", "X-Limit: 7.5\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n"))
	}))
	resp, _, err := dialRaw(t, g.callersAddr).exchange(t, signedGet)
	is.NoErr(err)
	is.Equal(resp.Header.Get("X-Limit"), "7.5")
	is.Equal(resp.Header.Get("X-Leaving"), "1")
	g.core.mu.Lock()
	defer g.core.mu.Unlock()
	state := g.core.admission.State(time.Now())
	is.Equal(*state.RateLimit, 7.5)
	is.True(state.ReportedLeaving)
	is.Equal(g.core.reported, []routing.Reported{{ID: g.core.arrived[0].ID, RateLimit: 7.5, RateLimited: true, Leaving: true}})
}
