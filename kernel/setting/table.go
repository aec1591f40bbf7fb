// Package setting declares an instance's settings once, with default, bounds,
// unit and help, and reads them from a JSON file.
package setting

import (
	"fmt"
	"net"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Validator checks the value of a setting and says what bound it breaks.
type Validator func(value any) error

// Setting declares one option of a program.
type Setting struct {
	name     string
	initial  any
	validate Validator
	unit     string
	help     string
}

// Name returns the dotted name of the setting.
func (setting Setting) Name() string { return setting.name }

// Default returns the value that holds when the file is silent.
func (setting Setting) Default() any { return setting.initial }

// Unit returns the unit of the value, empty for names and switches.
func (setting Setting) Unit() string { return setting.unit }

// Help returns a sentence for operators.
func (setting Setting) Help() string { return setting.help }

// Table holds the settings of a program by name.
type Table struct {
	settings map[string]Setting
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{settings: map[string]Setting{}} }

// Declare adds a setting; the type of its default is the type of its value:
// string, int, bool, time.Duration or []string.
func (table *Table) Declare(name string, initial any, validate Validator, unit, help string) {
	table.settings[name] = Setting{name: name, initial: initial, validate: validate, unit: unit, help: help}
}

// Settings returns the declarations ordered by name.
func (table *Table) Settings() []Setting {
	settings := make([]Setting, 0, len(table.settings))
	for _, setting := range table.settings {
		settings = append(settings, setting)
	}
	sort.Slice(settings, func(i, j int) bool { return settings[i].name < settings[j].name })
	return settings
}

// Markdown returns the table as the docs show it.
func (table *Table) Markdown() string {
	var page strings.Builder
	page.WriteString("| setting | default | unit | meaning |\n| --- | --- | --- | --- |\n")
	for _, setting := range table.Settings() {
		fmt.Fprintf(&page, "| `%s` | `%v` | %s | %s |\n", setting.name, setting.initial, setting.unit, setting.help)
	}
	return page.String()
}

// Any accepts every value.
func Any(any) error { return nil }

// Between accepts integers from low to high.
func Between(low, high int) Validator {
	return func(value any) error {
		number := value.(int)
		if number < low || number > high {
			return errors.Newf("%d is outside %d to %d", number, low, high)
		}
		return nil
	}
}

// Lasting accepts durations from low to high.
func Lasting(low, high time.Duration) Validator {
	return func(value any) error {
		duration := value.(time.Duration)
		if duration < low || duration > high {
			return errors.Newf("%v is outside %v to %v", duration, low, high)
		}
		return nil
	}
}

// Filled accepts strings that are not empty.
func Filled(value any) error {
	if value.(string) == "" {
		return errors.New("the value is empty")
	}
	return nil
}

// Address accepts a host and a port that can be listened on or dialled; an
// empty value switches the part off.
func Address(value any) error {
	text := value.(string)
	if text == "" {
		return nil
	}
	host, _, err := net.SplitHostPort(text)
	if err != nil {
		return errors.Newf("%q is not HOST:PORT", text)
	}
	if net.ParseIP(host) == nil {
		return errors.Newf("host %q is not an IP number", host)
	}
	return nil
}

// OneOf accepts the names that known returns; it is called at each check, so
// that plug-ins registered later count.
func OneOf(known func() []string) Validator {
	return func(value any) error {
		names := known()
		for _, name := range names {
			if name == value.(string) {
				return nil
			}
		}
		return errors.Newf("%q is unknown; known are %s", value, strings.Join(names, ", "))
	}
}
