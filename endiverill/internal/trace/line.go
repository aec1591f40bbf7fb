// Package trace finds what the logs of several processes say of one request:
// its own lines, and those on the configuration, the targets and the models
// that decided it.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	at       time.Time
	instance string
	message  string
}

// NewLine returns a line that a process on an instance wrote.
func NewLine(at time.Time, instance, message string) Line {
	return Line{at: at, instance: instance, message: message}
}

// At returns when the line was written, by its process's clock.
func (line Line) At() time.Time { return line.at }

// Instance returns where the line was written.
func (line Line) Instance() string { return line.instance }

// Message returns the line's text, which begins with the part of the system.
func (line Line) Message() string { return line.message }

// wireLine is a line as the log library writes it.
type wireLine struct {
	Fields struct {
		Instance string `json:"instance"`
	} `json:"fields"`
	Timestamp time.Time `json:"timestamp"`
	Message   string    `json:"message"`
}

// Read returns the lines of a log. Text before a line's JSON, such as the time
// and name that a collector puts there, is ignored; skipped counts the lines
// that are none of the system's.
func Read(log io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		var wire wireLine
		if start < 0 || json.Unmarshal(scanner.Bytes()[start:], &wire) != nil || wire.Message == "" {
			skipped++
			continue
		}
		lines = append(lines, NewLine(wire.Timestamp, wire.Fields.Instance, wire.Message))
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "log")
}
