// Package golden checks that the reference pages in docs match the tables of result
// codes and settings from which they are generated, and that the operators' pages
// have titles.
package golden

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/golden"

	"endiverill.example/agent/agent"
	"endiverill.example/endiverill/internal/page"
	"endiverill.example/entry/entry"
	"endiverill.example/kernel/code"

	"gotest.tools/v3/assert"
)

// Fails when a code or setting was changed without generating docs/CODES.md and
// docs/SETTINGS.md again. To generate them, run 'go test ./internal/golden -update' in
// the folder of the module endiverill.
func TestReferencePagesMatchTheCode(t *testing.T) {
	var codes strings.Builder
	codes.WriteString("# Result codes\n\nEvery answer carries its code in `Endiverill-Code`, and in `Endiverill-Ran` whether the request ran: `no`, `yes` or `unknown`.\n\n| code | name | HTTP status | meaning |\n| --- | --- | --- | --- |\n")
	for _, row := range code.Table() {
		fmt.Fprintf(&codes, "| %d | %s | %d | %s |\n", row.Code(), row.Name(), row.Status(), row.Meaning())
	}
	settings := "# Settings\n\nA settings file is one JSON object from names to values; durations are written as \"250ms\". Unknown names and values out of bounds are refused, all faults of a file together.\n\n## entry\n\n" +
		entry.Settings().Markdown() + "\n## agent\n\n" + agent.Settings().Markdown()
	golden.Assert(t, codes.String(), "../../../../docs/CODES.md")
	golden.Assert(t, settings, "../../../../docs/SETTINGS.md")
}

func TestEveryPageStartsWithATitle(t *testing.T) {
	topics, err := page.Topics()
	assert.NilError(t, err)
	assert.Assert(t, len(topics) > 5)
	for _, topic := range topics {
		text, err := page.Read(topic)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(text, "# "), topic)
	}
}
