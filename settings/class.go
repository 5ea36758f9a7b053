package settings

import (
	"fmt"

	"github.com/carawaypitch/carawaypitch/result"
)

// Class is a class of requests as operators define it. It holds targets, neither weights nor names of backend servers.
type Class struct {
	// Name is the name of the class, the value of the header Carawaypitch-Class.
	Name string `json:"name" settings:"required,name"`
	// Tier is 1, 2 or 3, of which 1 is the highest.
	Tier int `json:"tier" settings:"required"`
	// DeadlineMS is the time from the arrival of a request to its complete response, in milliseconds.
	DeadlineMS int `json:"deadline_ms" settings:"required"`
	// LateMax is the target for late responses: the largest fraction, 0 to 1, that may miss the deadline.
	LateMax float64 `json:"late_max"`
	// LostMax is the target for lost requests: the largest fraction, 0 to 1, that may be lost.
	LostMax float64 `json:"lost_max"`
	// Repeatable allows the retry of a request whose outcome is unknown.
	Repeatable bool `json:"repeatable"`
	// Kind is KindModel or KindService.
	Kind string `json:"kind" settings:"required"`
	// Preempt is PreemptAllowed or PreemptNever. Empty means PreemptAllowed.
	Preempt string `json:"preempt"`
}

// The highest and lowest tier.
const (
	HighestTier = 1
	LowestTier  = 3
)

// Values of Class.Kind.
const (
	KindModel   = "model"
	KindService = "service"
)

// Values of Class.Preempt.
const (
	PreemptAllowed = "allowed"
	PreemptNever   = "never"
)

func (c *checker) checkClasses(list []Class) {
	names := make([]string, 0, len(list))
	for i, class := range list {
		names = append(names, class.Name)
		c.checkClass(fmt.Sprintf("initial_classes[%d]", i), class)
	}
	c.checkUnique("class", names, func(i int) string { return fmt.Sprintf("initial_classes[%d].name", i) })
}

func (c *checker) checkClass(path string, class Class) {
	if class.Tier < HighestTier || class.Tier > LowestTier {
		c.report(result.SettingsOutOfRange, path+".tier", "want %d to %d", HighestTier, LowestTier)
	}
	checkPositive(c, path+".deadline_ms", class.DeadlineMS)
	c.checkFraction(path+".late_max", class.LateMax)
	c.checkFraction(path+".lost_max", class.LostMax)
	if class.Kind != KindModel && class.Kind != KindService {
		c.report(result.SettingsOutOfRange, path+".kind", "want %q or %q", KindModel, KindService)
	}
	switch class.Preempt {
	case "", PreemptAllowed, PreemptNever:
	default:
		c.report(result.SettingsOutOfRange, path+".preempt", "want %q or %q", PreemptAllowed, PreemptNever)
	}
}

func (c *checker) checkFraction(path string, fraction float64) {
	if fraction < 0 || fraction > 1 {
		c.report(result.SettingsOutOfRange, path, "want a share from 0 to 1")
	}
}
