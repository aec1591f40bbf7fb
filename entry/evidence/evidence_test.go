package evidence

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/quarantine"
)

func TestFieldsOfOneRequestRunIntoEachOther(t *testing.T) {
	assert.Assert(t, Identity([]byte("a"), []byte("bc")) != Identity([]byte("ab"), []byte("c")))
	assert.Assert(t, Identity([]byte("a"), nil) != Identity([]byte("a")))
	assert.Equal(t, Identity([]byte("a"), []byte("b")), Identity([]byte("a"), []byte("b")))
}

func TestEvidenceIsLostOnItsWay(t *testing.T) {
	report := []quarantine.Evidence{{
		Part: quarantine.Whole(6), Ends: 2, Ended: []uint32{1, 2}, Age: time.Second, With: []quarantine.Part{quarantine.Shared(8)}, Begun: true, Since: 3, Trying: true,
	}}
	assert.DeepEqual(t, Decode(Encode(report)), report)
}

func BenchmarkIdentityOfLargeBody(b *testing.B) {
	body := make([]byte, 1<<20)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		Identity([]byte("customer"), []byte("POST"), []byte("/path"), body)
	}
}
