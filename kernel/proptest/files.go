package proptest

import (
	"syscall"
	"testing"
)

// UseUpFiles leaves the process without a free file descriptor until release is called. The test
// must not run in parallel with others.
func UseUpFiles(t testing.TB) (release func()) {
	t.Helper()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	set := func(current uint64) {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: current, Max: limit.Max}); err != nil {
			t.Error(err)
		}
	}
	set(0)
	t.Cleanup(func() { set(limit.Cur) })
	return func() { set(limit.Cur) }
}
