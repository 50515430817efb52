package source

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxInstanceBytes bounds the text of the list.
const maxInstanceBytes = 16 << 20

// InstanceState is the state of an instance on the platform's list.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one line of the platform's list of instances.
type Instance struct {
	ID               string        `json:"id"`
	Service          string        `json:"service"`
	AvailabilityZone string        `json:"availability_zone"`
	State            InstanceState `json:"state"`
	// Address is the IP address and port at which the proxy beside the
	// instance listens for other proxies.
	Address string `json:"address"`
	// PeerAddress serves messages of other proxies, empty if the list does not
	// tell it.
	PeerAddress string `json:"peer_address,omitempty"`
	// BackendAddress is the address of the backend server itself, empty if
	// the list does not tell it.
	BackendAddress string `json:"backend_address,omitempty"`
	// Slots is the number of requests that the backend server runs at once, 0
	// if the list does not tell it.
	Slots int `json:"slots,omitempty"`
	// Incarnation changes with each start of the backend server, 0 if the
	// list does not tell it.
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// InstanceList reads the platform's list of instances. It remembers the last
// one, so that an unchanged list is not transferred again if the platform
// gives entity tags. It is not safe for concurrent use.
type InstanceList struct {
	client *Client
	tag    string
	last   []Instance
}

// NewInstanceList returns a list that is read through client.
func NewInstanceList(client *Client) *InstanceList {
	return &InstanceList{client: client}
}

// Read returns the present list and whether it had to be transferred.
func (l *InstanceList) Read(ctx context.Context) (list []Instance, transferred bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, transferred, err = l.read(ctx)
	l.client.calls("instances", err)
	return list, transferred, err
}

func (l *InstanceList) read(ctx context.Context) ([]Instance, bool, error) {
	header := make(http.Header)
	if l.tag != "" {
		header.Set("If-None-Match", l.tag)
	}
	resp, err := l.client.call(ctx, "/v1/instances", header)
	if err != nil {
		return nil, false, err
	}
	defer drain(resp)
	switch {
	case resp.StatusCode == http.StatusNotModified && l.tag != "":
		return l.last, false, nil
	case resp.StatusCode != http.StatusOK:
		return nil, false, errors.Wrapf(ErrUnavailable, "instances: status %d", resp.StatusCode)
	}
	var list []Instance
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxInstanceBytes)).Decode(&list); err != nil {
		return nil, false, errors.Wrapf(ErrMalformed, "instances: %v", err)
	}
	l.tag = resp.Header.Get("ETag")
	l.last = list
	return list, true, nil
}
