// Command platform plays the cases of the second review: it starts the project's own programs as separate processes on
// loopback addresses, with stand-ins for callers, backend servers, operators and the platform around them.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are the bounds of the rules that a deployment's settings name.
type bounds struct {
	machines    int // machines with a disk that may be lost at once
	catchUp     time.Duration
	contact     time.Duration
	configApply time.Duration
	memoryMB    int
}

// grown holds the bounds of the installations with six machines with a disk.
var grown = bounds{
	machines: 2, catchUp: 6 * time.Second, contact: 4 * time.Second, configApply: 2500 * time.Millisecond, memoryMB: 112,
}

// small holds the bounds of the installations with three machines with a disk.
var small = bounds{
	machines: 1, catchUp: 4 * time.Second, contact: 3 * time.Second, configApply: 2 * time.Second, memoryMB: 134,
}

// deployment is one deployment on loopback addresses.
type deployment struct {
	record    *record
	bounds    bounds
	dir       string
	network   string // the first three numbers of all addresses
	port      int    // first port of each machine
	zones     []string
	contracts string

	mu        sync.Mutex
	machines  []*machine
	last      int
	bootstrap bool
}

const (
	callerPort  = 20 // offsets from the first port
	readyPort   = 21
	controlPort = 22
	serverPort  = 23
)

func newDeployment(r *record, b bounds) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: r, bounds: b, dir: dir, bootstrap: true, zones: []string{"zone-a", "zone-b", "zone-c"},
		contracts: `"base","drain","config","cost","retry","recover","engine","stream","tenants","quota"`,
	}
	for range 100 {
		d.network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
		d.port = 21000 + 50*rand.IntN(200)
		if d.isFree() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free ports on loopback addresses")
}

func (d *deployment) isFree() bool {
	for offset := range 25 {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", d.network, d.port+offset))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// newIP returns an address that no machine of the deployment has had.
func (d *deployment) newIP() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	return fmt.Sprintf("%s.%d", d.network, d.last)
}

func (d *deployment) address(ip string, offset int) string {
	return fmt.Sprintf("%s:%d", ip, d.port+offset)
}

// machine is one process of the deployment and the machine that it has for itself.
type machine struct {
	d       *deployment
	name    string
	role    string
	ip      string
	zone    string
	hasDisk bool
	app     string // address of the server beside an agent
	started time.Time

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// newMachine returns a machine whose process does not run yet.
func (d *deployment) newMachine(role, zone string, hasDisk bool) *machine {
	ip := d.newIP()
	m := &machine{d: d, name: role + "-" + strings.ReplaceAll(ip, ".", "-"), role: role, ip: ip, zone: zone, hasDisk: hasDisk}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machines = append(d.machines, m)
	return m
}

// addMachine returns a machine whose process has been started.
func (d *deployment) addMachine(role, zone string, hasDisk bool, seeds []*machine) (*machine, error) {
	m := d.newMachine(role, zone, hasDisk)
	return m, m.start(seeds)
}

func (m *machine) file(name string) string { return filepath.Join(m.d.dir, m.name+name) }

// writeSettings writes the settings file of the process, as the pages show it.
func (m *machine) writeSettings(seeds []*machine) error {
	d, b := m.d, m.d.bounds
	var text strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	line("node_name = %q\nrole = %q\nip = %q\nzone = %q\nregion = %q", m.name, m.role, m.ip, m.zone, "region-1")
	line("port_range = [%d,%d]", d.port, d.port+15)
	var quoted []string
	for _, seed := range seeds {
		quoted = append(quoted, fmt.Sprintf("%q", d.address(seed.ip, controlPort)))
	}
	line("seeds = [%s]", strings.Join(quoted, ","))
	line("bootstrap = %t\nin_tolerance = %t", d.bootstrap, m.hasDisk)
	if m.hasDisk {
		line("data_dir = %q", m.file("-data"))
	}
	line("discovery = \"registration\"\nentry_mode = \"vip\"\nheartbeat_ms = 1200\ncontracts = [%s]", d.contracts)
	line("config_mode = \"highest\"")
	if m.app != "" {
		line("app = %q", m.app)
	}
	line("[zones]")
	for _, zone := range d.zones {
		line("%s = \"region-1\"", zone)
	}
	line("[listen]")
	switch m.role {
	case "entry":
		line("frontend = %q\nready = %q", d.address(m.ip, callerPort), d.address(m.ip, readyPort))
	case "control":
		line("control_plane = %q", d.address(m.ip, controlPort))
	}
	line("[limits]\ncpu_quota = 0.72\ncores = 1\nmemory_mb = %d\nmax_fds = 4100\nlink_mbps = 1000.0", b.memoryMB)
	if m.hasDisk {
		line("disk_mb = 64")
	}
	line("[fault_tolerance]\nmachines = %d\nzones = 0\nregions = 0", b.machines)
	line("[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = %d\nack_ms = 5000", b.contact.Milliseconds())
	line("catch_up_s = %g\ndrain_ms = 2500\ngrace_s = 8\nloss_slack_ms = 200", b.catchUp.Seconds())
	line("config_apply_ms = %d\nback_ms = 250\nmax_stretch_ms = 6000", b.configApply.Milliseconds())
	line("strict_revocation = false\nrevoke_ms = 5000\nretry_ratio = 0.2\nretry_window_s = 10\nretry_allowance = 92")
	line("quota_window_s = 8\nquota_overrun = 0.1\nquota_allowance = 110000\nrecovery_s = 15\ndelivery_slack_ms = 200")
	line("reuse_window_s = 6.9")
	return os.WriteFile(m.file(".toml"), []byte(text.String()), 0o600)
}

// start writes the settings and starts the process with the command of the deploy file.
func (m *machine) start(seeds []*machine) error {
	if err := m.writeSettings(seeds); err != nil {
		return err
	}
	if m.hasDisk {
		if err := os.MkdirAll(m.file("-data"), 0o700); err != nil {
			return err
		}
	}
	output, err := os.OpenFile(m.file(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	process := exec.Command("target/carawaypitch", "platform", m.role)
	process.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"CARAWAYPITCH_NODE_FILE=" + m.file(".toml"),
	}
	process.Stdout, process.Stderr = output, output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended, m.started = process, ended, time.Now()
	m.mu.Unlock()
	go func() {
		err := process.Wait()
		m.d.record.write("%s ended: %v", m.name, err)
		close(ended)
	}()
	m.d.record.write("%s started at %s, zone %s, disk %t", m.name, m.ip, m.zone, m.hasDisk)
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.d.record.write("%s gets signal %d (%s)", m.name, int(s), s)
	_ = m.process.Process.Signal(s)
}

// isRunning reports whether the process runs.
func (m *machine) isRunning() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// awaitEnd waits until the process has ended, and kills it after the platform's grace.
func (m *machine) awaitEnd(grace time.Duration) {
	select {
	case <-m.ended:
	case <-time.After(grace):
		m.signal(syscall.SIGKILL)
		<-m.ended
	}
}

// running returns the machines of a role whose processes run, the oldest first.
func (d *deployment) running(role string) []*machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*machine
	for _, m := range d.machines {
		if m.role == role && m.isRunning() {
			out = append(out, m)
		}
	}
	return out
}

// stop ends all processes and removes the temporary folder.
func (d *deployment) stop() {
	d.mu.Lock()
	machines := d.machines
	d.mu.Unlock()
	for _, m := range machines {
		if m.isRunning() {
			_ = m.process.Process.Signal(syscall.SIGCONT)
			_ = m.process.Process.Kill()
			<-m.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", d.dir)
	}
}
