package host

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/forward"
	"heatherlift.example/heatherlift/internal/settings"
	"heatherlift.example/heatherlift/internal/standin/rawserver"
)

// checkedHost returns a host whose backend server answers each request by a function, which
// then closes the connection.
func checkedHost(t *testing.T, out io.Writer, respond func(c net.Conn)) *Host {
	t.Helper()
	s := settings.Default()
	s.Peers.Plaintext = true
	s.BackendServer.Address = rawserver.Start(t, respond)
	h, err := New(s, log.New(out), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	h.ctx, h.cancel = context.WithCancel(t.Context())
	t.Cleanup(h.cancel)
	h.dialect = forward.Dialect{WarmUpHeader: "Left-Ms"}
	return h
}

const loadReport = `{"slots":5,"draining":true}`

func loadResponse(head string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(loadReport), loadReport)
}

// Guards against a belief that rests on bytes that are no response: that a backend server is
// healthy, has free slots, or is warm.
func TestMalformedResponsesToChecksAreNone(t *testing.T) {
	for name, text := range map[string]string{
		"blank in a name":         loadResponse("HTTP/1.1 200 OK\r\nX A: b\r\n"),
		"blank after a name":      loadResponse("HTTP/1.1 200 OK\r\nLeft-Ms : 1500\r\n"),
		"continued line":          loadResponse("HTTP/1.1 200 OK\r\nX-A: b\r\n Left-Ms: 1500\r\n"),
		"LF in place of CR LF":    loadResponse("HTTP/1.1 200 OK\nLeft-Ms: 1500\r\n"),
		"control byte in reason":  loadResponse("HTTP/1.1 200 O\x01K\r\n"),
		"another version":         loadResponse("HTTP/2.0 200 OK\r\n"),
		"status 000":              loadResponse("HTTP/1.1 000 \r\n"),
		"informational, with one": loadResponse("HTTP/1.1 103 Early Hints\r\n") + loadResponse("HTTP/1.1 200 OK\r\n"),
		"two framings":            loadResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := checkedHost(t, io.Discard, rawserver.Text(text))
			client := h.newCheckClient()
			base := "http://" + h.settings.BackendServer.Address
			is.Equal(h.probeHealth(client, base), admission.NoResponse)
			_, err := h.fetchLoad(client, base)
			is.True(err != nil)
			is.Equal(h.checkWarmUp("/"), admission.WarmUpChecked{})
		})
	}
}

func TestUnusualResponsesToChecksAreRead(t *testing.T) {
	for name, text := range map[string]string{
		"length":    loadResponse("HTTP/1.1 200 OK\r\nLeft-Ms:1500\r\n"),
		"no reason": loadResponse("HTTP/1.1 200\r\nLeft-Ms: 1500 \r\n"),
		"no length": "HTTP/1.1 200 OK\r\nLeft-Ms: 1500\r\n\r\n" + loadReport + "\n",
		"HTTP/1.0":  "HTTP/1.0 200 OK\r\nLeft-Ms: 1500\r\n\r\n" + loadReport,
		"chunks":    fmt.Sprintf("HTTP/1.1 200 OK\r\nLeft-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-A: b\r\n\r\n", len(loadReport), loadReport),
		"long":      "HTTP/1.1 200 OK\r\nLeft-Ms: 1500\r\n\r\n" + loadReport + strings.Repeat(" ", 60<<10),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := checkedHost(t, io.Discard, rawserver.Text(text))
			client := h.newCheckClient()
			base := "http://" + h.settings.BackendServer.Address
			is.Equal(h.probeHealth(client, base), admission.Healthy)
			load, err := h.fetchLoad(client, base)
			is.NoErr(err)
			is.Equal(load, admission.Loaded{Slots: 5, Draining: true})
			is.Equal(h.checkWarmUp("/"), admission.WarmUpChecked{Left: 1500 * time.Millisecond, Stated: true})
		})
	}
}

// A load report that breaks off after its value is not whole.
func TestLoadReportThatBreaksOffIsNone(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + loadReport,
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(loadReport), loadReport),
		"more":   "HTTP/1.1 200 OK\r\n\r\n" + loadReport + loadReport,
	} {
		t.Run(name, func(t *testing.T) {
			h := checkedHost(t, io.Discard, rawserver.Text(text))
			if load, err := h.fetchLoad(h.newCheckClient(), "http://"+h.settings.BackendServer.Address); err == nil {
				t.Errorf("read %+v", load)
			}
		})
	}
}

// maxCheckAllocation bounds what one check may allocate in all, for a response that does not
// end.
const maxCheckAllocation = 4 << 20

// Guards against the end of the process by the memory of one check: a backend server in
// trouble may send bytes without end.
func TestResponsesToChecksWithoutEndAreBounded(t *testing.T) {
	for name, test := range map[string]struct{ prefix, part string }{
		"string":          {"HTTP/1.1 200 OK\r\n\r\n\"", "x"},
		"field of report": {"HTTP/1.1 200 OK\r\n\r\n{\"slots\":5,\"x\":\"", "x"},
		"fields":          {"HTTP/1.1 200 OK\r\n\r\n{\"slots\":5", ",\"a\":[{}]"},
		"blanks":          {"HTTP/1.1 200 OK\r\n\r\n", " "},
		"digits":          {"HTTP/1.1 200 OK\r\n\r\n", "1"},
		"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\n  \r\n"},
		"trailers":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
		"status line":     {"HTTP/1.1 200 ", "OK"},
		"one field":       {"HTTP/1.1 200 OK\r\nX-A: ", "b"},
		"header fields":   {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"informational":   {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"no protocol":     {"", "garbage "},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			part := []byte(strings.Repeat(test.part, 1+64<<10/len(test.part)))
			h := checkedHost(t, io.Discard, func(c net.Conn) {
				_, err := io.WriteString(c, test.prefix)
				for err == nil {
					_, err = c.Write(part)
				}
			})
			client := h.newCheckClient()
			base := "http://" + h.settings.BackendServer.Address
			for kind, check := range map[string]func(){
				"health":  func() { _ = h.probeHealth(client, base) },
				"load":    func() { _, _ = h.fetchLoad(client, base) },
				"warm-up": func() { _ = h.checkWarmUp("/") },
			} {
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				start := time.Now()
				check()
				runtime.ReadMemStats(&after)
				if n := after.TotalAlloc - before.TotalAlloc; n > maxCheckAllocation {
					t.Errorf("%s: %d MB allocated", kind, n>>20)
				}
				is.True(time.Since(start) < healthTimeout) // refused at the bound, not at the timeout
			}
		})
	}
}

// An unusable load report is logged when it begins and when it ends, not each time.
func TestLoadReportsAreLoggedWhenTheyChange(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	h := checkedHost(t, &out, rawserver.Text(""))
	var reports loadReports
	for range 3 {
		h.logLoadReport(&reports, io.ErrUnexpectedEOF)
	}
	h.logLoadReport(&reports, nil)
	h.logLoadReport(&reports, nil)
	is.Equal(strings.Count(out.String(), "load report unusable"), 1)
	is.Equal(strings.Count(out.String(), "load report usable"), 1)
}
