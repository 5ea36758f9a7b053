package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

// platformControls is a group of control instances as `carawaypitch platform control` runs them, each a process with a disk and
// an IP address of its own.
type platformControls struct {
	t       *testing.T
	ips     []string
	folders []string // data directories
	files   []string // settings files
	cmds    []*exec.Cmd
	logs    []*lockedBuffer
}

// Ports of the platform's settings files. The addresses are not shared with other tests, so any ports are free.
const (
	platformFirstPort    = 7100
	platformLastPort     = 7109
	platformOperatorPort = 7080
)

// platformDesired is a desired state with three services.
const platformDesired = `{"version":1,
 "routes":[
  {"name":"check","hostname":"a.example","path_prefix":"/check/","type":"safe","timeout_ms":1500,"slo_ms":300,"priority":1,"backend":"desk","max_attempts":3,"public":true},
  {"name":"hold","hostname":"a.example","path_prefix":"/hold/","type":"unsafe","timeout_ms":600,"slo_ms":100,"priority":2,"backend":"holds"},
  {"name":"list","hostname":"a.example","path_prefix":"/list/","type":"safe","timeout_ms":1500,"slo_ms":300,"priority":1,"backend":"lists","max_attempts":3,"public":true}],
 "services":[
  {"name":"desk","health_path":"/healthz","max_connections":120},
  {"name":"holds","health_path":"/healthz","max_connections":120},
  {"name":"lists","health_path":"/healthz","max_connections":120}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"org","api_keys":["k1"],"priority":1,"unit":"requests"}]}`

// startPlatformControls starts three instances with empty disks and gives them a desired state.
func startPlatformControls(t *testing.T) *platformControls {
	t.Helper()
	c := &platformControls{t: t}
	t.Cleanup(c.cleanup)
	folder := t.TempDir()
	for i := range controlInstances {
		ip, _, err := net.SplitHostPort(freeAddress(t))
		require.NoError(t, err)
		c.ips = append(c.ips, ip)
		c.folders = append(c.folders, filepath.Join(folder, fmt.Sprint("disk-", i+1)))
		c.files = append(c.files, filepath.Join(folder, fmt.Sprint("boot-", i+1, ".toml")))
		c.cmds = append(c.cmds, nil)
		c.logs = append(c.logs, &lockedBuffer{})
		require.NoError(t, os.Mkdir(c.folders[i], 0o700))
	}
	c.startAll(true)
	c.eventually("the desired state is accepted", func() bool {
		status, _ := c.call(0, http.MethodPut, "/carawaypitch/config", platformDesired)
		return status == http.StatusOK
	})
	return c
}

func (c *platformControls) cleanup() {
	for i := range c.cmds {
		c.kill(i)
		if c.t.Failed() {
			c.t.Logf("---- control instance %d\n%s", i+1, tail(c.logs[i].String()))
		}
	}
}

// startAll starts all instances. first says that all disks are empty.
func (c *platformControls) startAll(first bool) {
	c.t.Helper()
	var seeds []string
	for i := range c.ips {
		seeds = append(seeds, c.operators(i))
	}
	for i, ip := range c.ips {
		text, err := toml.Marshal(map[string]any{
			"node_name": fmt.Sprint("core-", i+1), "ip": ip, "zone": fmt.Sprint("zone-", i+1),
			"port_range": []int{platformFirstPort, platformLastPort}, "seeds": seeds, "bootstrap": first, "data_dir": c.folders[i],
			"listen":          map[string]any{"control_plane": c.operators(i)},
			"limits":          map[string]any{"memory_mb": 200, "disk_mb": 400},
			"bounds":          map[string]any{"grace_s": 6},
			"fault_tolerance": map[string]any{"machines": 1},
		})
		require.NoError(c.t, err)
		require.NoError(c.t, os.WriteFile(c.files[i], text, 0o600))
		c.start(i)
	}
}

func (c *platformControls) operators(i int) string {
	return net.JoinHostPort(c.ips[i], fmt.Sprint(platformOperatorPort))
}

func (c *platformControls) start(i int) {
	c.t.Helper()
	c.cmds[i] = exec.Command(binaryPath, "platform", "control")
	c.cmds[i].Env = append(os.Environ(), "CARAWAYPITCH_NODE_FILE="+c.files[i])
	c.cmds[i].Stdout, c.cmds[i].Stderr = c.logs[i], c.logs[i]
	require.NoError(c.t, c.cmds[i].Start())
}

// kill ends an instance with SIGKILL and waits for its exit. It does nothing if the instance does not run.
func (c *platformControls) kill(i int) {
	if c.cmds[i] == nil {
		return
	}
	_ = c.cmds[i].Process.Kill()
	_ = c.cmds[i].Wait()
	c.cmds[i] = nil
}

func (c *platformControls) killAll() {
	for i := range c.cmds {
		c.kill(i)
	}
}

func (c *platformControls) eventually(description string, condition func() bool) {
	c.t.Helper()
	require.Eventually(c.t, condition, waitTimeout, pollInterval, description)
}

// call calls an instance once. The status is 0 if there was no answer.
func (c *platformControls) call(i int, method, path, body string) (status int, text string) {
	request, err := http.NewRequest(method, "http://"+c.operators(i)+path, strings.NewReader(body))
	require.NoError(c.t, err)
	// A connection of a killed process must not be used again.
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// settled repeats a call until the answer is other than a temporary refusal, as operators do.
func (c *platformControls) settled(i int, method, path, body string) (status int, text string) {
	c.t.Helper()
	c.eventually("the call is answered", func() bool {
		status, text = c.call(i, method, path, body)
		return status != 0 && status != http.StatusServiceUnavailable
	})
	return status, text
}

func (c *platformControls) order(i int, body string) (status int, text string) {
	c.t.Helper()
	return c.settled(i, http.MethodPost, platformRollouts, body)
}

func (c *platformControls) read(i int, service string) (status int, text string) {
	c.t.Helper()
	return c.settled(i, http.MethodGet, platformRollouts+"/"+service, "")
}

// requireAtAll requires that every instance shows the state of a roll-out, each once it can confirm that with a quorum.
func (c *platformControls) requireAtAll(service, document string) {
	c.t.Helper()
	for i := range c.cmds {
		status, text := c.read(i, service)
		require.Equal(c.t, http.StatusOK, status, "instance %d: %s", i+1, text)
		require.JSONEq(c.t, document, text, "instance %d", i+1)
	}
}

// sendAndDrop sends an order to an instance over a connection that is closed before the answer is read.
func (c *platformControls) sendAndDrop(i int, body string) {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.operators(i))
	require.NoError(c.t, err)
	var request bytes.Buffer
	fmt.Fprintf(&request, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", platformRollouts, c.operators(i), len(body), body)
	_, err = conn.Write(request.Bytes())
	require.NoError(c.t, err)
	require.NoError(c.t, conn.Close())
}

const platformRollouts = "/carawaypitch/rollouts"

func rolloutOrder(service, to string) string {
	return fmt.Sprintf(`{"backend":%q,"to":%q,"duration_s":900}`, service, to)
}

const inProgressV2 = `{"state":"in_progress","to":"v2"}`

// Guards against programs that break the platform's contract of roll-outs though each package keeps its own: orders that are
// refused when they are resent, wrong statuses of refusals, and refused orders that change something.
func TestPlatformRolloutCalls(t *testing.T) {
	c := startPlatformControls(t)
	status, text := c.read(0, "desk")
	require.Equal(t, http.StatusNotFound, status, text)
	for _, body := range []string{
		"", "null", "{", "[]", `{"backend":"desk"}`, `{"backend":"desk","to":"v2"}`, `{"backend":"desk","to":2,"duration_s":900}`,
		`{"backend":"desk","to":"v2","duration_s":"900"}`, `{"backend":"desk","to":"v2","duration_s":0}`, rolloutOrder("nobody", "v2"),
	} {
		for i := range c.cmds {
			status, text := c.order(i, body)
			require.Equal(t, http.StatusBadRequest, status, "%s: %s", body, text)
		}
	}
	status, text = c.read(0, "desk")
	require.Equal(t, http.StatusNotFound, status, "refused orders change nothing: %s", text)

	for range 2 {
		for i := range c.cmds {
			status, text := c.order(i, rolloutOrder("desk", "v2"))
			require.Equal(t, http.StatusOK, status, "instance %d: %s", i+1, text)
			status, text = c.order(i, rolloutOrder("desk", "v3"))
			require.Equal(t, http.StatusConflict, status, "instance %d, another version: %s", i+1, text)
		}
	}
	status, text = c.order(1, rolloutOrder("holds", "v3"))
	require.Equal(t, http.StatusOK, status, "another service is independent: %s", text)
	c.requireAtAll("desk", inProgressV2)
	c.requireAtAll("holds", `{"state":"in_progress","to":"v3"}`)
}

// Guards against an acknowledged order that is lost, and an order that is refused or begun anew when it is resent to another
// instance because its acknowledgement was lost. The instance that was called first ends, then all end, then all end and one
// loses its disk.
func TestPlatformRolloutSurvivesLosses(t *testing.T) {
	c := startPlatformControls(t)

	// The order is committed when the acknowledgement is lost.
	c.sendAndDrop(0, rolloutOrder("desk", "v2"))
	c.eventually("the order of the closed connection is in force", func() bool {
		status, _ := c.call(1, http.MethodGet, platformRollouts+"/desk", "")
		return status == http.StatusOK
	})
	// Whether the order is committed is unknown.
	c.sendAndDrop(0, rolloutOrder("holds", "v2"))
	c.kill(0)
	for _, service := range []string{"desk", "holds"} {
		for _, i := range []int{1, 2, 1} {
			status, text := c.order(i, rolloutOrder(service, "v2"))
			require.Equal(t, http.StatusOK, status, "%s at instance %d: %s", service, i+1, text)
			require.JSONEq(t, inProgressV2, text)
		}
	}
	status, text := c.order(2, rolloutOrder("desk", "v3"))
	require.Equal(t, http.StatusConflict, status, text)

	for _, wipe := range []bool{false, true} {
		c.killAll()
		if wipe {
			require.NoError(t, os.RemoveAll(c.folders[1]))
			require.NoError(t, os.Mkdir(c.folders[1], 0o700))
		}
		c.startAll(false)
		c.requireAtAll("desk", inProgressV2)
		c.requireAtAll("holds", inProgressV2)
		for i := range c.cmds {
			status, text := c.order(i, rolloutOrder("desk", "v2"))
			require.Equal(t, http.StatusOK, status, "instance %d: %s", i+1, text)
			status, text = c.order(i, rolloutOrder("desk", "v3"))
			require.Equal(t, http.StatusConflict, status, "instance %d: %s", i+1, text)
		}
	}
}

// Guards against an order that is acknowledged before it is committed: one instance of three alone must not do so, and it must
// not state what it can't confirm.
func TestPlatformRolloutNeedsAQuorum(t *testing.T) {
	c := startPlatformControls(t)
	status, text := c.order(0, rolloutOrder("desk", "v2"))
	require.Equal(t, http.StatusOK, status, text)
	c.kill(1)
	c.kill(2)
	status, text = c.call(0, http.MethodPost, platformRollouts, rolloutOrder("holds", "v2"))
	require.Equal(t, http.StatusServiceUnavailable, status, text)
	status, text = c.call(0, http.MethodGet, platformRollouts+"/desk", "")
	require.Equal(t, http.StatusServiceUnavailable, status, text)
	c.start(1)
	c.start(2)
	c.requireAtAll("desk", inProgressV2)
	status, text = c.order(0, rolloutOrder("holds", "v2"))
	require.Equal(t, http.StatusOK, status, text)
	c.requireAtAll("holds", inProgressV2)
}
