package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator is the platform's operator, who knows which machines serve control.
type operator struct {
	d       *deployment
	version int
	// sent is the last desired state.
	sent desired
}

// desired is a desired state.
type desired struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants,omitempty"`
}

// plainRoute is a route to a plain service.
func plainRoute(name, prefix, kind, service string, timeoutMS int) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "path_prefix": prefix, "type": kind, "timeout_ms": timeoutMS, "slo_ms": 300,
		"priority": 2, "backend": service, "max_attempts": 2, "public": false,
	}
}

// plainService is a plain service.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 120, "protocol": "h1", "tls": false}
}

var standardLimits = map[string]any{
	"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
}

// host is the name that all routes of the cases have.
const host = "cases.example"

// put sends a desired state until an instance acknowledges it.
func (o *operator) put(state desired, within time.Duration) error {
	o.version += 3
	state.Version = o.version
	o.sent = state
	data, err := json.Marshal(state)
	if err != nil {
		return err
	}
	end := time.Now().Add(within)
	for n := 0; time.Now().Before(end); n++ {
		instances := o.d.running("control")
		m := instances[n%len(instances)]
		status, _, err := call(http.MethodPut, o.d.address(m.ip, controlPort), "/carawaypitch/config", data, time.Second)
		o.d.record.write("operator: version %d to %s: %d %v", state.Version, m.name, status, err)
		if err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("version %d was not acknowledged", state.Version)
}

// readAt reads the desired state at an instance and returns its version, 0 without a clear answer.
func (o *operator) readAt(m *machine) int {
	status, body, err := call(http.MethodGet, o.d.address(m.ip, controlPort), "/carawaypitch/config", nil, time.Second)
	var read desired
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &read) != nil {
		return 0
	}
	return read.Version
}

// awaitReads waits until an instance answers reads with the newest version.
func (o *operator) awaitReads(m *machine, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if o.readAt(m) == o.version {
			return nil
		}
	}
	return fmt.Errorf("%s doesn't answer reads with version %d", m.name, o.version)
}

// awaitReady waits until an entry says that it is ready.
func (d *deployment) awaitReady(m *machine, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.isReady(m) {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", m.name)
}

func (d *deployment) isReady(m *machine) bool {
	status, _, err := call(http.MethodGet, d.address(m.ip, readyPort), "/carawaypitch/readyz", nil, time.Second)
	return err == nil && status == http.StatusOK
}

var callClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call to an interface of the system.
func call(method, address, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := callClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}
