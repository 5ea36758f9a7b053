package session

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/rendezvous"
)

// Limits of the number of control instances that a process keeps links to.
//
// Each link costs a poll a second and brings each change once more. With links from all processes to all instances both grow
// with the product of the two: 285 processes and 15 control instances have 4,275 links, and each change of the directory
// is sent 4,275 times. A process needs one instance whose state a quorum confirms, and the leader for its proposals.
const (
	// linkAllMaxInstances is the largest number of control instances at which a process links to all of them.
	linkAllMaxInstances = 5
	// additionalLinks is the number of links besides the one to the leader when there are more instances. With two, a
	// process learns of a new leader after the old one fails even while one of the two is unreachable.
	additionalLinks = 2
	// failureCooldown is how long an instance is ranked last after its link or dial has failed.
	failureCooldown = 30 * time.Second
	// maxUnconfirmedPolls is the number of poll intervals without a quorum-confirmed answer after which a process
	// links to all instances: the few it has may be on the minority side of a partition, and only all of them show
	// whether control as a whole is down. It must elapse well before SilenceBound.
	maxUnconfirmedPolls = 1.5
)

// candidate is a control instance as input to chooseLinks.
type candidate struct {
	address    string
	name       string // "" until its first hello
	isSameZone bool   // in the availability zone of this process
	failing    bool   // its last dial or link failed within failureCooldown
}

// chooseLinks reports, for each of the control instances, whether this process keeps a link to it. It chooses the leader
// and additionalLinks others, ranked by a rendezvous hash per process so that the links of all processes spread over all
// instances. One of the others is in the availability zone of this process if possible, since directory updates come over
// that link. While the address of the leader is unknown, all instances with unknown names are chosen too. Without a recent
// confirmation, or with few instances, all are chosen.
func chooseLinks(self, leader string, isConfirmed bool, all []candidate) []bool {
	chosen := make([]bool, len(all))
	if len(all) <= linkAllMaxInstances || !isConfirmed {
		for i := range chosen {
			chosen[i] = true
		}
		return chosen
	}
	isLeaderKnown := false
	for i, c := range all {
		if leader != "" && c.name == leader {
			chosen[i], isLeaderKnown = true, true
		}
	}
	for i, c := range all {
		chosen[i] = chosen[i] || !isLeaderKnown && c.name == ""
	}
	additional := 0
	for _, i := range sameZoneFirst(orderByRank(self, all), all) {
		if additional < additionalLinks && (leader == "" || all[i].name != leader) {
			chosen[i] = true
			additional++
		}
	}
	return chosen
}

// sameZoneFirst moves the first instance of the order that is in the own zone, if it has not recently failed, to the front.
func sameZoneFirst(order []int, all []candidate) []int {
	at := slices.IndexFunc(order, func(i int) bool { return all[i].isSameZone && !all[i].failing })
	if at <= 0 {
		return order
	}
	first := order[at]
	return slices.Insert(slices.Delete(order, at, at+1), 0, first)
}

// orderByRank returns the indexes of the instances by this process's rendezvous hash, recently failed ones last.
func orderByRank(self string, all []candidate) []int {
	order := make([]int, len(all))
	rank := make([]uint64, len(all))
	for i, c := range all {
		order[i] = i
		rank[i] = rendezvous.Rank(self, c.address)
	}
	slices.SortFunc(order, func(a, b int) int {
		if all[a].failing != all[b].failing {
			if all[a].failing {
				return 1
			}
			return -1
		}
		return cmp.Compare(rank[a], rank[b])
	})
	return order
}
