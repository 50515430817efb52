package source_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/source"
	"heatherlift.example/heatherlift/internal/standin/rawserver"
)

// serveText returns a client of a service that answers each request with a text and closes
// the connection.
func serveText(t *testing.T, text string) *source.Client {
	t.Helper()
	client := source.NewClient("http://"+rawserver.Start(t, rawserver.Text(text)), nil)
	t.Cleanup(client.Close)
	return client
}

// Guards against a version or a list that rests on bytes that are no response.
func TestMalformedResponsesOfThePlatformAreNone(t *testing.T) {
	for name, head := range map[string]string{
		"blank in a name":        "HTTP/1.1 200 OK\r\nX A: b\r\n",
		"continued line":         "HTTP/1.1 200 OK\r\nX-A: b\r\n X-B: c\r\n",
		"LF in place of CR LF":   "HTTP/1.1 200 OK\n",
		"control byte in reason": "HTTP/1.1 200 O\x01K\r\n",
		"another version":        "HTTP/2.0 200 OK\r\n",
		"status 000":             "HTTP/1.1 000 \r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := serveText(t, head+"X-Revision: 7\r\nContent-Length: 2\r\n\r\n[]")
			_, err := client.Get(t.Context(), "a")
			is.True(errors.Is(err, source.ErrUnavailable))
			_, _, err = source.NewInstanceList(client).Read(t.Context())
			is.True(errors.Is(err, source.ErrUnavailable))
		})
	}
	t.Run("proper", func(t *testing.T) {
		is := is.New(t)
		client := serveText(t, "HTTP/1.1 200\r\nX-Revision:7\r\n\r\n[]")
		value, err := client.Get(t.Context(), "a")
		is.NoErr(err)
		is.Equal(value, source.Value{Revision: 7, Data: []byte("[]")})
		_, _, err = source.NewInstanceList(client).Read(t.Context())
		is.NoErr(err)
	})
}

// A list that breaks off behind its value is not whole.
func TestListThatBreaksOffIsNone(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n[]",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n",
		"more":   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[][]",
	} {
		t.Run(name, func(t *testing.T) {
			if _, _, err := source.NewInstanceList(serveText(t, text)).Read(t.Context()); err == nil {
				t.Error("read a list")
			}
		})
	}
}
