package main

import (
	_ "embed"
	"encoding/json"
)

// protocolText holds the names of the platform, which no Go file outside its adapter uses.
//
//go:embed protocol.json
var protocolText []byte

// words are the names of headers, paths, keys and fields of the platform.
type words struct {
	RequestID      string `json:"request_id"`
	Deadline       string `json:"deadline"`
	Stamp          string `json:"stamp"`
	ExpectInstance string `json:"expect_instance"`
	InstanceID     string `json:"instance_id"`
	NotExecuted    string `json:"not_executed"`
	ServerLoad     string `json:"server_load"`
	CallerService  string `json:"caller_service"`
	Era            string `json:"era"`
	// PathKey, PathRange and PathWatch are the calls of the store.
	PathKey   string `json:"path_key"`
	PathRange string `json:"path_range"`
	PathWatch string `json:"path_watch"`
	// Wait is the parameter of a watch, AtRevision the field of all answers.
	Wait             string `json:"wait"`
	AtRevision       string `json:"at_revision"`
	InstancePrefix   string `json:"instance_prefix"`
	ConfigurationKey string `json:"configuration_key"`
	// Slots and WarmUpLeft are fields of the entry of an upstream, the next three those of
	// a route.
	Slots         string `json:"slots"`
	WarmUpLeft    string `json:"warm_up_left"`
	ResourceType  string `json:"resource_type"`
	TargetLatency string `json:"target_latency"`
	NonIdempotent string `json:"unrepeatable"`
	// ReadyAddress is a field of the settings, and Bounds are those of the small sites.
	ReadyAddress string         `json:"ready_address"`
	Bounds       map[string]any `json:"bounds"`
}

var protocol = loadWords()

func loadWords() (w words) {
	if err := json.Unmarshal(protocolText, &w); err != nil {
		panic(err)
	}
	return w
}
