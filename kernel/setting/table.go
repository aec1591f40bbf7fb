// Package setting declares the settings of a program, each with its default
// value, validator, unit and help text, and reads their values from a JSON file.
// What a setting controls is up to the package that reads it; the names that a
// plug-in setting accepts come from package plugin.
package setting

import (
	"fmt"
	"net"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Validator checks the value of a setting; its error says which rule the value
// violates.
type Validator func(value any) error

// Setting is the declaration of one configuration option.
type Setting struct {
	name         string
	defaultValue any
	validate     Validator
	unit         string
	help         string
}

// Name returns the dotted name of the setting.
func (setting Setting) Name() string { return setting.name }

// Default returns the value that is used when the settings file has none.
func (setting Setting) Default() any { return setting.defaultValue }

// Unit returns the unit of the value, or an empty string if the value has none or,
// like a duration, is written with its unit.
func (setting Setting) Unit() string { return setting.unit }

// Help returns the description of the setting for the settings reference.
func (setting Setting) Help() string { return setting.help }

// Table holds the declared settings of a program by name.
type Table struct {
	settings map[string]Setting
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{settings: map[string]Setting{}} }

// Declare adds a setting. Its values have the type of the default value, which
// must be string, int, bool, time.Duration or []string.
func (table *Table) Declare(name string, defaultValue any, validate Validator, unit, help string) {
	table.settings[name] = Setting{name: name, defaultValue: defaultValue, validate: validate, unit: unit, help: help}
}

// Settings returns the declared settings sorted by name.
func (table *Table) Settings() []Setting {
	settings := make([]Setting, 0, len(table.settings))
	for _, setting := range table.settings {
		settings = append(settings, setting)
	}
	sort.Slice(settings, func(i, j int) bool { return settings[i].name < settings[j].name })
	return settings
}

// Markdown returns the settings as a Markdown table, sorted by name.
func (table *Table) Markdown() string {
	var page strings.Builder
	page.WriteString("| setting | default | unit | meaning |\n| --- | --- | --- | --- |\n")
	for _, setting := range table.Settings() {
		fmt.Fprintf(&page, "| `%s` | `%v` | %s | %s |\n", setting.name, setting.defaultValue, setting.unit, setting.help)
	}
	return page.String()
}

// Any accepts every value.
func Any(any) error { return nil }

// IntBetween accepts integers from low to high, both included.
func IntBetween(low, high int) Validator {
	return func(value any) error {
		number := value.(int)
		if number < low || number > high {
			return errors.Newf("%d is outside %d to %d", number, low, high)
		}
		return nil
	}
}

// DurationBetween accepts durations from low to high, both included.
func DurationBetween(low, high time.Duration) Validator {
	return func(value any) error {
		duration := value.(time.Duration)
		if duration < low || duration > high {
			return errors.Newf("%v is outside %v to %v", duration, low, high)
		}
		return nil
	}
}

// NonEmpty accepts non-empty strings.
func NonEmpty(value any) error {
	if value.(string) == "" {
		return errors.New("expected a non-empty string")
	}
	return nil
}

// Address accepts HOST:PORT, where the host is an IP address, and the empty
// string, which disables what the address is for.
func Address(value any) error {
	text := value.(string)
	if text == "" {
		return nil
	}
	host, _, err := net.SplitHostPort(text)
	if err != nil {
		return errors.Newf("%q is not of the form HOST:PORT", text)
	}
	if net.ParseIP(host) == nil {
		return errors.Newf("host %q is not an IP address", host)
	}
	return nil
}

// OneOf accepts the names that known returns. It calls known at each validation,
// so plug-ins that are registered after the declaration are accepted too.
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
