package wire

// Name returns the name of a roll-out's state in reports, logs and metrics.
func (s RolloutState) Name() string {
	switch s {
	case RolloutState_ROLLOUT_STATE_IN_PROGRESS:
		return "in_progress"
	case RolloutState_ROLLOUT_STATE_COMPLETED:
		return "completed"
	case RolloutState_ROLLOUT_STATE_REVERTED:
		return "reverted"
	default:
		return "unknown"
	}
}
