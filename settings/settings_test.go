package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

// Digests of the keys "alpha" and "beta" with fixed salts.
var (
	alphaDigest = NewDigest("alpha", []byte("0123456789abcdef"))
	betaDigest  = NewDigest("beta", []byte("fedcba9876543210"))
)

const entryText = `{
	// The smallest entry instance.
	"role": "entry",
	"instance": "entry-1",
	"availability_zone": "zg-1",
	"listen": {"callers": "127.0.0.1:8080"},
	"controls": ["127.0.0.1:9001"],
}`

const agentText = `{
	"role": "agent", "instance": "agent-1", "availability_zone": "zg-1",
	"listen": {"http": "127.0.0.1:8081", "links": "127.0.0.1:9002"},
	"controls": ["127.0.0.1:9001"]
}`

const controlText = `{
	"role": "control", "instance": "control-1", "availability_zone": "zg-1",
	"listen": {"operators": "127.0.0.1:8090", "links": "127.0.0.1:9001"},
	"replicas": [{"instance": "control-1", "address": "127.0.0.1:9001"}],
	"bootstrap": true,
	"data_dir": "data",
	"operators": [{"name": "ops", "key_digests": ["DIGEST"]}],
	"initial_classes": [
		{"name": "summary", "tier": 2, "deadline_ms": 20000, "late_max": 0.05, "kind": "model", "preempt": "allowed"}
	]
}`

func noFile(string) ([]byte, error) { return nil, errors.New("no file") }

func withDigest(text string) string { return strings.ReplaceAll(text, "DIGEST", alphaDigest) }

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// diagnosticsOf parses text as T, which must fail, and returns the diagnostics.
func diagnosticsOf[T any](t *testing.T, text string) *Diagnostics {
	t.Helper()
	_, err := parse[T]([]byte(text), "/etc/s.jsonc", noFile)
	var diagnostics *Diagnostics
	require.ErrorAs(t, err, &diagnostics)
	return diagnostics
}

// Guards against missing defaults, derived values and resolved paths in the settings of a role.
func TestLoadEachRole(t *testing.T) {
	entry, err := Load[Entry](writeFile(t, "e", entryText))
	require.NoError(t, err)
	want := DefaultEntry()
	want.Instance, want.AvailabilityZone = "entry-1", "zg-1"
	want.Listen.Callers, want.Controls = "127.0.0.1:8080", []string{"127.0.0.1:9001"}
	require.Equal(t, &want, entry)

	agent, err := Load[Agent](writeFile(t, "a", agentText))
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:9002", agent.Advertise)
	require.Equal(t, AgentSuspension{Enabled: false, MaxPerRun: 3}, agent.Suspension)

	path := writeFile(t, "c", withDigest(controlText))
	control, err := Load[Control](path)
	require.NoError(t, err)
	require.Equal(t, filepath.Join(filepath.Dir(path), "data"), control.DataDir)
	require.Equal(t, log.InfoLevel, control.Log.Level)
	require.Equal(t, 20000, control.InitialClasses[0].DeadlineMS)

	operator, err := Load[Operator](writeFile(t, "o", `{"role": "operator", "controls": ["http://127.0.0.1:8090"], "key": "k"}`))
	require.NoError(t, err)
	require.Equal(t, "k", operator.Key)
	_, err = Load[int](path)
	require.Error(t, err)
}

// Guards against validating a file as the settings of another role, and against a missing error for an unreadable file.
func TestCheckPicksTheTypeByRole(t *testing.T) {
	cases := []struct {
		text string
		role Role
		want string
	}{
		{entryText, RoleEntry, ""},
		{agentText, RoleAgent, ""},
		{withDigest(controlText), RoleControl, ""},
		{`{"role": "operator"}`, RoleOperator, `the key "key" is missing`},
		{`{"role": "balancer"}`, "", `got "balancer"`},
		{`{"role": 1}`, "", "want one of"},
		{`[]`, "", "want one of"},
		{`{`, "", "settings_syntax"},
	}
	for _, c := range cases {
		role, err := Check(writeFile(t, "s", c.text))
		require.Equal(t, c.role, role)
		if c.want == "" {
			require.NoError(t, err)
			continue
		}
		require.ErrorContains(t, err, c.want)
	}
	_, err := Check(t.TempDir())
	require.Equal(t, result.SettingsUnreadable, result.CodeOf(err))
	_, err = Load[Entry](filepath.Join(t.TempDir(), "none"))
	require.Equal(t, result.SettingsUnreadable, result.CodeOf(err))
}

// Guards against reporting only the first of several errors in a file, which would cost the operator one start of the
// process for each error. It happens if decoding or validation stops at an error.
func TestAllDiagnosticsAreReportedWithPositions(t *testing.T) {
	text := `{
  "role": "entry",
  "instance": "entry 1",
  "listen": {"callers": "localhost:8080"},
  "controls": ["127.0.0.1:9001", "127.0.0.1:9001", 3],
  "weights": {"summary": 2},
  "limits": {"max_body": 4, "max_queued": "many", "max_queued": 1},
  "timing": {"heartbeat": 250, "drain": "0s"},
  "log": {"level": "loud"}
}`
	want := []struct {
		code         result.Code
		path         string
		line, column int
	}{
		{result.SettingsMissingKey, "availability_zone", 1, 1},
		{result.SettingsOutOfRange, "instance", 3, 15},
		{result.SettingsBadAddress, "listen.callers", 4, 25},
		{result.SettingsDuplicateName, "controls[1]", 5, 34},
		{result.SettingsWrongType, "controls[2]", 5, 52},
		{result.SettingsUnknownField, "weights", 6, 3},
		{result.SettingsWrongUnit, "limits.max_body", 7, 26},
		{result.SettingsWrongType, "limits.max_queued", 7, 43},
		{result.SettingsWrongUnit, "timing.heartbeat", 8, 27},
		{result.SettingsOutOfRange, "timing.drain", 8, 41},
		{result.SettingsOutOfRange, "log.level", 9, 20},
	}
	got := diagnosticsOf[Entry](t, text).List
	require.Len(t, got, len(want), got)
	for i, w := range want {
		require.Equal(t, w.path, got[i].Path)
		require.Equal(t, w.code, got[i].Code, w.path)
		require.Equal(t, [2]int{w.line, w.column}, [2]int{got[i].Line, got[i].Column}, w.path)
	}
	require.Equal(t, `/etc/s.jsonc:6:3: weights: field "weights" is refused: weights are never set; `+
		`give a class its targets instead (1601 settings_unknown_field)`, got[5].String())
}

// Guards against an invalid value that is accepted, has a wrong code or path, or is reported more than once.
func TestSingleDiagnostics(t *testing.T) {
	cases := []struct {
		old, replacement string
		code             result.Code
		path             string
	}{
		{`"role": "control"`, `"role": "entry"`, result.SettingsOutOfRange, "role"},
		{`"role": "control",`, ``, result.SettingsMissingKey, "role"},
		{`"bootstrap": true`, `"bootstrap": 1`, result.SettingsWrongType, "bootstrap"},
		{`"bootstrap": true`, `"bootstrap": null`, result.SettingsWrongType, "bootstrap"},
		{`"bootstrap": true`, `"Bootstrap": true`, result.SettingsUnknownField, "Bootstrap"},
		{`"bootstrap": true`, `"servers": []`, result.SettingsUnknownField, "servers"},
		{`"127.0.0.1:8090"`, `"127.0.0.1:9001"`, result.SettingsPortClash, "listen.links"},
		{`"127.0.0.1:8090"`, `"0.0.0.0:9001"`, result.SettingsPortClash, "listen.links"},
		{`"links": "127.0.0.1:9001"`, `"links": "0.0.0.0:9001"`, result.SettingsMissingKey, "advertise"},
		{`"address": "127.0.0.1:9001"`, `"address": "127.0.0.1:0"`, result.SettingsBadAddress, "replicas[0].address"},
		{`"address": "127.0.0.1:9001"`, `"address": "127.0.0.1:9009"`, result.SettingsOutOfRange, "replicas[0].address"},
		{`"instance": "control-1", "address"`, `"instance": "c", "address"`, result.SettingsMissingKey, "replicas"},
		{`"data_dir": "data"`, `"data_dir": ""`, result.SettingsMissingKey, "data_dir"},
		{`"DIGEST"`, `"alpha"`, result.SettingsBadDigest, "operators[0].key_digests[0]"},
		{`"DIGEST"`, `"DIGEST", "DIGEST"`, result.SettingsDuplicateName, "operators[0].key_digests[1]"},
		{`["DIGEST"]`, `[]`, result.SettingsMissingKey, "operators[0].key_digests"},
		{`"tier": 2`, `"tier": 4`, result.SettingsOutOfRange, "initial_classes[0].tier"},
		{`"tier": 2`, `"tier": 1.5`, result.SettingsWrongType, "initial_classes[0].tier"},
		{`0.05`, `1.05`, result.SettingsOutOfRange, "initial_classes[0].late_max"},
		{`"kind": "model"`, `"kind": "disk"`, result.SettingsOutOfRange, "initial_classes[0].kind"},
		{`"allowed"`, `"maybe"`, result.SettingsOutOfRange, "initial_classes[0].preempt"},
		{`"bootstrap"`, `"timing": {"election": "200ms"}, "bootstrap"`, result.SettingsOutOfRange, "timing.election"},
		{`"bootstrap"`, `"tls": {"key": "k"}, "bootstrap"`, result.SettingsTLS, "tls"},
		{`"bootstrap"`, `"operator_tls": {"key": "k", "certificate": "c"}, "bootstrap"`, result.SettingsTLS, "operator_tls"},
		{`"bootstrap"`, `"organisations_file": "f", "bootstrap"`, result.SettingsUnreadable, "organisations_file"},
		{`"bootstrap"`, `"organisations": {}, "bootstrap"`, result.SettingsWrongType, "organisations"},
	}
	for _, c := range cases {
		require.Contains(t, controlText, c.old)
		text := withDigest(strings.Replace(controlText, c.old, c.replacement, 1))
		got := diagnosticsOf[Control](t, text)
		require.Len(t, got.List, 1, "%s\n%s", c.replacement, got)
		require.True(t, got.Has(c.code, c.path), "%s\n%s", c.replacement, got)
	}
}

// Guards against a placement block whose invalid values are accepted, or that is on by default.
func TestPlacementSettings(t *testing.T) {
	with := func(text, block string) string {
		return strings.Replace(text, `"role"`, `"placement": `+block+`, "role"`, 1)
	}
	entry, err := parse[Entry]([]byte(entryText), "/etc/s.jsonc", noFile)
	require.NoError(t, err)
	require.False(t, entry.Placement.ByLength)
	entry, err = parse[Entry]([]byte(with(entryText, `{"by_length": true}`)), "/etc/s.jsonc", noFile)
	require.NoError(t, err)
	require.True(t, entry.Placement.ByLength)
	agent, err := parse[Agent]([]byte(agentText), "/etc/s.jsonc", noFile)
	require.NoError(t, err)
	require.False(t, agent.Placement.FewServersFirst)
	agent, err = parse[Agent]([]byte(with(agentText, `{"few_servers_first": true}`)), "/etc/s.jsonc", noFile)
	require.NoError(t, err)
	require.True(t, agent.Placement.FewServersFirst)
	check := func(got *Diagnostics, code result.Code, path string) {
		require.Len(t, got.List, 1, "%s", got)
		require.True(t, got.Has(code, path), "%s", got)
	}
	check(diagnosticsOf[Entry](t, with(entryText, `{"by_length": 1}`)), result.SettingsWrongType, "placement.by_length")
	check(diagnosticsOf[Entry](t, with(entryText, `{"few_servers_first": true}`)), result.SettingsUnknownField, "placement.few_servers_first")
	check(diagnosticsOf[Agent](t, with(agentText, `{"few_servers_first": "yes"}`)), result.SettingsWrongType, "placement.few_servers_first")
	check(diagnosticsOf[Agent](t, with(agentText, `{"by_length": true}`)), result.SettingsUnknownField, "placement.by_length")
}

// Guards against a suspension block whose invalid values are accepted, with which no run or each run for ever would be
// suspended.
func TestSuspensionSettings(t *testing.T) {
	withBlock := func(block string) string {
		return strings.Replace(agentText, `"role"`, `"suspension": `+block+`, "role"`, 1)
	}
	agent, err := parse[Agent]([]byte(withBlock(`{"enabled": true, "max_per_run": 1}`)), "/etc/s.jsonc", noFile)
	require.NoError(t, err)
	require.Equal(t, AgentSuspension{Enabled: true, MaxPerRun: 1}, agent.Suspension)
	for block, want := range map[string]struct {
		code result.Code
		path string
	}{
		`{"max_per_run": 0}`:   {result.SettingsOutOfRange, "suspension.max_per_run"},
		`{"max_per_run": 1.5}`: {result.SettingsWrongType, "suspension.max_per_run"},
		`{"enabled": 1}`:       {result.SettingsWrongType, "suspension.enabled"},
		`{"on": true}`:         {result.SettingsUnknownField, "suspension.on"},
	} {
		got := diagnosticsOf[Agent](t, withBlock(block))
		require.Len(t, got.List, 1, "%s\n%s", block, got)
		require.True(t, got.Has(want.code, want.path), "%s\n%s", block, got)
	}
}

// Guards against a stack overflow at the start of the process. A recursive parser overflows the stack on a settings
// file of a megabyte of opening brackets.
func TestSyntaxErrorsAndNestingLimits(t *testing.T) {
	const maxDepth = 20_000
	deep := strings.Repeat("[", maxDepth)
	large := strings.Repeat(" ", 1<<20)
	for _, text := range []string{
		"", "{", entryText + "{}", entryText + "x", deep, deep + "[", large + entryText, strings.Repeat("[", 1<<20),
		strings.Repeat(`{"a":`, maxDepth+1), deep + strings.Repeat("]", maxDepth) + "x",
	} {
		require.Equal(t, result.SettingsSyntax, diagnosticsOf[Entry](t, text).List[0].Code)
	}
}

// Guards against a key in the log of a failed start. A settings file may contain a key instead of its digest, and a
// diagnostic that quotes the rejected value would reveal it.
func TestDiagnosticsDoNotContainKeys(t *testing.T) {
	text := strings.Replace(controlText, "DIGEST", "s3cret", 1)
	require.NotContains(t, diagnosticsOf[Control](t, text).Error(), "s3cret")
}

// Guards against organisations of a separate file that are ignored, not validated, or reported at a position in the
// wrong file.
func TestOrganisationsFile(t *testing.T) {
	dir := t.TempDir()
	organisation := fmt.Sprintf(`{"name": "kom", "key_digests": [%q], "default_class": "summary"}`, alphaDigest)
	writeNamed := func(name, text string) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	mainText := strings.Replace(entryText, `"role"`, `"organisations_file": "orgs", "role"`, 1)
	writeNamed("main", mainText)
	writeNamed("orgs", `{"organisations": [`+organisation+`]}`)
	entry, err := Load[Entry](filepath.Join(dir, "main"))
	require.NoError(t, err)
	require.Equal(t, "kom", entry.Organisations[0].Name)
	require.Empty(t, entry.OrganisationsFile)

	writeNamed("orgs", "{\"organisations\": [\n"+organisation+",\n"+organisation+"]}")
	_, err = Load[Entry](filepath.Join(dir, "main"))
	var diagnostics *Diagnostics
	require.ErrorAs(t, err, &diagnostics)
	require.True(t, diagnostics.Has(result.SettingsDuplicateName, "organisations[1].name"))
	require.True(t, diagnostics.Has(result.SettingsDuplicateName, "organisations[1].key_digests[0]"))
	require.Equal(t, filepath.Join(dir, "orgs"), diagnostics.List[0].File)
	require.Equal(t, 3, diagnostics.List[0].Line)

	writeNamed("main", strings.Replace(mainText, `"role"`, `"organisations": [`+organisation+`], "role"`, 1))
	_, err = Load[Entry](filepath.Join(dir, "main"))
	require.ErrorContains(t, err, "not both")
}

// Guards against accepting a number without a unit, a sign, or a size that overflows.
func TestUnits(t *testing.T) {
	sizes := map[string]Size{"0B": 0, "1B": 1, "4MiB": 4 * MiB, "3GiB": 3 * GiB, "1536KiB": 1536 * KiB}
	for text, want := range sizes {
		got, err := ParseSize(text)
		require.NoError(t, err)
		require.Equal(t, want, got)
		require.Equal(t, text, got.String())
	}
	for _, text := range []string{"", "4", "4MB", "-1B", "1.5MiB", "MiB", "9223372036854775807GiB", " 1B"} {
		_, err := ParseSize(text)
		require.Error(t, err, text)
	}
	for _, text := range []string{"", "0", "5", "-1s", "+1s", "1 s", "s"} {
		_, err := parseDuration(text)
		require.Error(t, err, text)
	}
	d, err := parseDuration("1m30s")
	require.NoError(t, err)
	require.Equal(t, 90*time.Second, d)
}

// Guards against partly replaced or empty settings after a reload of an invalid file, which happens if a reload decodes
// into the current settings.
func TestReloadKeepsOldSettingsOnError(t *testing.T) {
	path := writeFile(t, "s", entryText)
	reloader, err := NewReloader[Entry](path)
	require.NoError(t, err)
	old := reloader.Get()
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(entryText, "8080", "99999", 1)), 0o600))
	require.Error(t, reloader.Reload(path))
	require.Same(t, old, reloader.Get())
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(entryText, "8080", "8088", 1)), 0o600))
	require.NoError(t, reloader.Reload(path))
	require.Equal(t, "127.0.0.1:8088", reloader.Get().Listen.Callers)
	require.Equal(t, "127.0.0.1:8080", old.Listen.Callers)
	_, err = NewReloader[Agent](path)
	require.Error(t, err)
}
