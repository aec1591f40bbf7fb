package logs

// Silent drops the lines of a library that logs what the system counts or logs
// itself, such as connections that callers break off.
type Silent struct{}

// Printf does nothing.
func (silent Silent) Printf(string, ...any) {}
