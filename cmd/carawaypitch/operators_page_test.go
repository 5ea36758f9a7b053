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

// docCommand is one command line of a page.
type docCommand struct {
	page string
	line int
	text string
	exit string // documented exit code
}

var (
	shBlock = regexp.MustCompile("(?ms)^```sh\n(.*?)^```$")
	// documentedExit is the comment behind a command that fails as the page says.
	documentedExit = regexp.MustCompile(`\s+# exits with (\d+): .*$`)
	// daemonCommand starts one daemon, or one for each file of a pattern.
	daemonCommand = regexp.MustCompile(`^(?:for f in (\S+); do )?bin/carawaypitch (control|agent|engine|entry) -settings (\S+) &(?: done)?$`)
)

// readCommands gives the lines of all sh blocks of a page.
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

// workspace is a folder like the root of the repository, with the binary and the examples.
type workspace struct {
	t       testing.TB
	folder  string
	replace *strings.Replacer
}

// newWorkspace makes the folder. What the pages call the processes of the sample deployment are those of the cluster.
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

func (p *workspace) rewrite(name string) {
	file := filepath.Join(p.folder, name)
	data, err := os.ReadFile(file)
	require.NoError(p.t, err)
	require.NoError(p.t, os.WriteFile(file, []byte(p.replace.Replace(string(data))), 0o600))
}

// run runs a command and requires the documented exit code. Of one that starts daemons it checks the settings files.
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

// checkDaemons requires that each settings file of a daemon exists and is one of its role.
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

// startWorkspace starts a cluster as the pages expect it, with its backend servers announced.
func startWorkspace(t *testing.T) *workspace {
	c := startCluster(t, "model-2")
	c.eventually(func() bool {
		status, err := c.operatorClient().Status(t.Context())
		ready := 0
		for _, target := range status.Targets {
			ready += target.ReadyServers
		}
		return err == nil && status.Confirmed && ready == len(c.engines)
	}, "the backend servers aren't ready")
	for entry := range c.entries {
		c.eventually(func() bool {
			got, err := c.caller(entry).gateCheck()
			return err == nil && got.Status == 200
		}, "entry %d doesn't serve", entry)
	}
	return newWorkspace(c)
}

// Symptom: an operator follows the page and a command fails. Sequence: a flag, a name or an answer changed.
// Cause: the page wasn't changed with it.
func TestCommandsOfTheOperatorsPage(t *testing.T) {
	p := startWorkspace(t)
	for _, command := range readCommands(t, "docs/OPERATORS.md") {
		p.run(command)
	}
}

// Symptom: the first start by the examples' page fails. Sequence: as above. Cause: as above. The binary is the one that
// TestMain builds by the page's first command.
func TestCommandsOfTheExamplesPage(t *testing.T) {
	p := startWorkspace(t)
	const build = "go build -o bin/carawaypitch ./cmd/carawaypitch"
	commands := readCommands(t, "examples/README.md")
	require.Equal(t, build, commands[0].text)
	for _, command := range commands[1:] {
		p.run(command)
	}
}

// Symptom: a new subcommand's help doesn't say how to use it. Sequence: it was added without examples or exit codes.
// Cause: nothing asked for them.
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
