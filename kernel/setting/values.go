package setting

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Values holds the validated settings of one instance by name.
type Values struct {
	values map[string]any
}

// Defaults returns the default value of every setting.
func (table *Table) Defaults() *Values {
	values := &Values{values: map[string]any{}}
	for name, setting := range table.settings {
		values.values[name] = setting.defaultValue
	}
	return values
}

// Load reads the JSON settings file at path. Its error lists every invalid
// setting of the file.
func (table *Table) Load(path string) (*Values, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return table.Parse(path, data)
}

// Parse reads settings from the JSON object in data; settings that are absent
// keep their defaults. Its error lists every invalid setting and starts each with
// file, the name of the source.
func (table *Table) Parse(file string, data []byte) (*Values, error) {
	var raw map[string]json.RawMessage
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&raw); err != nil {
		return nil, errors.Newf("%s: expected a JSON object: %v", file, err)
	}
	if decoder.More() {
		return nil, errors.Newf("%s: unexpected data after the JSON object", file)
	}
	values := table.Defaults()
	var errs []error
	for _, name := range sortedNames(raw) {
		value, err := table.parseValue(name, raw[name])
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %s: value %s: %w", file, name, raw[name], err))
			continue
		}
		values.values[name] = value
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return values, nil
}

func sortedNames(raw map[string]json.RawMessage) []string {
	names := make([]string, 0, len(raw))
	for name := range raw {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (table *Table) parseValue(name string, data json.RawMessage) (any, error) {
	setting, ok := table.settings[name]
	if !ok {
		return nil, errors.New("unknown setting")
	}
	value, err := decode(setting.defaultValue, data)
	if err != nil {
		return nil, err
	}
	if err := setting.validate(value); err != nil {
		return nil, err
	}
	return value, nil
}

// decode decodes data as a value of the type of defaultValue.
func decode(defaultValue any, data json.RawMessage) (any, error) {
	switch defaultValue.(type) {
	case string:
		return decodeAs[string](data, "a string")
	case int:
		return decodeAs[int](data, "a whole number")
	case bool:
		return decodeAs[bool](data, "true or false")
	case []string:
		return decodeAs[[]string](data, "a list of strings")
	case time.Duration:
		text, err := decodeAs[string](data, `a duration such as "250ms"`)
		if err != nil {
			return nil, err
		}
		duration, err := time.ParseDuration(text)
		if err != nil {
			return nil, errors.New(`expected a duration such as "250ms"`)
		}
		return duration, nil
	default:
		return nil, errors.Newf("settings of type %T are not supported", defaultValue)
	}
}

// decodeAs decodes data as a T; expected describes the expected value in the error.
func decodeAs[T any](data json.RawMessage, expected string) (T, error) {
	var value T
	if err := json.Unmarshal(data, &value); err != nil {
		return value, errors.Newf("expected %s", expected)
	}
	return value, nil
}

// With returns a copy in which the setting called name has the given value. It does
// not validate the value; it is for programs that build instances in their own
// process.
func (values *Values) With(name string, value any) *Values {
	clone := &Values{values: make(map[string]any, len(values.values)+1)}
	for key, current := range values.values {
		clone.values[key] = current
	}
	clone.values[name] = value
	return clone
}

// String returns the value of a string setting.
func (values *Values) String(name string) string { return get[string](values, name) }

// Int returns the value of an integer setting.
func (values *Values) Int(name string) int { return get[int](values, name) }

// Bool returns the value of a boolean setting.
func (values *Values) Bool(name string) bool { return get[bool](values, name) }

// Duration returns the value of a duration setting.
func (values *Values) Duration(name string) time.Duration { return get[time.Duration](values, name) }

// Strings returns the value of a string list setting.
func (values *Values) Strings(name string) []string { return get[[]string](values, name) }

// get returns the value of a setting. It panics if the setting is not declared
// with type T, which is a programming error.
func get[T any](values *Values, name string) T {
	value, ok := values.values[name].(T)
	if !ok {
		panic(fmt.Sprintf("setting %q is not declared with type %T", name, value))
	}
	return value
}
