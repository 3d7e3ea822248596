package gateway

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// Compares the metrics with those named in OPERATIONS.md. An alert on a renamed metric
// would never fire, and an undocumented metric would not be found by an engineer on
// call.
func TestMetricsAreDocumented(t *testing.T) {
	m := newMetrics(prometheus.NewRegistry())
	descriptions := make(chan *prometheus.Desc, len(m.collectors()))
	for _, c := range m.collectors() {
		c.Describe(descriptions)
	}
	close(descriptions)
	fullName := regexp.MustCompile(`fqName: "([a-z_]+)"`)
	exists := map[string]bool{}
	for d := range descriptions {
		exists[fullName.FindStringSubmatch(d.String())[1]] = true
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range regexp.MustCompile(`kumquatlug_gateway_[a-z_]+`).FindAllString(string(page), -1) {
		if !exists[name] {
			t.Errorf("OPERATIONS.md names %s, which does not exist", name)
		}
	}
	for name := range exists {
		if !strings.Contains(string(page), name) {
			t.Errorf("OPERATIONS.md does not name %s", name)
		}
	}
}
