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

// Head reads the version in force at a proxy.
func (l *Lab) Head(i *Instance) (h node.Head, err error) {
	err = l.get("http://"+i.Settings.Listen.Admin+admin.HeadPath, &h)
	return h, err
}

// Status reads the status of a proxy.
func (l *Lab) Status(i *Instance) (s node.Status, err error) {
	err = l.get("http://"+i.Settings.Listen.Admin+admin.StatusPath, &s)
	return s, err
}

// Counters reads the calls that the platform stand-in has counted.
func (l *Lab) Counters() (c platform.Counters, err error) {
	err = l.get(l.PlatformURL()+"/standin/counters", &c)
	return c, err
}

// Ledger reads how often each request key ran at a backend server.
func (l *Lab) Ledger(i *Instance) (runs map[string]int, err error) {
	err = l.get("http://"+i.Settings.BackendServer.Address+"/standin/ledger", &runs)
	return runs, err
}

// Drain tells the backend server of an instance to drain.
func (l *Lab) Drain(i *Instance) error {
	_, err := l.send("http://"+i.Settings.BackendServer.Address+"/standin/drain", nil)
	return err
}

// SetFault makes the platform stand-in fail.
func (l *Lab) SetFault(f platform.Fault) error {
	return l.put("/standin/fault", map[string]platform.Fault{"mode": f})
}

func (l *Lab) get(url string, into any) error {
	resp, err := l.client.Get(url)
	if err != nil {
		return errors.Wrap(err, "lab")
	}
	defer resp.Body.Close()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), "lab")
}

func (l *Lab) put(path string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "lab")
	}
	_, err = l.send(l.PlatformURL()+path, text)
	return err
}

func (l *Lab) putValue(key string, text []byte) (uint64, error) {
	header, err := l.send(l.PlatformURL()+"/v1/values/"+key, text)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(header.Get(source.RevisionHeader), 10, 64)
}

func (l *Lab) send(url string, body []byte) (http.Header, error) {
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

// Answers reports whether a URL answers with 200.
func (l *Lab) Answers(url string) bool {
	resp, err := l.client.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Await waits for at most limit until a URL answers with 200.
func (l *Lab) Await(url string, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if l.Answers(url) {
			return nil
		}
	}
	return errors.Newf("lab: %s did not answer within %v", url, limit)
}

// await waits until a URL of a program that was just started answers.
func (l *Lab) await(url string) error { return l.Await(url, startTimeout) }

// ControlBytes reads how many bytes a proxy has sent to others for control.
func (l *Lab) ControlBytes(i *Instance) (uint64, error) {
	v, err := l.Metric(i, "heatherlift_peer_bytes_total", map[string]string{"direction": "sent"})
	return uint64(v), err
}

// Metric reads one sample of a proxy's metrics, 0 if there is none.
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
		if matches(m, labels) {
			return sample(m), nil
		}
	}
	return 0, nil
}

func matches(m *dto.Metric, labels map[string]string) bool {
	for _, pair := range m.GetLabel() {
		if want, ok := labels[pair.GetName()]; ok && want != pair.GetValue() {
			return false
		}
	}
	return true
}

func sample(m *dto.Metric) float64 {
	switch {
	case m.Counter != nil:
		return m.Counter.GetValue()
	case m.Gauge != nil:
		return m.Gauge.GetValue()
	default:
		return m.GetUntyped().GetValue()
	}
}
