package state

import (
	"regexp"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
	"google.golang.org/protobuf/proto"
)

// Values of class fields.
const (
	// HighestTier is the tier that is shed last.
	HighestTier = 1
	// LowestTier is the tier that is shed first.
	LowestTier = 3
	// MaxDeadline is the longest deadline that a class may have.
	MaxDeadline = 24 * time.Hour

	// KindModel is the kind of classes for completions by models.
	KindModel = "model"
	// KindService is the kind of classes for calls to other services.
	KindService = "service"

	// PreemptAllowed lets work of a higher tier preempt running work.
	PreemptAllowed = "allowed"
	// PreemptNever lets running work finish.
	PreemptNever = "never"
)

var classNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// CheckClass returns the first invalid field of a class and what is valid for it, or "".
func CheckClass(c *wire.Class) string {
	switch {
	case !classNamePattern.MatchString(c.GetName()):
		return "name: 1 to 64 letters, digits, '.', '_' or '-', and a letter or digit first"
	case c.GetTier() < HighestTier || c.GetTier() > LowestTier:
		return "tier: 1, 2 or 3"
	case c.GetDeadlineMs() == 0 || int64(c.GetDeadlineMs()) > MaxDeadline.Milliseconds():
		return "deadline_ms: 1 to 86400000"
	case !isFraction(c.GetLateMax()):
		return "late_max: a share from 0 to 1"
	case !isFraction(c.GetLostMax()):
		return "lost_max: a share from 0 to 1"
	case c.GetKind() != KindModel && c.GetKind() != KindService:
		return "kind: model or service"
	case c.GetPreempt() != PreemptAllowed && c.GetPreempt() != PreemptNever:
		return "preempt: allowed or never"
	default:
		return ""
	}
}

// isFraction reports whether v is between 0 and 1. It is false for NaN.
func isFraction(v float64) bool {
	return v >= 0 && v <= 1
}

// putClass creates or replaces a class.
func (s *State) putClass(cmd *wire.PutClass) *wire.CommandResult {
	class := proto.CloneOf(cmd.GetClass())
	if problem := CheckClass(class); problem != "" {
		return refuse(result.InvalidClass, "%s", problem)
	}
	if res := s.checkVersion(class.GetName(), cmd.GetChange().GetIfMatch()); res != nil {
		return res
	}
	if s.classes[class.GetName()] == nil && len(s.classes) >= s.limits.Classes {
		return refuse(result.InvalidClass, "there are %d classes already", len(s.classes))
	}
	s.setClass(class)
	res := accepted()
	res.Class = class
	return res
}

// deleteClass deletes a class and returns it in the result.
func (s *State) deleteClass(cmd *wire.DeleteClass) *wire.CommandResult {
	class := s.classes[cmd.GetName()]
	if class == nil {
		return refuse(result.UnknownClass, "")
	}
	if res := s.checkVersion(cmd.GetName(), cmd.GetChange().GetIfMatch()); res != nil {
		return res
	}
	delete(s.classes, cmd.GetName())
	s.advanceConfigVersion(cmd.GetName())
	res := accepted()
	res.Class = class
	return res
}

// checkVersion compares the version that an operator has read with the current one, and returns a refusal or nil. It
// accepts the version of the class, 0 if there is no such class, and the version of the whole configuration, which
// implies that nothing has changed since the operator read it.
//
// Without this check, if two operators read the same version, the second would overwrite the first one's change
// without seeing it.
func (s *State) checkVersion(name string, ifMatch uint64) *wire.CommandResult {
	class := s.classes[name]
	if ifMatch == class.GetVersion() || (ifMatch == s.configVersion && ifMatch != 0) {
		return nil
	}
	res := refuse(result.VersionConflict, "class %s has version %d, the change was made for %d",
		name, class.GetVersion(), ifMatch)
	res.Class = class
	return res
}

// initializeClasses sets the first classes of a new group of control instances, all or none, so that a crash cannot
// leave them partly set. It changes nothing if the configuration has a version already.
func (s *State) initializeClasses(cmd *wire.InitializeClasses) *wire.CommandResult {
	if s.configVersion != 0 {
		return accepted()
	}
	for _, class := range cmd.GetClasses() {
		if problem := CheckClass(class); problem != "" {
			return refuse(result.InvalidClass, "class %q: %s", class.GetName(), problem)
		}
	}
	if len(cmd.GetClasses()) > s.limits.Classes {
		return refuse(result.InvalidClass, "more than %d classes", s.limits.Classes)
	}
	for _, class := range cmd.GetClasses() {
		s.setClass(proto.CloneOf(class))
	}
	return accepted()
}

func (s *State) setClass(class *wire.Class) {
	class.Version = s.index
	s.classes[class.GetName()] = class
	s.advanceConfigVersion(class.GetName())
}

// advanceConfigVersion makes the index of the current command the version of the configuration. Log indexes only
// increase, so versions do too.
func (s *State) advanceConfigVersion(name string) {
	s.configHistory.add(s.configVersion, s.index, name)
	s.configVersion = s.index
}
