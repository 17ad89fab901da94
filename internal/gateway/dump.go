package gateway

import (
	"sort"
	"time"
)

// Dump is the gateway's section of a state dump.
type Dump struct {
	Draining bool           `json:"draining"`
	Running  []RunningDump  `json:"running"`
	Waiting  map[string]int `json:"waiting"`
	Demand   []DemandDump   `json:"demand"`
}

// RunningDump is one running request in a state dump.
type RunningDump struct {
	RequestID    string `json:"requestId"`
	Organisation string `json:"organisation"`
	Model        string `json:"model"`
	Endpoint     string `json:"endpoint"`
	AgeMillis    int64  `json:"ageMillis"`
}

// DemandDump is the demand for one model or adapter in a state dump.
type DemandDump struct {
	Model           string  `json:"model"`
	TokensPerSecond float64 `json:"tokensPerSecond"`
	Queued          int32   `json:"queued"`
}

// DumpState returns the running and waiting requests, for the state dump.
func (g *Gateway) DumpState() any {
	now := g.config.Clock()
	dump := Dump{Draining: !g.config.Stop.Ready(), Waiting: g.scheduler.waitingByResource()}
	for _, r := range g.running.list() {
		dump.Running = append(dump.Running, r.dump(now))
	}
	sort.Slice(dump.Running, func(i, j int) bool { return dump.Running[i].AgeMillis > dump.Running[j].AgeMillis })
	for _, d := range g.Demand() {
		dump.Demand = append(dump.Demand, DemandDump{d.GetModel(), d.GetTokensPerSecond(), d.GetQueued()})
	}
	return dump
}

func (r *request) dump(now time.Time) RunningDump {
	described := r.describe(now)
	return RunningDump{
		RequestID:    described.RequestID,
		Organisation: described.Organisation,
		Model:        described.Model,
		Endpoint:     described.Endpoint,
		AgeMillis:    described.Age.Milliseconds(),
	}
}

func (r *request) describe(now time.Time) UnfinishedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return UnfinishedRequest{
		RequestID:    r.id,
		Organisation: r.caller.organisation.GetName(),
		Model:        r.model,
		Endpoint:     r.lastEndpoint,
		Age:          now.Sub(r.started),
	}
}

// setCallerAndModel records the caller and the requested model or service.
func (r *request) setCallerAndModel(principal caller, model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.caller = principal
	r.model = model
}

// setEndpoint records the endpoint of an attempt. It is called before the
// attempt's first byte is sent.
func (r *request) setEndpoint(endpointName string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastEndpoint = endpointName
}
