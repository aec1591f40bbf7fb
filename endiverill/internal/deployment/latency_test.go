package deployment

import (
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"endiverill.example/standin/engine"
)

// benchSpec is one entry before one engine that answers at once.
func benchSpec() Spec {
	spec := Demo()
	spec.Entries, spec.Services, spec.Routes, spec.LogLevel = 1, nil, map[string]any{}, "error"
	spec.Engines = []Engine{{"engine-1", 64000, []string{"aster"}, nil}}
	spec.Models, spec.Adapters = spec.Models[:1], map[string]string{}
	spec.Customers = map[string]Customer{"editors": {Rate: 1e12, Burst: 1e12, Weight: 1, Models: []string{"*"}}}
	spec.Keys = map[string]string{"editors": "bench-key"}
	spec.Profile = engine.Profile{Slots: 256, CacheBlocks: 64}
	spec.Agent = map[string]any{"agent.slots": 256}
	return spec
}

const benchBody = `{"model":"aster","prompt":"hello","max_tokens":8}`

// post sends one unary request.
func post(client *fasthttp.Client, url string) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(url)
	request.Header.Set("Authorization", "Bearer bench-key")
	request.SetBodyString(benchBody)
	if err := client.Do(request, response); err != nil {
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode(), response.Body())
	}
	return nil
}

// openLoop sends requests at their times and returns the sorted latencies from
// the intended times.
func openLoop(b *testing.B, url string, perSecond, count int) []time.Duration {
	b.Helper()
	client := &fasthttp.Client{MaxConnsPerHost: 1024}
	latencies := make([]time.Duration, count)
	var group sync.WaitGroup
	begun := time.Now()
	for index := range count {
		intended := begun.Add(time.Duration(index) * time.Second / time.Duration(perSecond))
		time.Sleep(time.Until(intended))
		group.Go(func() {
			if err := post(client, url); err != nil {
				b.Error(err)
			}
			latencies[index] = time.Since(intended)
		})
	}
	group.Wait()
	slices.Sort(latencies)
	return latencies
}

func micros(duration time.Duration) float64 { return float64(duration.Nanoseconds()) / 1000 }

// BenchmarkAddedLatency sends the same requests to the engine and through entry
// and agent, in turn, at 1,100 a second.
func BenchmarkAddedLatency(b *testing.B) {
	running, err := Start(benchSpec())
	if err != nil {
		b.Fatal(err)
	}
	defer running.Close()
	direct := "http://" + running.targets["engine-1"].address + "/v1/completions"
	through := "http://" + running.Entries()[0].Address() + "/v1/completions"
	for b.Loop() {
		const count = 5500
		openLoop(b, direct, 1100, 1100)
		openLoop(b, through, 1100, 1100)
		straight, passed := openLoop(b, direct, 1100, count), openLoop(b, through, 1100, count)
		b.ReportMetric(micros(straight[count/2]), "direct-p50-us")
		b.ReportMetric(micros(passed[count/2]), "through-p50-us")
		b.ReportMetric(micros(straight[count*99/100]), "direct-p99-us")
		b.ReportMetric(micros(passed[count*99/100]), "through-p99-us")
	}
}

// saturate sends requests as fast as workers can and returns the rate.
func saturate(b *testing.B, url string, workers, each int) float64 {
	b.Helper()
	client := &fasthttp.Client{MaxConnsPerHost: workers}
	begun := time.Now()
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for range each {
				if err := post(client, url); err != nil {
					b.Error(err)
				}
			}
		})
	}
	group.Wait()
	return float64(workers*each) / time.Since(begun).Seconds()
}

// BenchmarkThroughput compares the rates at saturation, and the heap after
// 20,000 and after 100,000 requests.
func BenchmarkThroughput(b *testing.B) {
	running, err := Start(benchSpec())
	if err != nil {
		b.Fatal(err)
	}
	defer running.Close()
	for b.Loop() {
		b.ReportMetric(saturate(b, "http://"+running.targets["engine-1"].address+"/v1/completions", 64, 500), "direct-rps")
		through := "http://" + running.Entries()[0].Address() + "/v1/completions"
		saturate(b, through, 64, 20000/64)
		early := heap()
		b.ReportMetric(saturate(b, through, 64, 80000/64), "through-rps")
		b.ReportMetric(early, "MiB-at-20k")
		b.ReportMetric(heap(), "MiB-at-100k")
	}
}

func heap() float64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapInuse) / (1 << 20)
}

// BenchmarkOpenStreams holds 1,000 streams open through one entry and reports
// the memory of the whole process, stand-ins and callers included.
func BenchmarkOpenStreams(b *testing.B) {
	spec := benchSpec()
	spec.Profile.Slots, spec.Profile.TokenTime = 1000, 200*time.Millisecond
	running, err := Start(spec)
	if err != nil {
		b.Fatal(err)
	}
	defer running.Close()
	address := running.Entries()[0].Address()
	for b.Loop() {
		before := heap()
		var conns []net.Conn
		for range 1000 {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			body := `{"model":"aster","prompt":"hello","max_tokens":200,"stream":true}`
			fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer bench-key\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			conns = append(conns, conn)
		}
		time.Sleep(3 * time.Second)
		b.ReportMetric(float64(running.Engine("engine-1").Running()), "streams")
		b.ReportMetric(heap()-before, "MiB-in-all")
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		b.ReportMetric(float64(memory.StackInuse)/(1<<20), "MiB-stacks")
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}
