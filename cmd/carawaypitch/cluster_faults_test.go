package main

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

// issuePassWithDeadline issues a pass with a shorter deadline.
func (c caller) issuePassWithDeadline(key, deadlineMS string) (reply, error) {
	return c.post("/v1/services/registry/issue", map[string]string{
		"Carawaypitch-Class":       "pass-issue",
		"Carawaypitch-Deadline-Ms": deadlineMS,
		"Idempotency-Key":          key,
	}, `{"pass": "`+key+`"}`)
}

// Symptom: a resend at another entry waits until its deadline. Sequence: the leading control instance freezes while a
// key's record is begun; the caller's short deadline passes; the leader wakes, and the caller sends again at the other
// entry. Cause: the first entry lives, and owns a record for which it has no request.
func TestRetryAfterFrozenLeader(t *testing.T) {
	c := startCluster(t)
	leader := c.waitLeader(0)
	c.controls[leader].signal(syscall.SIGSTOP)
	first, err := c.caller(0).issuePassWithDeadline("pass-f", "300")
	require.NoError(t, err)
	requireConsistentReply(t, first, c.passRuns("pass-f"))
	c.controls[leader].signal(syscall.SIGCONT)
	again, err := c.caller(1).issuePass("pass-f")
	require.NoError(t, err)
	requireConsistentReply(t, again, c.passRuns("pass-f"))
	if first.Status != http.StatusOK && first.resultError(t).Code == result.ControlUnavailable {
		require.Equal(t, http.StatusOK, again.Status, "%s", again.Body)
	}
	require.Equal(t, 1, c.passRuns("pass-f"))
}
