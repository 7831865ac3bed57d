// Package exposition serves a go-metrics registry in the Prometheus text exposition
// format, which common monitoring tools read.
package exposition

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sort"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles reported for timers and histograms.
var quantiles = []float64{0.5, 0.9, 0.99}

// Handler returns a handler that serves the metrics of Write.
func Handler(r metrics.Registry, prefix string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
		_ = Write(w, r, prefix) // an error, such as of a closed connection, cannot be sent to the client
	})
}

// Write writes the metrics in r and of the Go runtime to w. Each name starts with prefix
// and an underscore; dots, dashes and spaces in it become underscores. Counters get the
// suffix _total; timers are summaries in seconds with the suffix _seconds.
func Write(w io.Writer, r metrics.Registry, prefix string) error {
	var families []*dto.MetricFamily
	r.Each(func(name string, m any) {
		if f := family(prefix+"_"+sanitize(name), m); f != nil {
			families = append(families, f)
		}
	})
	families = append(families, runtimeFamilies(prefix)...)
	sort.Slice(families, func(i, j int) bool { return families[i].GetName() < families[j].GetName() })
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
			return fmt.Errorf("exposition: %s: %w", f.GetName(), err)
		}
	}
	return nil
}

// sanitize replaces the characters of name that the format does not allow.
func sanitize(name string) string {
	return strings.NewReplacer(".", "_", "-", "_", " ", "_").Replace(name)
}

// family returns the metric family of m, or nil if m is of a type that is not exported.
func family(name string, m any) *dto.MetricFamily {
	switch m := m.(type) {
	case metrics.Counter:
		return counter(name, float64(m.Count()))
	case metrics.Gauge:
		return gauge(name, float64(m.Value()))
	case metrics.GaugeFloat64:
		return gauge(name, m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		return summary(name, uint64(s.Count()), float64(s.Sum()), s.Percentiles(quantiles), 1)
	case metrics.Timer:
		s := m.Snapshot()
		return summary(name+"_seconds", uint64(s.Count()), float64(s.Sum()), s.Percentiles(quantiles), 1e9)
	}
	return nil
}

func counter(name string, v float64) *dto.MetricFamily {
	return &dto.MetricFamily{Name: ptr(name + "_total"), Type: dto.MetricType_COUNTER.Enum(), Metric: []*dto.Metric{{Counter: &dto.Counter{Value: &v}}}}
}

func gauge(name string, v float64) *dto.MetricFamily {
	return &dto.MetricFamily{Name: &name, Type: dto.MetricType_GAUGE.Enum(), Metric: []*dto.Metric{{Gauge: &dto.Gauge{Value: &v}}}}
}

// summary returns a summary whose sum and quantile values are divided by unit. values are
// those of quantiles, in the same order.
func summary(name string, count uint64, sum float64, values []float64, unit float64) *dto.MetricFamily {
	s := &dto.Summary{SampleCount: &count, SampleSum: ptr(sum / unit)}
	for i, q := range quantiles {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: ptr(q), Value: ptr(values[i] / unit)})
	}
	return &dto.MetricFamily{Name: &name, Type: dto.MetricType_SUMMARY.Enum(), Metric: []*dto.Metric{{Summary: s}}}
}

// runtimeFamilies returns the metrics of the Go runtime.
func runtimeFamilies(prefix string) []*dto.MetricFamily {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return []*dto.MetricFamily{
		gauge(prefix+"_go_goroutines", float64(runtime.NumGoroutine())),
		gauge(prefix+"_go_heap_bytes", float64(m.HeapAlloc)),
		gauge(prefix+"_go_system_bytes", float64(m.Sys)),
		counter(prefix+"_go_collections", float64(m.NumGC)),
	}
}

func ptr[T any](v T) *T { return &v }
