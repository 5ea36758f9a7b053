package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/operator"
)

// Symptom: operators don't see that a class misses its target, or why. Sequence: callers are answered; then the only
// model server is killed. Cause: the status knows processes and versions only.
func TestStatusReportsClassesAndShortTargets(t *testing.T) {
	c := startCluster(t)
	c.eventually(func() bool { return c.targetStatus(0, "sample").ReadyServers == 1 }, "the model isn't ready")
	const calls = 20
	for i := range calls {
		got, err := c.caller(i % len(c.entries)).gateCheck()
		require.NoError(t, err)
		require.Equal(t, 200, got.Status, "%s", got.Body)
	}
	for i := range c.controls {
		c.eventually(func() bool { return c.classStatus(i, "gate-check").Good == calls }, "control-%d doesn't show the answers", i+1)
		require.True(t, c.classStatus(i, "gate-check").Meets)
	}
	c.engines[0].kill()
	for i := range c.controls {
		c.eventually(func() bool { return c.targetStatus(i, "sample").ShortBecause != "" }, "control-%d doesn't tell what is short", i+1)
	}
}

// status asks one control instance, and gives nothing while it doesn't answer.
func (c *cluster) status(control int) operator.Status {
	status, err := c.operatorClient(control).Status(c.t.Context())
	if err != nil {
		return operator.Status{}
	}
	return status
}

func (c *cluster) classStatus(control int, name string) operator.ClassStatus {
	for _, class := range c.status(control).Classes {
		if class.Name == name {
			return class
		}
	}
	return operator.ClassStatus{}
}

func (c *cluster) targetStatus(control int, name string) operator.Target {
	for _, target := range c.status(control).Targets {
		if target.Name == name {
			return target
		}
	}
	return operator.Target{}
}
