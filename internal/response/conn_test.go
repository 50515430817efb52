package response

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// clientOf returns a client whose connections are Conns on which a server writes the texts,
// one for each request of a connection. The server closes the connection after them if it is
// told to.
func clientOf(t *testing.T, closes bool, texts ...string) *http.Client {
	t.Helper()
	dial := func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			_ = server.SetDeadline(time.Now().Add(5 * time.Second))
			r := bufio.NewReader(server)
			for _, text := range texts {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(server, text)
			}
			if !closes {
				_, _ = r.ReadByte()
			}
		}()
		return client, nil
	}
	transport := NewTransport(dial)
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 5 * time.Second}
}

// get returns the status and the body of a response.
func get(client *http.Client) (status int, body string, err error) {
	resp, err := client.Get("http://a/")
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func TestConnPassesWellFormedResponsesOn(t *testing.T) {
	for _, test := range wellFormed {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			client := clientOf(t, false, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+test.text, following)
			status, body, err := get(client)
			is.NoErr(err)
			is.Equal(status, test.status)
			is.Equal(body, test.body)
			status, body, err = get(client) // on the same connection
			is.NoErr(err)
			is.Equal(status, http.StatusAccepted)
			is.Equal(body, "next")
		})
	}
	t.Run("no length", func(t *testing.T) {
		is := is.New(t)
		_, body, err := get(clientOf(t, true, "HTTP/1.1 200 OK\r\n\r\nhello"))
		is.NoErr(err)
		is.Equal(body, "hello")
	})
}

func TestConnPassesNoMalformedResponseOn(t *testing.T) {
	for _, test := range append(malformedHeads,
		testCase{name: "chunk size", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n"},
		testCase{name: "chunk size of 63 bits", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\nhello"},
	) {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			_, _, err := get(clientOf(t, false, test.text))
			is.True(errors.Is(err, ErrMalformed))
			is.True(time.Since(start) < time.Second) // does not wait for what may follow
		})
	}
	t.Run("trailer", func(t *testing.T) {
		is := is.New(t)
		_, _, err := get(clientOf(t, false, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX A: b\r\n"))
		is.True(err != nil) // net/http replaces the error
	})
	t.Run("head too long", func(t *testing.T) {
		is := is.New(t)
		_, _, err := get(clientOf(t, false, "HTTP/1.1 200 OK\r\n"+strings.Repeat("X-A: b\r\n", MaxHeadBytes/8)))
		is.True(errors.Is(err, ErrHeadTooLong))
	})
	t.Run("breaks off", func(t *testing.T) {
		is := is.New(t)
		_, _, err := get(clientOf(t, true, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"))
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
	})
}
