// Package trace selects the log lines that explain one request from the logs of
// several processes: the lines that name the request, and the lines about the
// configuration, targets and models that affected it. Printing the result is
// left to package command.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the longest log line that Read accepts.
const maxLineBytes = 1 << 20

// Line is one parsed log line.
type Line struct {
	at       time.Time
	instance string
	message  string
}

// NewLine returns the line that a process on the given instance logged at the
// given time.
func NewLine(at time.Time, instance, message string) Line {
	return Line{at: at, instance: instance, message: message}
}

// At returns when the line was logged, by the clock of the logging process.
func (line Line) At() time.Time { return line.at }

// Instance returns the name of the instance that logged the line.
func (line Line) Instance() string { return line.instance }

// Message returns the text, which begins with the name of the logging component
// and a colon.
func (line Line) Message() string { return line.message }

// logRecord is the JSON form in which the logging library writes a line.
type logRecord struct {
	Fields struct {
		Instance string `json:"instance"`
	} `json:"fields"`
	Timestamp time.Time `json:"timestamp"`
	Message   string    `json:"message"`
}

// Read parses a log that holds one JSON record a line. Text before the JSON, such
// as the timestamp and host name that a log collector adds, is ignored. Lines
// without a JSON record or without a message are counted in skipped. A line of
// more than 1 MiB is an error.
func Read(log io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		var record logRecord
		if start < 0 || json.Unmarshal(scanner.Bytes()[start:], &record) != nil || record.Message == "" {
			skipped++
			continue
		}
		lines = append(lines, NewLine(record.Timestamp, record.Fields.Instance, record.Message))
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "log")
}
