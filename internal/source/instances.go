package source

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// maxListBytes bounds the size of the encoded list.
const maxListBytes = 16 << 20

// InstanceState is the state of an instance on the platform's list.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list of instances.
type Instance struct {
	ID               string        `json:"id"`
	Service          string        `json:"service"`
	AvailabilityZone string        `json:"availability_zone"`
	State            InstanceState `json:"state"`
	// Address is the IP address and port on which the proxy of the instance
	// accepts application requests that other proxies forward to it.
	Address string `json:"address"`
	// PeerAddress is the address on which that proxy accepts control messages
	// of other proxies, such as gossip, empty if the list does not provide it.
	PeerAddress string `json:"peer_address,omitempty"`
	// BackendAddress is the address of the backend server itself, empty if the
	// list does not provide it.
	BackendAddress string `json:"backend_address,omitempty"`
	// Slots is the number of requests that the backend server runs
	// concurrently, 0 if the list does not provide it.
	Slots int `json:"slots,omitempty"`
	// Incarnation changes with each start of the backend server; it is 0 if the
	// list does not provide it.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// WarmUpLeft is the time for which the backend server was still cold when its entry
	// was written, 0 if it was warm or the list does not provide it.
	WarmUpLeft time.Duration `json:"warm_up_left,omitempty"`
	// Revision is that at which the entry was written. The follower sets it.
	Revision uint64 `json:"-"`
}

// InstanceList reads the platform's list of instances. It caches the last list
// and its entity tag, so that an unchanged list is not transferred again if the
// platform supports entity tags. It is not safe for concurrent use.
type InstanceList struct {
	client *Client
	etag   string
	last   []Instance
}

// NewInstanceList returns an InstanceList that reads through client.
func NewInstanceList(client *Client) *InstanceList {
	return &InstanceList{client: client}
}

// Read returns the current list and whether it was transferred.
func (l *InstanceList) Read(ctx context.Context) (list []Instance, transferred bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, transferred, err = l.read(ctx)
	l.client.observe("instances", err)
	return list, transferred, err
}

func (l *InstanceList) read(ctx context.Context) ([]Instance, bool, error) {
	header := make(http.Header)
	if l.etag != "" {
		header.Set("If-None-Match", l.etag)
	}
	resp, err := l.client.sendRequest(ctx, "/v1/instances", header)
	if err != nil {
		return nil, false, err
	}
	defer drainAndClose(resp)
	switch {
	case resp.StatusCode == http.StatusNotModified && l.etag != "":
		return l.last, false, nil
	case resp.StatusCode != http.StatusOK:
		return nil, false, errors.Wrapf(ErrUnavailable, "instances: status %d", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return nil, false, errors.Wrapf(ErrUnavailable, "instances: %v", err)
	}
	if len(text) > maxListBytes {
		return nil, false, errors.Wrapf(ErrMalformed, "instances: list exceeds %d bytes", maxListBytes)
	}
	var list []Instance
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, false, errors.Wrapf(ErrMalformed, "instances: %v", err)
	}
	l.etag = resp.Header.Get("ETag")
	l.last = list
	return list, true, nil
}
