package host

import (
	"io"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"heatherlift.example/heatherlift/internal/settings"
)

var metricName = regexp.MustCompile(`fqName: "(heatherlift_[a-z_]+)"`)

func TestOperationsPageNamesEveryMetric(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	s := settings.Default()
	s.Peers.Plaintext = true
	h, err := New(s, log.New(io.Discard), nil, nil)
	is.NoErr(err)
	descs := make(chan *prometheus.Desc, 1000)
	h.metrics.registry.Describe(descs)
	close(descs)
	names := 0
	for d := range descs {
		m := metricName.FindStringSubmatch(d.String())
		if m == nil {
			continue
		}
		names++
		if !strings.Contains(string(page), "`"+m[1]+"`") {
			t.Errorf("docs/OPERATIONS.md does not name %s", m[1])
		}
	}
	is.True(names > 0)
}
