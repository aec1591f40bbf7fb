package setting

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newTestTable() *Table {
	table := NewTable()
	table.Declare("a.size", 5, IntBetween(1, 10), "bytes", "A size.")
	table.Declare("a.wait", time.Second, DurationBetween(0, time.Minute), "", "A wait.")
	table.Declare("a.at", "127.0.0.1:1", Address, "", "An address.")
	return table
}

func TestParseInvalidSettingsReportsEveryError(t *testing.T) {
	_, err := newTestTable().Parse("file.json", []byte(`{"a.size": 11, "a.wait": "2h", "a.at": "host:1", "b": 1}`))
	for _, message := range []string{
		"file.json: a.size: value 11: 11 is outside 1 to 10", `a.wait: value "2h": 2h0m0s is outside 0s to 1m0s`,
		`a.at: value "host:1": host "host" is not an IP address`, "b: value 1: unknown setting",
	} {
		assert.ErrorContains(t, err, message)
	}
}

func TestParseAbsentSettingKeepsDefault(t *testing.T) {
	values, err := newTestTable().Parse("file.json", []byte(`{"a.wait": "250ms"}`))
	assert.NilError(t, err)
	assert.Equal(t, values.Int("a.size"), 5)
	assert.Equal(t, values.Duration("a.wait"), 250*time.Millisecond)
}
