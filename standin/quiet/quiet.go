// Package quiet keeps the HTTP library of the stand-ins from writing log lines
// about the connections that their faults cut.
package quiet

// Logger drops every line.
type Logger struct{}

// Printf drops the line.
func (logger Logger) Printf(string, ...any) {}
