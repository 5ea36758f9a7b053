package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/operator"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/settings"
)

// testClass returns a valid class with the given name and deadline.
func testClass(name string, deadlineMS uint32) operator.Class {
	return operator.Class{
		Name: name, Tier: 2, DeadlineMS: deadlineMS, LateMax: 0.1, LostMax: 0.1, Repeatable: true, Kind: settings.KindModel,
	}
}

// Changes are made one after another while leaders are killed repeatedly and restart from their folders. An accepted
// change is lost, or the version decreases, if a change is confirmed before a quorum has synced it, or if a restarted
// instance serves its old state before it has caught up.
func TestAcceptedChangesSurviveKilledLeaders(t *testing.T) {
	c := startCluster(t)
	client := c.operatorClient()
	var last uint64
	const rounds, changes = 3, 10
	for round := range rounds {
		killed := c.waitLeader(round % controlInstances)
		for i := range changes {
			if i == changes/2 {
				c.controls[killed].kill()
			}
			last = c.putClassUntilAccepted(client, fmt.Sprintf("class-%d-%d", round, i), last)
		}
		c.controls[killed].start()
		c.eventually(func() bool { return c.leader(killed) >= 0 }, "the restarted instance does not catch up")
	}
	for i := range c.controls {
		got, err := c.operatorClient(i).Classes(t.Context())
		require.NoError(t, err)
		require.GreaterOrEqual(t, got.Version, last)
		names := map[string]bool{}
		for _, class := range got.Classes {
			names[class.Name] = true
		}
		for round := range rounds {
			for n := range changes {
				require.True(t, names[fmt.Sprintf("class-%d-%d", round, n)], "class-%d-%d is lost at control-%d", round, n, i+1)
			}
		}
	}
	require.NoError(t, client.WaitInForce(t.Context(), last))
}

// putClassUntilAccepted creates a class, resending the same change until it is accepted, and returns its version, which
// must be greater than last.
func (c *cluster) putClassUntilAccepted(client *operator.Client, name string, last uint64) uint64 {
	c.t.Helper()
	id := operator.NewChangeID()
	var version uint64
	c.eventually(func() bool {
		change, err := client.PutClass(c.t.Context(), testClass(name, 1000), 0, id)
		version = change.Version
		return err == nil
	}, "class %s is not accepted", name)
	require.Greater(c.t, version, last, "the version did not increase")
	return version
}

// Several operators change one class based on the same version, at different instances. If the version is compared before
// the changes are ordered in the replicated log, two changes are accepted and one of them is lost.
func TestOneOfConcurrentChangesIsAccepted(t *testing.T) {
	c := startCluster(t)
	created, err := c.operatorClient().PutClass(t.Context(), testClass("raced", 1000), 0, operator.NewChangeID())
	require.NoError(t, err)
	const writers = 9
	errs := make([]error, writers)
	var wait sync.WaitGroup
	for i := range writers {
		wait.Go(func() {
			client := c.operatorClient(i % controlInstances)
			_, errs[i] = client.PutClass(t.Context(), testClass("raced", uint32(2000+i)), created.Version, operator.NewChangeID())
		})
	}
	wait.Wait()
	accepted := -1
	for i, err := range errs {
		if err == nil {
			require.Negative(t, accepted, "changes %d and %d were both accepted", accepted, i)
			accepted = i
			continue
		}
		require.True(t, result.Is(err, result.VersionConflict), "%v", err)
	}
	require.GreaterOrEqual(t, accepted, 0, "no change was accepted")
	got, err := c.operatorClient().Class(t.Context(), "raced")
	require.NoError(t, err)
	require.Equal(t, uint32(2000+accepted), got.DeadlineMS)
}

// The reply to a change is lost, all control instances are killed and restart, and the operator resends the change. If
// change ids were kept in memory only, the resend would be refused or executed again.
func TestResentChangeReturnsFirstReplyAfterRestart(t *testing.T) {
	c := startCluster(t)
	id := operator.NewChangeID()
	first, err := c.operatorClient().PutClass(t.Context(), testClass("resent", 1000), 0, id)
	require.NoError(t, err)
	for _, p := range c.controls {
		p.kill()
	}
	for _, p := range c.controls {
		p.start()
	}
	c.waitLeader(0)
	again, err := c.operatorClient().PutClass(t.Context(), testClass("resent", 1000), 0, id)
	require.NoError(t, err)
	require.Equal(t, first, again)
	_, err = c.operatorClient().PutClass(t.Context(), testClass("resent", 2000), 0, id)
	require.True(t, result.Is(err, result.ChangeIDReused), "%v", err)
}

// An instance loses its disk and restarts empty, and right after its replacement another instance is lost. Accepted
// changes are lost if the empty instance votes, or counts towards a quorum, before it holds the log.
func TestChangesSurviveLossAfterDiskReplacement(t *testing.T) {
	c := startCluster(t)
	leader := c.waitLeader(0)
	wiped := (leader + 1) % controlInstances
	oldID := c.replicaID(leader, wiped)
	c.controls[wiped].kill()
	last := c.putClassUntilAccepted(c.operatorClient(), "before-repair", 0)
	require.NoError(t, os.RemoveAll(filepath.Join(c.folder, fmt.Sprintf("control-%d", wiped+1))))
	c.startReplacementControl(wiped)
	c.eventually(func() bool {
		id := c.replicaID(leader, wiped)
		return id != "" && id != oldID
	}, "the replacement does not become the only replica and a voter of its instance")
	c.controls[leader].kill()
	third := (leader + 2) % controlInstances
	c.waitLeader(third)
	got, err := c.operatorClient(third).Class(t.Context(), "before-repair")
	require.NoError(t, err)
	require.Equal(t, last, got.Version)
	c.putClassUntilAccepted(c.operatorClient(third, wiped), "after-loss", last)
}

// startReplacementControl starts instance i with an empty folder and with bootstrap disabled, so that it does not form a
// quorum of its own.
func (c *cluster) startReplacementControl(i int) {
	c.t.Helper()
	s, err := settings.Load[settings.Control](c.controls[i].file)
	require.NoError(c.t, err)
	s.Bootstrap = false
	require.NoError(c.t, os.MkdirAll(s.DataDir, 0o700))
	data, err := settings.Marshal(*s)
	require.NoError(c.t, err)
	require.NoError(c.t, os.WriteFile(c.controls[i].file, data, 0o600))
	c.controls[i].start()
}

// replicaID returns the id of instance i's replica as reported by instance seenBy. It returns "" unless the status is
// confirmed and the instance has exactly one replica, which is a voter.
func (c *cluster) replicaID(seenBy, i int) string {
	status, err := c.operatorClient(seenBy).Status(context.Background())
	if err != nil || !status.Confirmed {
		return ""
	}
	id := ""
	for _, r := range status.Replicas {
		if r.Instance != fmt.Sprintf("control-%d", i+1) {
			continue
		}
		if id != "" || !r.Voter {
			return ""
		}
		id = r.ID
	}
	return id
}

// The leader freezes, so that it neither answers nor closes its connections, and a new leader accepts a change. When the
// old leader resumes, it serves an outdated configuration if it answers from memory without asking a quorum.
func TestResumedLeaderServesNoStaleConfiguration(t *testing.T) {
	c := startCluster(t)
	frozen := c.waitLeader(0)
	c.controls[frozen].signal(syscall.SIGSTOP)
	other := (frozen + 1) % controlInstances
	c.eventually(func() bool { l := c.leader(other); return l >= 0 && l != frozen }, "no new leader")
	version := c.putClassUntilAccepted(c.operatorClient(other), "while-frozen", 0)
	c.controls[frozen].signal(syscall.SIGCONT)
	got, err := c.operatorClient(frozen).Class(t.Context(), "while-frozen")
	require.NoError(t, err)
	require.Equal(t, version, got.Version)
}
