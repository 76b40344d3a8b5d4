package entry

import (
	"expvar"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/camphorlever/camphorlever/internal/evacuation"
	"github.com/camphorlever/camphorlever/internal/filter"
)

// requestMetrics counts requests by outcome and measures their latency.
type requestMetrics struct {
	registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	firstEvent *prometheus.HistogramVec
	duration   *prometheus.HistogramVec
}

// latencyBuckets are the buckets of the histograms, in seconds: from the
// latency of a plain call to the longest deadline.
var latencyBuckets = []float64{.01, .02, .05, .1, .15, .2, .3, .4, .6, 1, 1.5, 2.5, 5, 10, 20}

func newRequestMetrics() *requestMetrics {
	o := &requestMetrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "camphor_requests_total", Help: "Requests by how they ended.",
		}, []string{"outcome"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "camphor_first_event_seconds", Help: "Time from a request's arrival to its first event.", Buckets: latencyBuckets,
		}, []string{"service"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "camphor_request_seconds", Help: "Time from a request's arrival to its end.", Buckets: latencyBuckets,
		}, []string{"service"}),
	}
	o.registry.MustRegister(o.requests, o.firstEvent, o.duration, countersCollector{})
	return o
}

func (o *requestMetrics) handler() http.Handler {
	return promhttp.HandlerFor(o.registry, promhttp.HandlerOpts{})
}

func (o *requestMetrics) record(r *filter.Request, out filter.Outcome) {
	outcome := "answered"
	if out.Refusal != nil {
		outcome = string(out.Refusal.Code)
	}
	o.requests.WithLabelValues(outcome).Inc()
	p := r.Passthrough
	if p.Service == nil {
		return
	}
	if p.TimeToFirstEvent > 0 {
		o.firstEvent.WithLabelValues(p.Service.Name).Observe(p.TimeToFirstEvent.Seconds())
	}
	o.duration.WithLabelValues(p.Service.Name).Observe(time.Since(r.Received).Seconds())
}

// countersCollector exports the counters of all packages, which are published
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

// ordersCollector exports the evacuation orders in force.
type ordersCollector struct{ orders *evacuation.Set }

var ordersDesc = prometheus.NewDesc("camphor_evacuated_since_seconds",
	"Unix time at which this router first read the evacuation order of a data centre; absent if there is none.", []string{"data_centre"}, nil)

// Describe implements prometheus.Collector.
func (ordersCollector) Describe(descs chan<- *prometheus.Desc) { descs <- ordersDesc }

// Collect implements prometheus.Collector.
func (c ordersCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, o := range c.orders.Orders() {
		metrics <- prometheus.MustNewConstMetric(ordersDesc, prometheus.GaugeValue, float64(o.Since.UnixMilli())/1000, strings.ToValidUTF8(o.DataCentre, "?"))
	}
}
