package exposition_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rcrowley/go-metrics"

	"github.com/zinnialadder/zinnialadder/internal/exposition"
)

// The Prometheus parser reads the names and values of the metrics in the response.
func TestHandler(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests.served", r).Inc(3)
	metrics.GetOrRegisterGauge("configuration-version", r).Update(7)
	metrics.GetOrRegisterTimer("store.commit", r).Update(20 * time.Millisecond)
	w := httptest.NewRecorder()
	exposition.Handler(r, "zinnia").ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(strings.NewReader(w.Body.String()))
	if err != nil {
		t.Fatal(err)
	}
	if v := families["zinnia_requests_served_total"].Metric[0].Counter.GetValue(); v != 3 {
		t.Errorf("zinnia_requests_served_total = %v, want 3", v)
	}
	if v := families["zinnia_configuration_version"].Metric[0].Gauge.GetValue(); v != 7 {
		t.Errorf("zinnia_configuration_version = %v, want 7", v)
	}
	if s := families["zinnia_store_commit_seconds"].Metric[0].Summary; s.GetSampleCount() != 1 || s.GetSampleSum() != 0.02 {
		t.Errorf("zinnia_store_commit_seconds = %v, want count 1 and sum 0.02", s)
	}
	if families["zinnia_go_goroutines"] == nil {
		t.Error("zinnia_go_goroutines is missing")
	}
}
