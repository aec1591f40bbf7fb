package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestExplainFromLogsPrintsTraceOfRequest(t *testing.T) {
	var out bytes.Buffer
	logs := []string{filepath.Join("testdata", "front.log"), filepath.Join("testdata", "side.log")}
	assert.NilError(t, explainFromLogs(&out, logs, "9c41d07be2a35f68"))
	golden.Assert(t, out.String(), "explain.golden")
}

func TestExplainFromLogsWithoutMatchingLinesReturnsError(t *testing.T) {
	front := filepath.Join("testdata", "front.log")
	err := explainFromLogs(&bytes.Buffer{}, []string{front}, "unknown")
	assert.ErrorContains(t, err, `names request "unknown"`)
	err = explainFromLogs(&bytes.Buffer{}, []string{filepath.Join("testdata", "missing.log")}, "x")
	assert.ErrorContains(t, err, "missing.log")
	other := filepath.Join(t.TempDir(), "other.log")
	assert.NilError(t, os.WriteFile(other, []byte("not a log\n"), 0o600))
	err = explainFromLogs(&bytes.Buffer{}, []string{other}, "x")
	assert.ErrorContains(t, err, "holds no log line of endiverill, skipped 1 lines")
}

func TestPrintMentionsPrintsLinesOfModel(t *testing.T) {
	var out bytes.Buffer
	logs := []string{filepath.Join("testdata", "front.log"), filepath.Join("testdata", "side.log")}
	assert.NilError(t, printMentions(&out, logs, "model", "daka"))
	golden.Assert(t, out.String(), "mentions.golden")
	assert.ErrorContains(t, printMentions(&out, logs, "customer", "nobody"), `names customer "nobody"`)
}
