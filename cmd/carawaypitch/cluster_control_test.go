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

func testClass(name string, deadlineMS uint32) operator.Class {
	return operator.Class{
		Name: name, Tier: 2, DeadlineMS: deadlineMS, LateMax: 0.1, LostMax: 0.1, Repeatable: true, Kind: settings.KindModel,
	}
}

// Symptom: a change that was accepted is gone, or the version falls. Sequence: changes are made one after another
// while the leader is killed again and again; each killed instance restarts from its folder. Cause: a change was
// answered before a quorum had synced it, or a restarted instance served what it had before it caught up.
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
		c.eventually(func() bool { return c.leader(killed) >= 0 }, "the restarted instance doesn't catch up")
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

// putClassUntilAccepted creates a class, resending the same change while there is no leader, and returns its version, which
// must be above the last one.
func (c *cluster) putClassUntilAccepted(client *operator.Client, name string, last uint64) uint64 {
	c.t.Helper()
	id := operator.NewChangeID()
	var version uint64
	c.eventually(func() bool {
		change, err := client.PutClass(c.t.Context(), testClass(name, 1000), 0, id)
		version = change.Version
		return err == nil
	}, "class %s isn't accepted", name)
	require.Greater(c.t, version, last, "the version fell")
	return version
}

// Symptom: two operators both hear that their change was accepted, and one is gone. Sequence: several change one
// class at the same version, at different instances. Cause: the version was compared before the log's order was known.
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
			require.Negative(t, accepted, "racers %d and %d both won", accepted, i)
			accepted = i
			continue
		}
		require.True(t, result.Is(err, result.VersionConflict), "%v", err)
	}
	require.GreaterOrEqual(t, accepted, 0, "nobody won")
	got, err := c.operatorClient().Class(t.Context(), "raced")
	require.NoError(t, err)
	require.Equal(t, uint32(2000+accepted), got.DeadlineMS)
}

// Symptom: a resent change is refused, or made twice. Sequence: its answer is lost; all control instances are killed
// and restart; the operator resends it. Cause: change ids were remembered in memory only.
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

// Symptom: accepted changes are gone after a second loss. Sequence: an instance loses its disk and comes back empty;
// right after its repair another one is lost. Cause: the empty instance voted, or counted towards a quorum, before it
// held the log.
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
	}, "the replacement doesn't become the one voter of its instance")
	c.controls[leader].kill()
	third := (leader + 2) % controlInstances
	c.waitLeader(third)
	got, err := c.operatorClient(third).Class(t.Context(), "before-repair")
	require.NoError(t, err)
	require.Equal(t, last, got.Version)
	c.putClassUntilAccepted(c.operatorClient(third, wiped), "after-loss", last)
}

// startReplacementControl starts instance i with an empty folder, which must not bootstrap a quorum of its own.
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

// replicaID gives the identity of instance i's replica if it is its only one and votes, as another instance sees it.
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

// Symptom: operators read an old configuration from a leader that has been cut off. Sequence: the leader freezes, so
// that it neither answers nor closes its connections; a new one accepts a change; the old one thaws and is asked.
// Cause: it answered from its own memory without asking a quorum.
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
