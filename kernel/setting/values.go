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

// Values holds the checked settings of one instance.
type Values struct {
	values map[string]any
}

// Defaults returns the values that hold without a file.
func (table *Table) Defaults() *Values {
	values := &Values{values: map[string]any{}}
	for name, setting := range table.settings {
		values.values[name] = setting.initial
	}
	return values
}

// Load reads the file at path and returns every fault of it together.
func (table *Table) Load(path string) (*Values, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return table.Parse(path, data)
}

// Parse reads JSON settings; file names them in errors.
func (table *Table) Parse(file string, data []byte) (*Values, error) {
	var raw map[string]json.RawMessage
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&raw); err != nil {
		return nil, errors.Newf("%s: not a JSON object: %v", file, err)
	}
	if decoder.More() {
		return nil, errors.Newf("%s: text follows the JSON object", file)
	}
	values := table.Defaults()
	var faults []error
	for _, name := range sortedNames(raw) {
		value, err := table.parseOne(name, raw[name])
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: %s: value %s: %w", file, name, raw[name], err))
			continue
		}
		values.values[name] = value
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
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

func (table *Table) parseOne(name string, data json.RawMessage) (any, error) {
	setting, ok := table.settings[name]
	if !ok {
		return nil, errors.New("no setting has this name")
	}
	value, err := decode(setting.initial, data)
	if err != nil {
		return nil, err
	}
	if err := setting.validate(value); err != nil {
		return nil, err
	}
	return value, nil
}

func decode(like any, data json.RawMessage) (any, error) {
	switch like.(type) {
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
			return nil, errors.New(`not a duration such as "250ms"`)
		}
		return duration, nil
	default:
		return nil, errors.Newf("settings of type %T are not supported", like)
	}
}

func decodeAs[T any](data json.RawMessage, want string) (T, error) {
	var value T
	if err := json.Unmarshal(data, &value); err != nil {
		return value, errors.Newf("not %s", want)
	}
	return value, nil
}

// With returns a copy in which name holds value; it is for programs that build
// instances themselves, and skips the validator.
func (values *Values) With(name string, value any) *Values {
	other := &Values{values: make(map[string]any, len(values.values)+1)}
	for key, old := range values.values {
		other.values[key] = old
	}
	other.values[name] = value
	return other
}

// String returns a setting that holds a string.
func (values *Values) String(name string) string { return get[string](values, name) }

// Int returns a setting that holds a whole number.
func (values *Values) Int(name string) int { return get[int](values, name) }

// Bool returns a setting that holds a switch.
func (values *Values) Bool(name string) bool { return get[bool](values, name) }

// Duration returns a setting that holds a duration.
func (values *Values) Duration(name string) time.Duration { return get[time.Duration](values, name) }

// Strings returns a setting that holds a list.
func (values *Values) Strings(name string) []string { return get[[]string](values, name) }

// Reading a setting that was never declared is a mistake in the program.
func get[T any](values *Values, name string) T {
	value, ok := values.values[name].(T)
	if !ok {
		panic(fmt.Sprintf("setting %q is not declared as %T", name, value))
	}
	return value
}
