package main

import (
	"debug/elf"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// binaryPath is the path of the program under test, which TestMain builds.
var binaryPath string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the program in a temporary folder, runs the tests and returns their exit code.
func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "carawaypitch-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaryPath = filepath.Join(folder, "carawaypitch")
	build := exec.Command("go", "build", "-o", binaryPath, ".")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		return 1
	}
	return m.Run()
}

// A binary built without cgo is static. On the users' machines, whose programs are linked dynamically to the C library,
// it resolves no names or does not start.
func TestBinaryIsLinkedToLibc(t *testing.T) {
	file, err := elf.Open(binaryPath)
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	libraries, err := file.ImportedLibraries()
	require.NoError(t, err)
	require.Contains(t, strings.Join(libraries, " "), "libc.so")
	var interpreter bool
	for _, program := range file.Progs {
		interpreter = interpreter || program.Type == elf.PT_INTERP
	}
	require.True(t, interpreter, "no dynamic linker in the ELF header")
}

// CI and a developer run different tests if the test command is changed only in the README or only in the CI script.
func TestCIRunsReadmeTestCommand(t *testing.T) {
	const command = "go test ./..."
	readme, err := os.ReadFile("../../README.md")
	require.NoError(t, err)
	ci, err := os.ReadFile("../../.ci/run")
	require.NoError(t, err)
	require.Contains(t, string(readme), "\n"+command+"\n")
	require.Contains(t, string(ci), "\n"+command)
}

// Starting the sample deployments fails if a settings type changes and the sample files do not.
func TestExamplesAreValid(t *testing.T) {
	for _, deployment := range []string{"compost", "festival"} {
		files, err := filepath.Glob("../../examples/" + deployment + "/*.jsonc")
		require.NoError(t, err)
		require.Greater(t, len(files), 40)
		var withRole []string
		for _, file := range files {
			if filepath.Base(file) != "organisations.jsonc" {
				withRole = append(withRole, file)
			}
		}
		out, err := exec.Command(binaryPath, append([]string{"check"}, withRole...)...).CombinedOutput()
		require.NoError(t, err, "%s", out)
	}
}
