package evidence

import (
	"fmt"
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

func BenchmarkIdentity(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 1 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			body := make([]byte, size)
			for b.Loop() {
				Identity([]byte("customer"), []byte("POST"), []byte("/path"), body)
			}
		})
	}
}
