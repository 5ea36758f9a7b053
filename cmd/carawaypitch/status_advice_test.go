package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/operator"
)

// Rate limits of backend servers must be listed; without any, there must be no empty table.
func TestStatusShowsServerAdvice(t *testing.T) {
	var out bytes.Buffer
	adviceTable(&out, operator.Status{})
	require.Empty(t, out.String())
	adviceTable(&out, operator.Status{Advice: []operator.Advice{{Server: "model-1", RateLimited: true, RatePerS: 2.5}}})
	require.Contains(t, out.String(), "model-1\t2.5\tfalse")
}
