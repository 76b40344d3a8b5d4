package entry

import (
	"expvar"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/camphorlever/camphorlever/internal/filter"
)

// outcomes counts how requests ended and how long they took.
type outcomes struct {
	registry *prometheus.Registry
	ended    *prometheus.CounterVec
	first    *prometheus.HistogramVec
	whole    *prometheus.HistogramVec
}

// latencies are the buckets of the histograms, in seconds: from a plain call
// to the longest deadline.
var latencies = []float64{.01, .02, .05, .1, .15, .2, .3, .4, .6, 1, 1.5, 2.5, 5, 10, 20}

func newOutcomes() *outcomes {
	o := &outcomes{
		registry: prometheus.NewRegistry(),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "camphor_requests_total", Help: "Requests by how they ended.",
		}, []string{"outcome"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "camphor_first_event_seconds", Help: "Time from a request's arrival to its first event.", Buckets: latencies,
		}, []string{"service"}),
		whole: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "camphor_request_seconds", Help: "Time from a request's arrival to its end.", Buckets: latencies,
		}, []string{"service"}),
	}
	o.registry.MustRegister(o.ended, o.first, o.whole, countersCollector{})
	return o
}

func (o *outcomes) handler() http.Handler {
	return promhttp.HandlerFor(o.registry, promhttp.HandlerOpts{})
}

func (o *outcomes) record(r *filter.Request, out filter.Outcome) {
	outcome := "answered"
	if out.Refusal != nil {
		outcome = string(out.Refusal.Code)
	}
	o.ended.WithLabelValues(outcome).Inc()
	p := r.Passthrough
	if p.Service == nil {
		return
	}
	if p.TimeToFirstEvent > 0 {
		o.first.WithLabelValues(p.Service.Name).Observe(p.TimeToFirstEvent.Seconds())
	}
	o.whole.WithLabelValues(p.Service.Name).Observe(time.Since(r.Received).Seconds())
}

// countersCollector shows the counters of all packages, which are published
// through expvar.
type countersCollector struct{}

var countersDesc = prometheus.NewDesc("camphor_events_total", "Events of the parts of the router.", []string{"part", "event"}, nil)

// Describe implements prometheus.Collector.
func (countersCollector) Describe(descs chan<- *prometheus.Desc) { descs <- countersDesc }

// Collect implements prometheus.Collector.
func (countersCollector) Collect(metrics chan<- prometheus.Metric) {
	expvar.Do(func(kv expvar.KeyValue) {
		set, ok := kv.Value.(*expvar.Map)
		if !ok || strings.HasPrefix(kv.Key, "mem") {
			return
		}
		set.Do(func(counter expvar.KeyValue) {
			if n, ok := counter.Value.(*expvar.Int); ok {
				metrics <- prometheus.MustNewConstMetric(countersDesc, prometheus.CounterValue, float64(n.Value()), kv.Key, counter.Key)
			}
		})
	})
}
