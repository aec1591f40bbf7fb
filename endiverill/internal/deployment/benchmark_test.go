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

// benchSpec returns a deployment of one entry and one engine without delays.
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

// post sends one request without streaming and expects status 200.
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

// runOpenLoop sends requests at a fixed rate, whether or not earlier ones have
// ended. It returns the latencies in ascending order; each counts from the scheduled
// time of its request.
func runOpenLoop(b *testing.B, url string, requestsPerSecond, count int) []time.Duration {
	b.Helper()
	client := &fasthttp.Client{MaxConnsPerHost: 1024}
	latencies := make([]time.Duration, count)
	var group sync.WaitGroup
	start := time.Now()
	for index := range count {
		scheduled := start.Add(time.Duration(index) * time.Second / time.Duration(requestsPerSecond))
		time.Sleep(time.Until(scheduled))
		group.Go(func() {
			if err := post(client, url); err != nil {
				b.Error(err)
			}
			latencies[index] = time.Since(scheduled)
		})
	}
	group.Wait()
	slices.Sort(latencies)
	return latencies
}

func microseconds(duration time.Duration) float64 { return float64(duration.Nanoseconds()) / 1000 }

// BenchmarkAddedLatency compares the latency of requests sent directly to the
// engine with that of requests sent through entry and agent, at 1,100 requests per
// second. One second of load warms up each path.
func BenchmarkAddedLatency(b *testing.B) {
	running, err := Start(benchSpec())
	if err != nil {
		b.Fatal(err)
	}
	defer running.Close()
	direct := "http://" + running.targets["engine-1"].address + "/v1/completions"
	routed := "http://" + running.Entries()[0].Address() + "/v1/completions"
	for b.Loop() {
		const count = 5500 // 5 s at 1100 requests per second
		runOpenLoop(b, direct, 1100, 1100)
		runOpenLoop(b, routed, 1100, 1100)
		directLatencies, routedLatencies := runOpenLoop(b, direct, 1100, count), runOpenLoop(b, routed, 1100, count)
		b.ReportMetric(microseconds(directLatencies[count/2]), "direct-p50-us")
		b.ReportMetric(microseconds(routedLatencies[count/2]), "through-p50-us")
		b.ReportMetric(microseconds(directLatencies[count*99/100]), "direct-p99-us")
		b.ReportMetric(microseconds(routedLatencies[count*99/100]), "through-p99-us")
	}
}

// saturate sends requests from concurrent workers, each as fast as it can, and
// returns the rate in requests per second.
func saturate(b *testing.B, url string, workers, requestsPerWorker int) float64 {
	b.Helper()
	client := &fasthttp.Client{MaxConnsPerHost: workers}
	start := time.Now()
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for range requestsPerWorker {
				if err := post(client, url); err != nil {
					b.Error(err)
				}
			}
		})
	}
	group.Wait()
	return float64(workers*requestsPerWorker) / time.Since(start).Seconds()
}

// BenchmarkThroughput compares the rate at saturation of the engine alone with that
// through entry and agent. It reports the heap after about 20,000 and about 100,000
// requests through them, to show memory that grows with the number of requests.
func BenchmarkThroughput(b *testing.B) {
	running, err := Start(benchSpec())
	if err != nil {
		b.Fatal(err)
	}
	defer running.Close()
	for b.Loop() {
		b.ReportMetric(saturate(b, "http://"+running.targets["engine-1"].address+"/v1/completions", 64, 500), "direct-rps")
		routed := "http://" + running.Entries()[0].Address() + "/v1/completions"
		saturate(b, routed, 64, 20000/64)
		heapAt20k := heapMiB()
		b.ReportMetric(saturate(b, routed, 64, 80000/64), "through-rps")
		b.ReportMetric(heapAt20k, "MiB-at-20k")
		b.ReportMetric(heapMiB(), "MiB-at-100k")
	}
}

// heapMiB returns the heap in use after a garbage collection, in MiB.
func heapMiB() float64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapInuse) / (1 << 20)
}

// BenchmarkOpenStreams keeps 1,000 streams open through one entry. It reports the
// growth of the heap and the size of the stacks of the whole process, stand-ins and
// callers included.
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
		before := heapMiB()
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
		time.Sleep(3 * time.Second) // until all streams have started; each lasts 40 s
		b.ReportMetric(float64(running.Engine("engine-1").Running()), "streams")
		b.ReportMetric(heapMiB()-before, "MiB-in-all")
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		b.ReportMetric(float64(memory.StackInuse)/(1<<20), "MiB-stacks")
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}
