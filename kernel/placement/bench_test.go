package placement

import (
	"fmt"
	"testing"
)

// benchmarkInput returns the input for a fleet in which every tenth model is busy.
func benchmarkInput(models, targets int) *Input {
	input := &Input{Current: EmptyPlan(), MaxLoads: 64, MaxStarts: 64}
	for index := range models {
		demand := 50.0
		if index%10 == 0 {
			demand = 4000
		}
		input.Models = append(input.Models, &Model{Name: fmt.Sprintf("model-%04d", index), Footprint: int64(10+index%30) << 30, Demand: demand})
	}
	for index := range targets {
		input.Targets = append(input.Targets, &Target{
			Name: fmt.Sprintf("target-%04d", index), DataCentre: fmt.Sprintf("dc-%d", index%7),
			Memory: 80 << 30, Capacity: 2000, Live: true,
		})
	}
	for index, model := range input.Models {
		target := input.Targets[index%targets]
		input.Current.add(target.Name, model.Name)
		target.Ready = append(target.Ready, model.Name)
	}
	return input
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ models, targets int }{{20, 12}, {60, 350}, {125, 700}, {250, 1400}} {
		b.Run(fmt.Sprintf("%dx%d", size.models, size.targets), func(b *testing.B) {
			input := benchmarkInput(size.models, size.targets)
			b.ReportAllocs()
			for b.Loop() {
				Next(Adaptive{}, input)
			}
		})
	}
}
