package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/carawaypitch/carawaypitch/wire"
)

// shortageWaitMS is how long a request must have waited before its target counts as short of capacity. Shorter waits
// occur in normal operation.
const shortageWaitMS = 250

// classStatusJSON compares a class with its targets. Good, late, lost and the shares are over the window.
type classStatusJSON struct {
	Name           string            `json:"name"`
	Tier           uint32            `json:"tier"`
	Good           uint64            `json:"good"`
	Late           uint64            `json:"late"`
	Lost           uint64            `json:"lost"`
	LateShare      float64           `json:"late_share"` // of the answers
	LateMax        float64           `json:"late_max"`
	LostShare      float64           `json:"lost_share"` // of the requests
	LostMax        float64           `json:"lost_max"`
	Meets          bool              `json:"meets"`
	RefusedByGroup map[string]uint64 `json:"refused_by_group"` // keyed by the group of result codes, such as "12xx"
	Total          classTotalJSON    `json:"total"`
}

// classTotalJSON holds counts since the entries' incarnations started.
type classTotalJSON struct {
	Good uint64 `json:"good"`
	Late uint64 `json:"late"`
	Lost uint64 `json:"lost"`
}

// classesStatus lists all classes in force by tier and name, including those without requests.
func classesStatus(classes []*wire.Class, summary reportSummary) []classStatusJSON {
	out := []classStatusJSON{}
	for _, c := range classes {
		out = append(out, classStatus(c, summary.window[c.GetName()], summary.total[c.GetName()]))
	}
	slices.SortFunc(out, func(a, b classStatusJSON) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Name, b.Name))
	})
	return out
}

func classStatus(c *wire.Class, window, total classCount) classStatusJSON {
	answered := window.good + window.late
	out := classStatusJSON{
		Name: c.GetName(), Tier: c.GetTier(),
		Good: window.good, Late: window.late, Lost: window.lost,
		LateShare: share(window.late, answered), LateMax: c.GetLateMax(),
		LostShare: share(window.lost, answered+window.lost), LostMax: c.GetLostMax(),
		RefusedByGroup: make(map[string]uint64),
		Total:          classTotalJSON{total.good, total.late, total.lost},
	}
	out.Meets = out.LateShare <= out.LateMax && out.LostShare <= out.LostMax
	for group, n := range window.refusals {
		out.RefusedByGroup[fmt.Sprintf("%dxx", group/100)] = n
	}
	return out
}

func share(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// targetJSON is a model or service: its backend servers, and the requests queued for it at all entries.
type targetJSON struct {
	Name               string         `json:"name"`
	Kind               string         `json:"kind"`
	ReadyServers       int            `json:"ready_servers"`
	ServersByCondition map[string]int `json:"servers_by_condition"`
	QueuedByTier       []uint32       `json:"queued_by_tier"`
	OldestWaitMS       uint64         `json:"oldest_wait_ms"`
	ShortBecause       string         `json:"short_because"` // empty if it isn't short of capacity
}

// targetsStatus lists, by kind and name, the targets that backend servers offer or for which requests are queued.
func targetsStatus(agents []*wire.AgentRecord, summary reportSummary) []targetJSON {
	conditions := conditionsByTarget(agents)
	for key := range summary.targets {
		if conditions[key] == nil {
			conditions[key] = make(map[string]int)
		}
	}
	out := []targetJSON{}
	for key, servers := range conditions {
		out = append(out, targetStatus(key, servers, summary.targets[key]))
	}
	slices.SortFunc(out, func(a, b targetJSON) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

func conditionsByTarget(agents []*wire.AgentRecord) map[targetKey]map[string]int {
	out := make(map[targetKey]map[string]int)
	for _, agent := range agents {
		for _, server := range agent.GetServers() {
			for _, name := range server.GetModels() {
				key := targetKey{server.GetKind(), name}
				if out[key] == nil {
					out[key] = make(map[string]int)
				}
				out[key][conditionName(server.GetCondition())]++
			}
		}
	}
	return out
}

func targetStatus(key targetKey, servers map[string]int, count targetCount) targetJSON {
	out := targetJSON{
		Name: key.name, Kind: key.kind,
		ReadyServers:       servers[conditionName(wire.ServerCondition_SERVER_CONDITION_READY)],
		ServersByCondition: servers,
		QueuedByTier:       count.queued[:],
		OldestWaitMS:       count.oldestMS,
	}
	out.ShortBecause = shortageReason(out)
	return out
}

// shortageReason returns why a target is short of capacity, or "" if it is not.
func shortageReason(t targetJSON) string {
	waiting := uint32(0)
	for _, queued := range t.QueuedByTier {
		waiting += queued
	}
	switch {
	case len(t.ServersByCondition) == 0:
		return "no backend server has it"
	case t.ReadyServers == 0:
		return "no backend server is ready: " + describeNotReady(t.ServersByCondition)
	case waiting == 0 || t.OldestWaitMS < shortageWaitMS:
		return ""
	case len(t.ServersByCondition) > 1:
		return "ready backend servers are full, and others aren't ready: " + describeNotReady(t.ServersByCondition)
	default:
		return "all backend servers are ready and full"
	}
}

// describeNotReady lists the servers that are not ready by condition, such as "1 draining, 2 suspect".
func describeNotReady(servers map[string]int) string {
	ready := conditionName(wire.ServerCondition_SERVER_CONDITION_READY)
	var parts []string
	for _, condition := range slices.Sorted(maps.Keys(servers)) {
		if condition != ready {
			parts = append(parts, fmt.Sprintf("%d %s", servers[condition], condition))
		}
	}
	return strings.Join(parts, ", ")
}
