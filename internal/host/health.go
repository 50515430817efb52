package host

import (
	"encoding/json"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/admission"
)

const healthTimeout = time.Second

// pollHealth polls the health endpoint of the backend server, and its load
// endpoint if there is one, until the host stops.
func (h *Host) pollHealth() {
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	backend := h.settings.BackendServer
	base := "http://" + backend.Address
	for h.sleep(time.Duration(backend.HealthInterval)) {
		h.step(admission.Checked{Health: h.probeHealth(client, base+backend.HealthPath)})
		if backend.LoadPath == "" {
			continue
		}
		if load, ok := h.fetchLoad(client, base+backend.LoadPath); ok {
			h.step(load)
		}
	}
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

// fetchLoad reads the backend server's load endpoint. It returns false if there
// is no usable report.
func (h *Host) fetchLoad(client *http.Client, url string) (admission.Loaded, bool) {
	resp, err := h.get(client, url)
	if err != nil {
		return admission.Loaded{}, false
	}
	defer resp.Body.Close()
	var report struct {
		Slots    int  `json:"slots"`
		Draining bool `json:"draining"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&report) != nil {
		return admission.Loaded{}, false
	}
	return admission.Loaded{Slots: report.Slots, Draining: report.Draining}, true
}

// get sends a GET request that is cancelled when the host stops.
func (h *Host) get(client *http.Client, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(h.ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(req)
}
