package logs

// NopLogger discards the log lines of a library. It is for libraries that log events
// which the system counts or logs itself, such as connections closed by callers.
type NopLogger struct{}

// Printf discards the line.
func (nopLogger NopLogger) Printf(string, ...any) {}
