// Package logs writes log lines as text or JSON. Each line has a level, the name
// of the instance and a prefix that names the component that wrote it. Lines
// below the configured level are left out; a root of NewRateLimited also leaves out
// lines above a rate and lines for which the output is too slow. What to log is up
// to the components.
package logs

import (
	"io"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/cockroachdb/errors"
)

// Logger writes the log lines of one component.
type Logger struct {
	prefix  string
	entry   *log.Entry
	limiter *lineLimiter // nil for no limit
}

// Root writes to one output and creates the loggers of the components.
type Root struct {
	logger  *log.Logger
	limiter *lineLimiter // nil for no limit
}

// New returns a root that writes lines of at least level ("debug", "info",
// "warn", "error") to out, as "text" or "json".
func New(out io.Writer, level, format string) (*Root, error) {
	parsedLevel, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Newf("log level %q is unknown; known are debug, info, warn, error", level)
	}
	logger := &log.Logger{Level: parsedLevel}
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

// Discard returns a root whose loggers write nothing.
func Discard() *Root {
	return &Root{logger: &log.Logger{Level: log.FatalLevel, Handler: text.New(io.Discard)}}
}

// Component returns the logger of a component of an instance; its lines start with
// "NAME: ".
func (root *Root) Component(name, instance string) *Logger {
	return &Logger{prefix: name + ": ", entry: root.logger.WithField("instance", instance), limiter: root.limiter}
}

// Infof writes a line at level info, for operators.
func (logger *Logger) Infof(format string, args ...any) {
	if note, ok := logger.limiter.allow(format, time.Now()); ok {
		logger.entry.Infof(logger.prefix+format+note, args...)
	}
}

// Warnf writes a line at level warn, on a problem for operators to look into.
func (logger *Logger) Warnf(format string, args ...any) {
	if note, ok := logger.limiter.allow(format, time.Now()); ok {
		logger.entry.Warnf(logger.prefix+format+note, args...)
	}
}

// Debugf writes a line at level debug, for developers.
func (logger *Logger) Debugf(format string, args ...any) {
	if note, ok := logger.limiter.allow(format, time.Now()); ok {
		logger.entry.Debugf(logger.prefix+format+note, args...)
	}
}
