package host

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/response"
)

const (
	healthTimeout = time.Second
	// maxLoadReportBytes bounds a load report, which is a JSON object of two values and what
	// a backend server adds to them.
	maxLoadReportBytes = 64 << 10
)

// errLoadReport reports a load report that cannot be used.
var errLoadReport = errors.New("unusable load report of the backend server")

// pollHealth polls the health endpoint of the backend server, and its load
// endpoint if there is one, until the host stops.
func (h *Host) pollHealth() {
	client := h.newCheckClient()
	defer client.CloseIdleConnections()
	var reports loadReports
	backend := h.settings.BackendServer
	base := "http://" + backend.Address
	for h.sleep(time.Duration(backend.HealthInterval)) {
		h.step(admission.Checked{Health: h.probeHealth(client, base+backend.HealthPath)})
		if backend.LoadPath == "" {
			continue
		}
		load, err := h.fetchLoad(client, base+backend.LoadPath)
		if h.ctx.Err() != nil {
			return
		}
		h.logLoadReport(&reports, err)
		if err == nil {
			h.step(load)
		}
	}
}

// newCheckClient returns a client for checks of the backend server.
func (h *Host) newCheckClient() *http.Client {
	return &http.Client{Timeout: healthTimeout, Transport: newCheckTransport()}
}

// newCheckTransport returns a transport that accepts only well-formed responses.
func newCheckTransport() *http.Transport {
	return response.NewTransport((&net.Dialer{}).DialContext)
}

// probeHealth makes one health check.
func (h *Host) probeHealth(client *http.Client, url string) admission.Health {
	resp, err := h.get(client, url)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return admission.ConnectionRefused
	case err != nil:
		return admission.NoResponse
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return admission.Unhealthy
	}
	return admission.Healthy
}

// fetchLoad reads the backend server's load endpoint. The error is errLoadReport if there is
// no usable report.
func (h *Host) fetchLoad(client *http.Client, url string) (admission.Loaded, error) {
	resp, err := h.get(client, url)
	if err != nil {
		return admission.Loaded{}, errors.Wrapf(errLoadReport, "%v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return admission.Loaded{}, errors.Wrapf(errLoadReport, "status %d", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadReportBytes+1))
	if err != nil {
		return admission.Loaded{}, errors.Wrapf(errLoadReport, "%v", err)
	}
	if len(text) > maxLoadReportBytes {
		return admission.Loaded{}, errors.Wrapf(errLoadReport, "larger than %d bytes", maxLoadReportBytes)
	}
	var report struct {
		Slots    int  `json:"slots"`
		Draining bool `json:"draining"`
	}
	if err := json.Unmarshal(text, &report); err != nil {
		return admission.Loaded{}, errors.Wrapf(errLoadReport, "%v", err)
	}
	return admission.Loaded{Slots: report.Slots, Draining: report.Draining}, nil
}

// loadReports tells whether the latest load report was unusable.
type loadReports struct{ unusable bool }

// logLoadReport logs that load reports have become unusable, or usable again.
func (h *Host) logLoadReport(reports *loadReports, err error) {
	switch {
	case err != nil && !reports.unusable:
		h.log.Warn("load report unusable", "cause", err)
	case err == nil && reports.unusable:
		h.log.Info("load report usable")
	}
	reports.unusable = err != nil
}

// get sends a GET request that is cancelled when the host stops.
func (h *Host) get(client *http.Client, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(h.ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(req)
}
