package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRenew measures one renewal of a share: decoding the table, computing
// the new row and encoding the table.
func BenchmarkRenew(b *testing.B) {
	for _, entries := range []int{4, 40, 160, 330} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			var table Table
			for index := range entries {
				table.holders = append(table.holders, Holder{
					name: fmt.Sprintf("entry-%d/2j8s0d9f8s", index), address: "127.0.0.1:30000", dynamic: TotalUnits / int64(entries) / 2,
					standing: TotalUnits / int64(entries) / 2, hold: time.Minute, standingHold: time.Hour, heartbeat: 1000,
				})
			}
			data, err := table.Marshal()
			if err != nil {
				b.Fatal(err)
			}
			now := time.Unix(1000, 0)
			b.ReportMetric(float64(len(data)), "bytes")
			b.ReportAllocs()
			for b.Loop() {
				read, err := ParseTable(data)
				if err != nil {
					b.Fatal(err)
				}
				share := NewShare(ShareParams{Name: "entry-0/2j8s0d9f8s", MinHold: time.Minute, StandingHold: time.Hour}, now)
				share.tableKnown, share.readPending = true, true
				for _, effect := range share.TableRead(now, read, 7, false) {
					if _, err := effect.(WriteTable).Table.Marshal(); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

func BenchmarkReserve(b *testing.B) {
	now := time.Unix(1000, 0)
	limiter := NewLimiter(testLimits, LoanParams{})
	limiter.SetUnits(ShareUnits{Dynamic: TotalUnits, DynamicEnd: now.Add(time.Hour), StandingEnd: now.Add(time.Hour)}, now)
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		limiter.Reserve("c", 1, now.Add(time.Duration(index)*time.Millisecond))
	}
}
