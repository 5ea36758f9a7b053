package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/operator"
)

// Callers are answered, and then the only model server is killed. If the status covered processes and versions only,
// operators would not see whether a class meets its target, or why a model lacks capacity.
func TestStatusReportsClassesAndShortTargets(t *testing.T) {
	c := startCluster(t)
	c.eventually(func() bool { return c.targetStatus(0, "sample").ReadyServers == 1 }, "the model is not ready")
	const calls = 20
	for i := range calls {
		got, err := c.caller(i % len(c.entries)).gateCheck()
		require.NoError(t, err)
		require.Equal(t, 200, got.Status, "%s", got.Body)
	}
	for i := range c.controls {
		c.eventually(func() bool { return c.classStatus(i, "gate-check").Good == calls }, "control-%d does not count all answers", i+1)
		require.True(t, c.classStatus(i, "gate-check").Meets)
	}
	c.engines[0].kill()
	for i := range c.controls {
		c.eventually(func() bool { return c.targetStatus(i, "sample").ShortBecause != "" }, "control-%d does not report why the model lacks capacity", i+1)
	}
}

// status returns the status of one control instance, or the zero value if that does not answer.
func (c *cluster) status(control int) operator.Status {
	status, err := c.operatorClient(control).Status(c.t.Context())
	if err != nil {
		return operator.Status{}
	}
	return status
}

// classStatus returns the status of a class at one control instance, or the zero value if it is not listed there.
func (c *cluster) classStatus(control int, name string) operator.ClassStatus {
	for _, class := range c.status(control).Classes {
		if class.Name == name {
			return class
		}
	}
	return operator.ClassStatus{}
}

// targetStatus returns the status of a model or service at one control instance, or the zero value if it is not listed
// there.
func (c *cluster) targetStatus(control int, name string) operator.Target {
	for _, target := range c.status(control).Targets {
		if target.Name == name {
			return target
		}
	}
	return operator.Target{}
}
