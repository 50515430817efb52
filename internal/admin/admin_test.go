package admin

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/routing"
	"heatherlift.example/heatherlift/internal/source"
)

// fakeProxy returns a fixed status.
type fakeProxy struct{ status node.Status }

func (f fakeProxy) Head() node.Head     { return node.Head{ID: f.status.ID} }
func (f fakeProxy) Status() node.Status { return f.status }
func (f fakeProxy) Readiness() node.Readiness {
	return node.Readiness{Ready: f.status.Ready, Leaving: f.status.Leaving, Waiting: f.status.Waiting}
}
func (f fakeProxy) Dump() node.Dump { return node.Dump{Status: f.status} }
func (f fakeProxy) Explain(org, method, path string) routing.Explanation {
	return routing.Explanation{Version: uint64(len(org + method + path))}
}
func (f fakeProxy) Gatherer() prometheus.Gatherer { return prometheus.NewRegistry() }

func get(f fakeProxy, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	Handler(f).ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

func TestReadiness(t *testing.T) {
	cases := []struct {
		name   string
		status node.Status
		code   int
		body   string
	}{
		{"ready", node.Status{Ready: true}, http.StatusOK, ""},
		{"waiting", node.Status{Waiting: "no version yet"}, http.StatusServiceUnavailable, "no version yet\n"},
		{"leaving", node.Status{Leaving: true}, http.StatusServiceUnavailable, "leaving\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := get(fakeProxy{c.status}, "/readyz")
			is.Equal(w.Code, c.code)
			is.Equal(w.Body.String(), c.body)
		})
	}
}

func TestExplainForwardsQueryParameters(t *testing.T) {
	w := get(fakeProxy{}, ExplainPath+"?organisation=ab&method=GET&path=/x")
	is.New(t).True(strings.Contains(w.Body.String(), `"version": 7`))
}

func TestPageShowsZonesAndLaggingInstances(t *testing.T) {
	is := is.New(t)
	s := node.Status{ID: "desk-0", Version: 9, InForce: 8}
	for n := range 200 {
		r := member.Record{ID: fmt.Sprintf("desk-%d", n), AvailabilityZone: fmt.Sprintf("zone-%d", n%3), Version: 9, Ready: true}
		if n == 7 {
			r.Version = 8
		}
		s.Fleet = append(s.Fleet, r)
	}
	s.Evacuation = &node.EvacuationStats{Evacuations: []node.Evacuation{{Zone: "zone-2", Position: source.Position{Era: 1, Revision: 7}, Since: time.Unix(5, 0)}}}
	s.Events = []node.JournalEntry{{At: time.Unix(0, 0), What: "version in force", Cause: "<b>9</b>"}}
	body := get(fakeProxy{s}, "/").Body.String()
	is.True(strings.Contains(body, "200, of which 1 do not enforce version 9"))
	is.True(strings.Contains(body, "zone-1: 67 instances, 1 behind"))
	is.True(strings.Contains(body, `class="cell lags" title=", alive, version 8, ready true">desk-7<`))
	is.True(strings.Contains(body, "evacuated<td>zone zone-2, era 1, revision 7, since 1970-01-01T00:00:05Z"))
	is.True(strings.Contains(body, "&lt;b&gt;9&lt;/b&gt;")) // text in events is HTML-escaped
}
