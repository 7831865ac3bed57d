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

// What is served is read back by the format's own parser.
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
		t.Errorf("counter %v", v)
	}
	if v := families["zinnia_configuration_version"].Metric[0].Gauge.GetValue(); v != 7 {
		t.Errorf("gauge %v", v)
	}
	if s := families["zinnia_store_commit_seconds"].Metric[0].Summary; s.GetSampleCount() != 1 || s.GetSampleSum() != 0.02 {
		t.Errorf("timer %v", s)
	}
	if families["zinnia_go_goroutines"] == nil {
		t.Error("no figures of the runtime")
	}
}
