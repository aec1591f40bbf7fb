package exchange

import (
	"testing"

	"endiverill.example/kernel/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }
