package lab

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"heatherlift.example/heatherlift/internal/admin"
	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/source"
	"heatherlift.example/heatherlift/internal/standin/platform"
)

// Head returns the configuration version in force at a proxy, with the proxy's
// role and readiness.
func (l *Lab) Head(i *Instance) (h node.Head, err error) {
	err = l.getJSON("http://"+i.Settings.Listen.Admin+admin.HeadPath, &h)
	return h, err
}

// Status returns the status of a proxy.
func (l *Lab) Status(i *Instance) (s node.Status, err error) {
	err = l.getJSON("http://"+i.Settings.Listen.Admin+admin.StatusPath, &s)
	return s, err
}

// Counters returns the call counters of the simulated platform.
func (l *Lab) Counters() (c platform.Counters, err error) {
	err = l.getJSON(l.PlatformURL()+"/standin/counters", &c)
	return c, err
}

// RunCounts returns the number of times that the backend server of an instance ran
// each request, by the key in backend.RequestKeyHeader.
func (l *Lab) RunCounts(i *Instance) (runs map[string]int, err error) {
	err = l.getJSON("http://"+i.Settings.BackendServer.Address+"/standin/ledger", &runs)
	return runs, err
}

// Drain makes the backend server of an instance refuse new requests.
func (l *Lab) Drain(i *Instance) error {
	_, err := l.putRequest("http://"+i.Settings.BackendServer.Address+"/standin/drain", nil)
	return err
}

// SetFault injects a fault into the simulated platform.
func (l *Lab) SetFault(f platform.Fault) error {
	return l.putToPlatform("/standin/fault", map[string]platform.Fault{"mode": f})
}

func (l *Lab) getJSON(url string, target any) error {
	resp, err := l.client.Get(url)
	if err != nil {
		return errors.Wrap(err, "lab")
	}
	defer resp.Body.Close()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(target), "lab")
}

// putToPlatform sends v as JSON to a path of the simulated platform.
func (l *Lab) putToPlatform(path string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "lab")
	}
	_, err = l.putRequest(l.PlatformURL()+path, text)
	return err
}

// putValue stores a value in the configuration service of the simulated platform
// and returns its revision.
func (l *Lab) putValue(key string, text []byte) (uint64, error) {
	header, err := l.putRequest(l.PlatformURL()+"/v1/values/"+key, text)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(header.Get(source.RevisionHeader), 10, 64)
}

func (l *Lab) putRequest(url string, body []byte) (http.Header, error) {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "lab")
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "lab")
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("lab: %s: status %d", url, resp.StatusCode)
	}
	return resp.Header, nil
}

// RespondsOK reports whether a GET of the URL returns status 200.
func (l *Lab) RespondsOK(url string) bool {
	resp, err := l.client.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitForURL polls a URL for at most limit until it returns status 200.
func (l *Lab) WaitForURL(url string, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if l.RespondsOK(url) {
			return nil
		}
	}
	return errors.Newf("lab: %s did not return status 200 within %v", url, limit)
}

// awaitStartup polls a URL of a newly started program until it returns status
// 200.
func (l *Lab) awaitStartup(url string) error { return l.WaitForURL(url, startTimeout) }

// PeerBytesSent returns the number of bytes that a proxy has sent to its peers as
// control traffic.
func (l *Lab) PeerBytesSent(i *Instance) (uint64, error) {
	v, err := l.Metric(i, "heatherlift_peer_bytes_total", map[string]string{"direction": "sent"})
	return uint64(v), err
}

// Metric returns the value of the first sample of a proxy's metric that matches
// the labels, or 0 if there is none.
func (l *Lab) Metric(i *Instance, name string, labels map[string]string) (float64, error) {
	resp, err := l.client.Get("http://" + i.Settings.Listen.Admin + "/metrics")
	if err != nil {
		return 0, errors.Wrap(err, "lab")
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return 0, errors.Wrap(err, "lab")
	}
	for _, m := range families[name].GetMetric() {
		if matchesLabels(m, labels) {
			return sampleValue(m), nil
		}
	}
	return 0, nil
}

// matchesLabels reports whether no label of the sample has another value than the
// one in labels. Labels that the sample lacks are ignored.
func matchesLabels(m *dto.Metric, labels map[string]string) bool {
	for _, pair := range m.GetLabel() {
		if want, ok := labels[pair.GetName()]; ok && want != pair.GetValue() {
			return false
		}
	}
	return true
}

func sampleValue(m *dto.Metric) float64 {
	switch {
	case m.Counter != nil:
		return m.Counter.GetValue()
	case m.Gauge != nil:
		return m.Gauge.GetValue()
	default:
		return m.GetUntyped().GetValue()
	}
}
