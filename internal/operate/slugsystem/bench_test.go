package slugsystem_test

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugstream"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugdemo"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugsystem"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrelay"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugengine"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplatform"
	"gotest.tools/v3/assert"
)

// measureTimeToFirstByte sends requests on the given number of concurrent streams to an
// address. It returns the sorted times until the first bytes of the responses were read.
func measureTimeToFirstByte(b *testing.B, url, key string, streams, rounds int) []time.Duration {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var times []time.Duration
	var wg sync.WaitGroup
	body := chatRequest(20, "bench").Body()
	for range streams {
		wg.Go(func() {
			for range rounds {
				r, _ := http.NewRequestWithContext(b.Context(), http.MethodPost, url, bytes.NewReader(body))
				r.Header.Set("Authorization", "Bearer "+key)
				r.Header.Set("X-Request-Id", time.Now().String())
				begin := time.Now()
				resp, err := client.Do(r)
				if err != nil {
					b.Error(err)
					return
				}
				s := make([]byte, 4096)
				_, _ = resp.Body.Read(s)
				mu.Lock()
				times = append(times, time.Since(begin))
				mu.Unlock()
				for err == nil {
					_, err = resp.Body.Read(s)
				}
				_ = resp.Body.Close()
			}
		})
	}
	wg.Wait()
	slices.Sort(times)
	return times
}

// BenchmarkFirstByte measures the time to the first byte of calls through a gate and of direct
// calls to an engine, with 200 concurrent streams, in the same run.
func BenchmarkFirstByte(b *testing.B) {
	d := slugdemo.NewDeployment()
	singleEngine(d.Manifest)
	s, err := slugsystem.New(context.Background(), slugsystem.Config{
		Hosts: 1, Manifest: d.Manifest, Platform: slugplatform.Config{HostListLag: time.Second, OrderingRequestNumbers: true},
		Engine: slugengine.Config{MaxStreams: 400, MaxQueue: 400, Pieces: 100000, StepBase: 2 * time.Millisecond, StepPerStream: time.Microsecond, PrefillPerSecond: 10_000_000},
	})
	assert.NilError(b, err)
	defer s.Close()
	var direct, relayed []time.Duration
	for b.Loop() {
		for _, e := range s.Standins.Addresses() {
			direct = append(direct, measureTimeToFirstByte(b, "http://"+e+"/v1/chat/completions", "", 200, 5)...)
		}
		relayed = append(relayed, measureTimeToFirstByte(b, "http://"+s.GateAddresses()[0]+"/v1/chat/completions", d.Keys["dojo-manila"], 200, 5)...)
	}
	slices.Sort(direct)
	slices.Sort(relayed)
	for _, p := range []struct {
		name       string
		percentile int
	}{{"p50", 50}, {"p99", 99}} {
		x, y := direct[len(direct)*p.percentile/100], relayed[len(relayed)*p.percentile/100]
		b.ReportMetric(float64(x.Microseconds()), "direct-"+p.name+"-µs")
		b.ReportMetric(float64((y - x).Microseconds()), "added-"+p.name+"-µs")
	}
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ h http.Header }

func (s discardWriter) Header() http.Header         { return s.h }
func (s discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (s discardWriter) WriteHeader(int)             {}
func (s discardWriter) Flush()                      {}

// BenchmarkRelayEvents measures the relaying of the events of a response, without sockets.
func BenchmarkRelayEvents(b *testing.B) {
	const events = 1000
	var text bytes.Buffer
	for i := range events {
		text.WriteString("id: r:" + itoa(i+1) + "\ndata: " + `{"id":"r","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}` + "\n\n")
	}
	b.ReportAllocs()
	for b.Loop() {
		s := slugstream.New(bytes.NewReader(text.Bytes()), "r", 0, slugmemory.New(1<<20).Hold())
		w := slugrelay.New(discardWriter{http.Header{}}, slugrelay.Config{Stream: true, Chat: true})
		for range events {
			e, err := s.Next()
			if err != nil {
				b.Fatal(err)
			}
			if err := w.Event(e.Data, !s.Buffered()); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(b.N)*events/b.Elapsed().Seconds(), "events/s")
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}
