// Package exposition serves a go-metrics registry as text in the Prometheus
// exposition format, which common tools read.
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

// quantiles are those that a timer or histogram is told by.
var quantiles = []float64{0.5, 0.9, 0.99}

// Handler returns the handler that serves r. Names become those of the format:
// dots and dashes turn into underscores, and prefix comes first.
func Handler(r metrics.Registry, prefix string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
		_ = Write(w, r, prefix) // a reader that has left gets nothing
	})
}

// Write writes r and the figures of the Go runtime to w.
func Write(w io.Writer, r metrics.Registry, prefix string) error {
	var families []*dto.MetricFamily
	r.Each(func(name string, m any) {
		if f := family(prefix+"_"+clean(name), m); f != nil {
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

func clean(name string) string {
	return strings.NewReplacer(".", "_", "-", "_", " ", "_").Replace(name)
}

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

func summary(name string, count uint64, sum float64, at []float64, unit float64) *dto.MetricFamily {
	s := &dto.Summary{SampleCount: &count, SampleSum: ptr(sum / unit)}
	for i, q := range quantiles {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: ptr(q), Value: ptr(at[i] / unit)})
	}
	return &dto.MetricFamily{Name: &name, Type: dto.MetricType_SUMMARY.Enum(), Metric: []*dto.Metric{{Summary: s}}}
}

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
