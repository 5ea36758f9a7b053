package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// docCommand is one command line of a documentation page.
type docCommand struct {
	page string
	line int
	text string
	exit string // documented exit code
}

var (
	// shBlock is a fenced block of shell commands.
	shBlock = regexp.MustCompile("(?ms)^```sh\n(.*?)^```$")
	// documentedExit is the trailing comment that documents a non-zero exit code of a command.
	documentedExit = regexp.MustCompile(`\s+# exits with (\d+): .*$`)
	// daemonCommand is a command that starts one daemon, or one for each file that matches a pattern.
	daemonCommand = regexp.MustCompile(`^(?:for f in (\S+); do )?bin/carawaypitch (control|agent|engine|entry) -settings (\S+) &(?: done)?$`)
)

// readCommands returns the lines of all sh blocks of a page, of which there must be at least one.
func readCommands(t *testing.T, page string) []docCommand {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("../..", page))
	require.NoError(t, err)
	var all []docCommand
	for _, at := range shBlock.FindAllSubmatchIndex(data, -1) {
		first := bytes.Count(data[:at[2]], []byte("\n")) + 1
		for i, text := range strings.Split(strings.TrimSpace(string(data[at[2]:at[3]])), "\n") {
			all = append(all, newDocCommand(page, first+i, text))
		}
	}
	require.NotEmpty(t, all)
	return all
}

func newDocCommand(page string, line int, text string) docCommand {
	command := docCommand{page: page, line: line, text: text, exit: "0"}
	if found := documentedExit.FindStringSubmatch(text); found != nil {
		command.exit = found[1]
		command.text = strings.TrimSuffix(text, found[0])
	}
	return command
}

// workspace is a folder laid out like the root of the repository, with the binary and the examples.
type workspace struct {
	t       testing.TB
	folder  string
	replace *strings.Replacer // from the addresses, keys and names in the pages to those of the cluster
}

// newWorkspace creates the folder. Addresses, keys and names of the sample deployment are mapped to those of the cluster.
func newWorkspace(c *cluster) *workspace {
	c.t.Helper()
	p := &workspace{t: c.t, folder: c.t.TempDir()}
	p.replace = strings.NewReplacer(
		"http://127.1.1.1:8090", c.controlURLs[0],
		"http://127.1.2.1:8090", c.controlURLs[1],
		"http://127.1.3.1:8090", c.controlURLs[2],
		"http://127.1.1.11:8080", c.entryURLs[0],
		"http://127.1.2.11:8080", c.entryURLs[1],
		"http://127.1.1.21:7100", c.agentURLs[0],
		"sample-operator-key-compost", c.operatorKey,
		"sample-key-zagreb-cistoca", c.callerKey,
		"sample-key-rijeka-kompost", c.callerKey,
		"Carawaypitch-Class: tipping-rules", "Carawaypitch-Class: summary",
		"operator.jsonc model-07", "operator.jsonc model-2",
	)
	require.NoError(c.t, os.CopyFS(filepath.Join(p.folder, "examples"), os.DirFS("../../examples")))
	require.NoError(c.t, os.Mkdir(filepath.Join(p.folder, "bin"), 0o755))
	require.NoError(c.t, os.Symlink(binaryPath, filepath.Join(p.folder, "bin", "carawaypitch")))
	p.rewrite("examples/compost/operator.jsonc")
	return p
}

// rewrite applies the replacements to a file of the workspace.
func (p *workspace) rewrite(name string) {
	file := filepath.Join(p.folder, name)
	data, err := os.ReadFile(file)
	require.NoError(p.t, err)
	require.NoError(p.t, os.WriteFile(file, []byte(p.replace.Replace(string(data))), 0o600))
}

// run runs a command and requires the documented exit code. If the command starts daemons, it only validates their
// settings files.
func (p *workspace) run(command docCommand) {
	p.t.Helper()
	if found := daemonCommand.FindStringSubmatch(command.text); found != nil {
		p.checkDaemons(command, found)
		return
	}
	shell := exec.Command("bash", "-u", "-o", "pipefail", "-c", p.replace.Replace(command.text))
	shell.Dir = p.folder
	shell.Env = append(os.Environ(), "CARAWAYPITCH_KEY=", "CARAWAYPITCH_OPERATOR_KEY=", "CARAWAYPITCH_CONTROL=", "CARAWAYPITCH_ENTRY=")
	out, err := shell.CombinedOutput()
	require.NotNil(p.t, shell.ProcessState, "%v", err)
	require.Equal(p.t, command.exit, fmt.Sprint(shell.ProcessState.ExitCode()), "%s:%d: %s\n%s", command.page, command.line, command.text, out)
}

// checkDaemons requires that the settings files of a daemon command exist, are valid and have the daemon's role.
func (p *workspace) checkDaemons(command docCommand, found []string) {
	p.t.Helper()
	pattern, role := found[1], found[2]
	if pattern == "" {
		pattern = found[3]
	}
	files, err := filepath.Glob(filepath.Join(p.folder, pattern))
	require.NoError(p.t, err)
	require.NotEmpty(p.t, files, "%s:%d", command.page, command.line)
	for _, file := range files {
		out, err := exec.Command(binaryPath, "check", file).CombinedOutput()
		require.NoError(p.t, err, "%s:%d: %s", command.page, command.line, out)
		require.Contains(p.t, string(out), "ok, role "+role, "%s:%d", command.page, command.line)
	}
}

// startWorkspace starts a cluster as the pages expect it, waits until all its backend servers are ready and both entries
// serve, and returns a workspace for it.
func startWorkspace(t *testing.T) *workspace {
	c := startCluster(t, "model-2")
	c.eventually(func() bool {
		status, err := c.operatorClient().Status(t.Context())
		ready := 0
		for _, target := range status.Targets {
			ready += target.ReadyServers
		}
		return err == nil && status.Confirmed && ready == len(c.engines)
	}, "the backend servers are not ready")
	for entry := range c.entries {
		c.eventually(func() bool {
			got, err := c.caller(entry).gateCheck()
			return err == nil && got.Status == 200
		}, "entry %d does not serve", entry)
	}
	return newWorkspace(c)
}

// A command of the operators' page fails if a flag, a name or an exit code changes and the page does not.
func TestCommandsOfTheOperatorsPage(t *testing.T) {
	p := startWorkspace(t)
	for _, command := range readCommands(t, "docs/OPERATORS.md") {
		p.run(command)
	}
}

// A command of the examples' page fails if a flag, a name or an exit code changes and the page does not. The first command
// is the build, which is not run: the workspace has the binary that TestMain built.
func TestCommandsOfTheExamplesPage(t *testing.T) {
	p := startWorkspace(t)
	const build = "go build -o bin/carawaypitch ./cmd/carawaypitch"
	commands := readCommands(t, "examples/README.md")
	require.Equal(t, build, commands[0].text)
	for _, command := range commands[1:] {
		p.run(command)
	}
}

// The help text of a subcommand that is added without examples or exit codes does not say how to use it.
func TestEachSubcommandHasHelpExamplesAndExitCodes(t *testing.T) {
	for _, group := range groups() {
		for _, command := range group.commands {
			out, err := exec.Command(binaryPath, "help", command.Name()).CombinedOutput()
			require.NoError(t, err, "%s", out)
			require.Regexp(t, `Examples?:\n`, string(out), command.Name())
			require.Contains(t, string(out), "Exit codes: 0 ", command.Name())
			require.Contains(t, string(out), "    carawaypitch "+command.Name(), command.Name())
		}
	}
}

// A script tells an invalid command line from a failed command by exit code 2.
func TestUsageErrorsExitWith2(t *testing.T) {
	for _, args := range [][]string{
		{"status", "extra"},
		{"servers", "extra"},
		{"status", "-nonsense"},
		{"nonsense"},
		{"class", "list", "-json"},
		{"class", "-key", "k", "move", "a"},
		{"target", "-key", "k", "gate-check"},
		{"drain"},
		{"rollout"},
		{"rollout", "-key", "k", "start", "registry", "v2"},
		{"rollout", "-key", "k", "-duration", "1ms", "start", "registry", "v2"},
		{"rollout", "-key", "k", "-duration", "1m", "start", "registry"},
		{"rollout", "-key", "k", "watch"},
		{"rollout", "-key", "k", "-interval", "0s", "watch", "registry"},
		{"rollout", "-key", "k", "status", "a", "b"},
		{"requests"},
		{"check"},
		{"control"},
	} {
		command := exec.Command(binaryPath, args...)
		command.Env = append(os.Environ(), "CARAWAYPITCH_KEY=", "CARAWAYPITCH_OPERATOR_KEY=")
		out, err := command.CombinedOutput()
		require.Error(t, err, "%v", args)
		require.Equal(t, 2, command.ProcessState.ExitCode(), "%v: %s", args, out)
	}
}
