package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/operator"
)

// Guards against a name that the status shows and that clear doesn't take.
func TestNamesOfPoisonAreParsed(t *testing.T) {
	for text, want := range map[string]operator.Poison{
		"union/2a":    {Organisation: "union", Fingerprint: "2a"},
		"/2a":         {Fingerprint: "2a"},
		"a/b/2a":      {Organisation: "a/b", Fingerprint: "2a"},
		"sample#5c1e": {Target: "sample", Fingerprint: "5c1e"},
	} {
		got, ok := parsePoison(text)
		require.True(t, ok, text)
		require.Equal(t, want, got)
	}
	for _, text := range []string{"", "union", "union/", "#5c1e", "sample#"} {
		_, ok := parsePoison(text)
		require.False(t, ok, text)
	}
}

// Requests during which servers crashed must be listed; without any, there must be no empty table.
func TestStatusShowsPoisonRequests(t *testing.T) {
	var out bytes.Buffer
	poisonTable(&out, operator.Status{})
	require.Empty(t, out.String())
	poisonTable(&out, operator.Status{Poison: []operator.Poison{{
		Organisation: "union", Fingerprint: "000000000000002a", Standing: "quarantined", Servers: []string{"a", "b", "c"}, LeftMS: 7_199_600,
	}}})
	poisonTable(&out, operator.Status{Poison: []operator.Poison{{
		Organisation: "union", Target: "sample", Fingerprint: "000000000000002b", Standing: "watched", LeftMS: 1000,
	}}})
	require.Contains(t, out.String(), "sample#000000000000002b\tunion\twatched\t1s\t\n")
	require.Contains(t, out.String(), "000000000000002a\tunion\tquarantined\t2h0m0s\ta, b, c\n")
}
