package logs

// Silent discards the log lines of a library. It is for libraries that log events
// which the system counts or logs itself, such as connections closed by callers.
type Silent struct{}

// Printf discards the line.
func (silent Silent) Printf(string, ...any) {}
