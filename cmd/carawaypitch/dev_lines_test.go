package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/link"
)

// The sample commands that dev prints are plain text. They fail for the user who copies them if a path, a flag or a class
// of the sample changes and the text does not.
func TestCommandsPrintedByDevSucceed(t *testing.T) {
	command := exec.Command(binaryPath, "dev", "-entry", "127.0.0.1:0", "-control", "127.0.0.1:0", "-data", t.TempDir())
	out, err := command.StdoutPipe()
	require.NoError(t, err)
	var log strings.Builder
	command.Stderr = &log
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGTERM)
		require.NoError(t, command.Wait())
		requireNoLinkFaults(t, log.String())
	})
	commands := 0
	for lines := bufio.NewScanner(out); lines.Scan() && lines.Text() != "Ctrl-C stops it."; {
		text, isCommand := strings.CutPrefix(lines.Text(), "  ")
		if !isCommand {
			continue
		}
		commands++
		text = strings.Replace(text, "curl -s", "curl -sf", 1) // makes curl fail on an HTTP error
		shell := exec.Command("bash", "-c", text)
		shell.Env = append(os.Environ(), "PATH="+filepath.Dir(binaryPath)+":"+os.Getenv("PATH"))
		answer, err := shell.CombinedOutput()
		require.NoError(t, err, "%s\n%s", text, answer)
		require.NotEmpty(t, answer, text)
	}
	require.Equal(t, 6, commands)
}

// requireNoLinkFaults fails if a link went down for another reason than missing heartbeats. Heartbeats may be late at any
// time before the stop, since all daemons of dev share one machine that may be busy. Links that are closed during the stop
// must not be logged as faults.
func requireNoLinkFaults(t *testing.T, log string) {
	t.Helper()
	for line := range strings.Lines(log) {
		down := strings.Contains(line, "event=link_down")
		if down && !strings.Contains(line, link.ErrSilent.Error()) {
			require.Fail(t, "the stop is logged as a link fault", line)
		}
	}
}
