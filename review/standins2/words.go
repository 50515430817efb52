package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed protocol.json
var protocol []byte

// wire holds the platform's names. They stand in a file of their own, since the Go code of
// the project uses them in package platform only.
var wire = readWords()

// words are the names of headers, paths, keys and fields of the platform.
type words struct {
	RequestID        string   `json:"request_id"`
	Deadline         string   `json:"deadline"`
	Stamp            string   `json:"stamp"`
	ExpectInstance   string   `json:"expect_instance"`
	InstanceID       string   `json:"instance_id"`
	NotExecuted      string   `json:"not_executed"`
	CallerService    string   `json:"caller_service"`
	Era              string   `json:"era"`
	PathKey          string   `json:"path_key"`
	PathRange        string   `json:"path_range"`
	PathWatch        string   `json:"path_watch"`
	Wait             string   `json:"wait"`
	AtRevision       string   `json:"at_revision"`
	InstancePrefix   string   `json:"instance_prefix"`
	ConfigurationKey string   `json:"configuration_key"`
	Slots            string   `json:"slots"`
	WarmUpLeft       string   `json:"warm_up_left"`
	ResourceType     string   `json:"resource_type"`
	TargetLatency    string   `json:"target_latency"`
	Unrepeatable     string   `json:"unrepeatable"`
	Bounds           []string `json:"bounds"`
}

func readWords() words {
	var w words
	if err := json.Unmarshal(protocol, &w); err != nil {
		panic(err)
	}
	return w
}
