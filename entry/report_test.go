package entry

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/wire"
)

func TestReportCountsByClassAndTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		service := h.addService(1)
		require.Equal(t, 200, h.call(1, http.MethodPost, checkPath, `{}`, gateCheckHeader).status)
		require.Equal(t, 200, h.call(1, http.MethodPost, checkPath, `{}`, gateCheckHeader).status)
		service.crash()
		lost := h.callAsync(1, checkPath, `{}`, gateCheckHeader)
		synctest.Wait()
		time.Sleep(queueSampleInterval + queueSampleInterval/2)
		report := h.entries[0].report()
		require.Len(t, report.GetTargets(), 1)
		require.True(t, proto.Equal(&wire.TargetReport{
			Name: "registry", Kind: "service", QueuedByTier: []uint32{1, 0, 0}, OldestWaitMs: report.GetTargets()[0].GetOldestWaitMs(),
		}, report.GetTargets()[0]), "%v", report)
		require.NotZero(t, report.GetTargets()[0].GetOldestWaitMs())
		require.NotEqual(t, 200, (<-lost).status)
		class := h.entries[0].report().GetClasses()[0]
		require.Equal(t, "gate-check", class.GetName())
		require.Equal(t, uint64(2), class.GetGood())
		require.Equal(t, uint64(1), class.GetLost())
		require.Equal(t, uint32(1200), class.GetRefusals()[0].GetGroup())
		require.Equal(t, uint64(1), class.GetRefusals()[0].GetCount())
	})
}
