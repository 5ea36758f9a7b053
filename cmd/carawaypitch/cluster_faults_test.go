package main

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

// issuePassWithDeadline is issuePass with a deadline in milliseconds instead of the class's.
func (c caller) issuePassWithDeadline(key, deadlineMS string) (reply, error) {
	return c.post("/v1/services/registry/issue", map[string]string{
		"Carawaypitch-Class":       "pass-issue",
		"Carawaypitch-Deadline-Ms": deadlineMS,
		"Idempotency-Key":          key,
	}, `{"pass": "`+key+`"}`)
}

// The leading control instance freezes while an operation record is created, and the caller's short deadline passes. The
// first entry then owns a record but has no request for it. Once the leader resumes, a retry at the other entry must not
// wait for that record until its deadline.
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
