package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestExplainTellsARequestFromLogs(t *testing.T) {
	var out bytes.Buffer
	logs := []string{filepath.Join("testdata", "front.log"), filepath.Join("testdata", "side.log")}
	assert.NilError(t, explainByLogs(&out, logs, "9c41d07be2a35f68"))
	golden.Assert(t, out.String(), "explain.golden")
}

func TestExplainRefusesLogsThatTellNothing(t *testing.T) {
	front := filepath.Join("testdata", "front.log")
	err := explainByLogs(&bytes.Buffer{}, []string{front}, "unknown")
	assert.ErrorContains(t, err, `names request "unknown"`)
	err = explainByLogs(&bytes.Buffer{}, []string{filepath.Join("testdata", "missing.log")}, "x")
	assert.ErrorContains(t, err, "missing.log")
	other := filepath.Join(t.TempDir(), "other.log")
	assert.NilError(t, os.WriteFile(other, []byte("not a log\n"), 0o600))
	err = explainByLogs(&bytes.Buffer{}, []string{other}, "x")
	assert.ErrorContains(t, err, "holds no line of the system's, 1 others")
}
