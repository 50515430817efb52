package forward

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
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
