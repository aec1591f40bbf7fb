package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/wire"
)

func TestChangedSoftwareVersionIsNotNoticed(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	for sequence, version := range []string{"7.1", "7.2", ""} {
		load := &wire.Load{Target: "t", Incarnation: 1, Sequence: uint64(sequence + 1), SoftwareVersion: version}
		assert.Assert(t, table.ApplyLoad(load, now, now), "routing depends on the version")
		assert.Equal(t, table.Member("t").SoftwareVersion(), version)
	}
	outdated := &wire.Load{Target: "t", Incarnation: 1, Sequence: 1, SoftwareVersion: "7.1"}
	assert.Assert(t, !table.ApplyLoad(outdated, now, now))
	assert.Equal(t, table.Member("t").SoftwareVersion(), "")
}
