package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Offsets of a machine's ports from the first port of the deployment. The first ones are the port range for links between
// daemons.
const (
	linkPorts    = 8
	portFrontend = linkPorts
	portReady    = linkPorts + 1
	portControl  = linkPorts + 2
	portServer   = linkPorts + 3
	portCount    = linkPorts + 4
)

// heartbeat is the interval of a server's pings, as in the settings of the processes.
const heartbeat = 1200 * time.Millisecond

// defaultDrainTime is drain_ms of the site of cases 1 and 3.
const defaultDrainTime = 2 * time.Second

// binary is the program that the build of the deploy file makes.
const binary = "target/carawaypitch"

// deployment is a small deployment of the project's programs on loopback addresses. Each machine has an address of its own.
type deployment struct {
	log       *record
	dir       string
	firstPort int
	drainTime time.Duration // drain_ms of the settings

	mu        sync.Mutex
	processes map[string]*exec.Cmd
}

// newDeployment finds free ports for the given number of machines.
func newDeployment(log *record, machines int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{log: log, dir: dir, drainTime: defaultDrainTime, processes: make(map[string]*exec.Cmd)}
	for first := 21000; first < 30000; first += 2 * portCount {
		if portsFree(first, machines) {
			d.firstPort = first
			return d, nil
		}
	}
	return nil, errors.New("no free ports")
}

func portsFree(first, machines int) bool {
	for machine := range machines {
		for port := range portCount {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", machineIP(machine), first+port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

// machineIP returns the loopback address of a machine.
func machineIP(machine int) string { return fmt.Sprintf("127.0.0.%d", 11+machine) }

func (d *deployment) address(machine, port int) string {
	return fmt.Sprintf("%s:%d", machineIP(machine), d.firstPort+port)
}

// seeds returns the operators' addresses of the first three machines.
func (d *deployment) seeds() []string {
	return []string{d.address(0, portControl), d.address(1, portControl), d.address(2, portControl)}
}

// settingsText has the fields of the settings of a machine, and the values that the bench shows for the site of cases 1 and 3. Machines
// are in one zone.
const settingsText = `node_name = "edge-%[1]d"
role = "%[2]s"
machine_class = "%[3]s"
serves = [%[4]s]
ip = "%[5]s"
zone = "zagreb-a"
region = "region-a"
port_range = [%[6]d,%[7]d]
seeds = ["%[8]s"]
bootstrap = %[9]t
in_tolerance = true
data_dir = "%[10]s"
discovery = "registration"
entry_mode = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota"]
config_mode = "highest"
app = "%[11]s"
[zones]
zagreb-a = "region-a"
[listen]
%[12]s
[limits]
cpu_quota = 0.72
cores = 1
memory_mb = 134
max_fds = 4100
link_mbps = 1000.0
disk_mb = 64
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = %[13]d
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
back_ms = 250
max_stretch_ms = 5000
strict_revocation = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_allowance = 60
quota_window_s = 8
quota_overrun = 0.1
quota_allowance = 110000
recovery_s = 12
delivery_slack_ms = 120
reuse_window_s = 6.9
`

// start starts a role of the deploy file (entry, control or agent) on a machine.
func (d *deployment) start(role string, machine int, bootstrap bool) error {
	name := fmt.Sprintf("%s-%d", role, machine)
	dataDir, app, class, serves, listen := "", "", "edge", `"edge"`, ""
	switch role {
	case "entry":
		listen = fmt.Sprintf("frontend = %q\nready = %q", d.address(machine, portFrontend), d.address(machine, portReady))
	case "control":
		serves = `"control"`
		listen = fmt.Sprintf("control_plane = %q", d.address(machine, portControl))
		dataDir = filepath.Join(d.dir, name)
		if err := os.MkdirAll(dataDir, 0o755); err != nil {
			return err
		}
	case "agent":
		class, serves = "side", `"side"`
		app = d.address(machine, portServer)
	}
	text := fmt.Sprintf(settingsText, machine, role, class, serves, machineIP(machine), d.firstPort, d.firstPort+linkPorts-1,
		strings.Join(d.seeds(), `","`), bootstrap, dataDir, app, listen, d.drainTime.Milliseconds())
	file := filepath.Join(d.dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(binary, "platform", role)
	command.Env = append(os.Environ(), "CARAWAYPITCH_NODE_FILE="+file)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.processes[name] = command
	d.mu.Unlock()
	d.log.printf("started %s", name)
	return nil
}

// stop ends all processes. The logs are kept if the environment names a folder for them.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, command := range d.processes {
		_ = command.Process.Kill()
	}
	for _, command := range d.processes {
		_ = command.Wait()
	}
	if to := os.Getenv("KEEP_LOGS"); to != "" {
		_ = os.CopyFS(to, os.DirFS(d.dir))
	}
	_ = os.RemoveAll(d.dir)
}

// putDesired sends a desired state until it is acknowledged.
func (d *deployment) putDesired(ctx context.Context, desired map[string]any) error {
	body, err := json.Marshal(desired)
	if err != nil {
		return err
	}
	for try := 0; ; try++ {
		address := d.seeds()[try%3]
		status, answer, err := call(ctx, http.MethodPut, "http://"+address+"/carawaypitch/config", body)
		if err == nil && status == http.StatusOK {
			d.log.printf("desired state %v acknowledged by %s", desired["version"], address)
			return nil
		}
		if err == nil && status >= 400 && status < 500 && status != 408 && status != 429 {
			return fmt.Errorf("desired state refused: %d %s", status, answer)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("desired state not acknowledged: %d %w", status, ctx.Err())
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// awaitReady waits until the entry on a machine says that it is ready.
func (d *deployment) awaitReady(ctx context.Context, machine int) error {
	for {
		status, _, err := call(ctx, http.MethodGet, "http://"+d.address(machine, portReady)+"/carawaypitch/readyz", nil)
		if err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("entry %d not ready: %w", machine, ctx.Err())
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// call makes one call on a connection of its own and returns status and body.
func call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Close = true
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
