package settings

import (
	"fmt"

	"github.com/carawaypitch/carawaypitch/result"
)

// Class is a class of work, in the form that operators use. It has no weights and no server names.
type Class struct {
	// Name is what Carawaypitch-Class names.
	Name string `json:"name" settings:"required,name"`
	// Tier is 1, 2 or 3; 1 is the highest.
	Tier int `json:"tier" settings:"required"`
	// DeadlineMS is the time from arrival to the whole answer, in milliseconds.
	DeadlineMS int `json:"deadline_ms" settings:"required"`
	// LateMax is the share of answers, from 0 to 1, that may be late.
	LateMax float64 `json:"late_max"`
	// LostMax is the share of requests, from 0 to 1, that may be lost.
	LostMax float64 `json:"lost_max"`
	// Repeatable allows a request whose outcome isn't known to be run again.
	Repeatable bool `json:"repeatable"`
	// Kind is "model" or "service".
	Kind string `json:"kind" settings:"required"`
	// Preempt is "allowed" or "never". Empty means "allowed".
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

func (c *checker) classes(list []Class) {
	names := make([]string, 0, len(list))
	for i, class := range list {
		names = append(names, class.Name)
		c.class(fmt.Sprintf("initial_classes[%d]", i), class)
	}
	c.unique("class", names, func(i int) string { return fmt.Sprintf("initial_classes[%d].name", i) })
}

func (c *checker) class(path string, class Class) {
	if class.Tier < HighestTier || class.Tier > LowestTier {
		c.add(result.SettingsOutOfRange, path+".tier", "want %d to %d", HighestTier, LowestTier)
	}
	positive(c, path+".deadline_ms", class.DeadlineMS)
	c.shareRange(path+".late_max", class.LateMax)
	c.shareRange(path+".lost_max", class.LostMax)
	if class.Kind != KindModel && class.Kind != KindService {
		c.add(result.SettingsOutOfRange, path+".kind", "want %q or %q", KindModel, KindService)
	}
	switch class.Preempt {
	case "", PreemptAllowed, PreemptNever:
	default:
		c.add(result.SettingsOutOfRange, path+".preempt", "want %q or %q", PreemptAllowed, PreemptNever)
	}
}

func (c *checker) shareRange(path string, share float64) {
	if share < 0 || share > 1 {
		c.add(result.SettingsOutOfRange, path, "want a share from 0 to 1")
	}
}
