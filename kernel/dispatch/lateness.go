package dispatch

import "endiverill.example/kernel/clock"

// SetLateness sets when this process did not run. What targets and agents sent meanwhile may
// not have been read yet. Without it, the process counts as running all the time.
func (dispatcher *Dispatcher) SetLateness(lateness *clock.Lateness) { dispatcher.lateness = lateness }
