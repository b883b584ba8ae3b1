package agentd_test

import (
	"compress/gzip"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"
)

// traceCollector is a stand-in for an OpenTelemetry collector, which receives traces by
// OTLP over HTTP.
type traceCollector struct {
	mu    sync.Mutex
	spans map[string][]span
	// senders holds the service.instance.id of every exporting daemon.
	senders map[string]bool
	// faults lists the requests that are not valid exports of traces.
	faults []string
}

func startCollector(t *testing.T) (*traceCollector, netip.AddrPort) {
	t.Helper()
	c := &traceCollector{spans: make(map[string][]span), senders: make(map[string]bool)}
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	return c, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// ServeHTTP handles an ExportTraceServiceRequest.
func (c *traceCollector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var request collector.ExportTraceServiceRequest
	body := io.Reader(r.Body)
	if r.Header.Get("Content-Encoding") == "gzip" {
		body, _ = gzip.NewReader(r.Body)
	}
	data, err := io.ReadAll(body)
	if err == nil {
		err = proto.Unmarshal(data, &request)
	}
	if kind := r.Header.Get("Content-Type"); err != nil || r.Method != http.MethodPost || r.URL.Path != "/v1/traces" || kind != "application/x-protobuf" {
		c.faults = append(c.faults, r.Method+" "+r.URL.Path+" "+kind)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.record(&request)
	answer, _ := proto.Marshal(&collector.ExportTraceServiceResponse{})
	w.Header().Set("Content-Type", "application/x-protobuf")
	_, _ = w.Write(answer)
}

// record stores the spans of a request by name, and the IDs of the senders.
func (c *traceCollector) record(request *collector.ExportTraceServiceRequest) {
	for _, resource := range request.ResourceSpans {
		for _, attribute := range resource.Resource.Attributes {
			if attribute.Key == "service.instance.id" {
				c.senders[attribute.Value.GetStringValue()] = true
			}
		}
		for _, scope := range resource.ScopeSpans {
			for _, s := range scope.Spans {
				var got span
				got.Name = s.Name
				got.SpanContext.TraceID = hex.EncodeToString(s.TraceId)
				got.SpanContext.SpanID = hex.EncodeToString(s.SpanId)
				got.Parent.SpanID = hex.EncodeToString(s.ParentSpanId)
				c.spans[s.Name] = append(c.spans[s.Name], got)
			}
		}
	}
}
