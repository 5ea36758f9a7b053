// Package docs_test checks that the pages name what there is.
package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/spec"
)

const (
	guaranteesPage = "GUARANTEES.md"
	// specificationRow begins the rows that name invariants and guards of package spec.
	specificationRow = "| specification |"
)

var (
	testName      = regexp.MustCompile("`([a-z/]+)\\.((?:Test|Fuzz)\\w+)`")
	testFunction  = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)\(`)
	fileName      = regexp.MustCompile("`([a-z/]+/[a-z_]+\\.(?:go|json))`")
	guardName     = regexp.MustCompile("`([a-z_]+)`")
	invariantName = regexp.MustCompile(`"([^"]+)"`)
)

func readGuarantees(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile(guaranteesPage)
	require.NoError(t, err)
	return string(page)
}

// testsOf returns the names of a package's tests.
func testsOf(t *testing.T, dir string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", dir, "*_test.go"))
	require.NoError(t, err)
	names := make(map[string]bool)
	for _, file := range files {
		source, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, match := range testFunction.FindAllStringSubmatch(string(source), -1) {
			names[match[1]] = true
		}
	}
	return names
}

// Symptom: a promise is thought to be tested, and isn't. Sequence: a test that the page names is renamed or removed.
// Cause: nothing ties the page to the tests.
func TestGuaranteesNameTestsThatExist(t *testing.T) {
	named := testName.FindAllStringSubmatch(readGuarantees(t), -1)
	require.NotEmpty(t, named)
	tests := make(map[string]map[string]bool)
	for _, match := range named {
		dir, name := match[1], match[2]
		if tests[dir] == nil {
			tests[dir] = testsOf(t, dir)
		}
		assert.True(t, tests[dir][name], "package %s has no %s", dir, name)
	}
}

func TestGuaranteesNameFilesThatExist(t *testing.T) {
	named := fileName.FindAllStringSubmatch(readGuarantees(t), -1)
	require.NotEmpty(t, named)
	for _, match := range named {
		assert.FileExists(t, filepath.Join("..", match[1]))
	}
}

// Each guard and invariant that the page names is one of the specification, and each one of those is on the page.
func TestGuaranteesNameTheSpecification(t *testing.T) {
	guards, invariants := make(map[string]bool), make(map[string]bool)
	for line := range strings.Lines(readGuarantees(t)) {
		if !strings.HasPrefix(line, specificationRow) {
			continue
		}
		for _, match := range guardName.FindAllStringSubmatch(line, -1) {
			guards[match[1]] = true
		}
		for _, match := range invariantName.FindAllStringSubmatch(line, -1) {
			invariants[match[1]] = true
		}
	}
	wantGuards, wantInvariants := make(map[string]bool), make(map[string]bool)
	for _, removal := range spec.Removals() {
		wantGuards[removal.Guard.String()] = true
		wantInvariants[string(removal.Invariant)] = true
	}
	require.Equal(t, wantGuards, guards)
	require.Equal(t, wantInvariants, invariants)
}
