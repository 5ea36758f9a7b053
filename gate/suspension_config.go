package gate

// SuspensionConfig holds the settings of the suspension of runs.
type SuspensionConfig struct {
	// Enabled allows the gate to suspend runs.
	Enabled bool
	// MaxPerRun is the number of times that one run may be suspended.
	MaxPerRun int
}
