// Package logs writes short sentences with a fixed prefix for each part of the
// system.
package logs

import (
	"io"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/cockroachdb/errors"
)

// Logger writes the log lines of one part.
type Logger struct {
	prefix string
	entry  *log.Entry
	budget *budget // nil for no bound
}

// Root writes to one output; parts take their loggers from it.
type Root struct {
	logger *log.Logger
	budget *budget // nil for no bound
}

// New returns a root that writes lines of at least level ("debug", "info",
// "warn", "error") to out, as "text" or "json".
func New(out io.Writer, level, format string) (*Root, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Newf("log level %q is unknown; known are debug, info, warn, error", level)
	}
	logger := &log.Logger{Level: parsed}
	switch format {
	case "text":
		logger.Handler = text.New(out)
	case "json":
		logger.Handler = json.New(out)
	default:
		return nil, errors.Newf("log format %q is unknown; known are json, text", format)
	}
	return &Root{logger: logger}, nil
}

// Discard returns a root that writes nothing.
func Discard() *Root {
	return &Root{logger: &log.Logger{Level: log.FatalLevel, Handler: text.New(io.Discard)}}
}

// Part returns the logger of a part; its lines start with "PART: ".
func (root *Root) Part(part, instance string) *Logger {
	return &Logger{prefix: part + ": ", entry: root.logger.WithField("instance", instance), budget: root.budget}
}

// Infof writes a line for operators.
func (logger *Logger) Infof(format string, args ...any) {
	if note, ok := logger.budget.take(format, time.Now()); ok {
		logger.entry.Infof(logger.prefix+format+note, args...)
	}
}

// Warnf writes a line on something that an operator should look at.
func (logger *Logger) Warnf(format string, args ...any) {
	if note, ok := logger.budget.take(format, time.Now()); ok {
		logger.entry.Warnf(logger.prefix+format+note, args...)
	}
}

// Debugf writes a line for developers.
func (logger *Logger) Debugf(format string, args ...any) {
	if note, ok := logger.budget.take(format, time.Now()); ok {
		logger.entry.Debugf(logger.prefix+format+note, args...)
	}
}
