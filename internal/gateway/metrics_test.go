package gateway

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// An engineer on call looks for a metric that the page names. One that was renamed
// would leave an alarm silent for ever; one that the page lacks is found by nobody.
func TestMetricsAreDocumented(t *testing.T) {
	m := newMetrics(prometheus.NewRegistry())
	descriptions := make(chan *prometheus.Desc, len(m.collectors()))
	for _, c := range m.collectors() {
		c.Describe(descriptions)
	}
	close(descriptions)
	fullName := regexp.MustCompile(`fqName: "([a-z_]+)"`)
	there := map[string]bool{}
	for d := range descriptions {
		there[fullName.FindStringSubmatch(d.String())[1]] = true
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range regexp.MustCompile(`kumquatlug_gateway_[a-z_]+`).FindAllString(string(page), -1) {
		if !there[name] {
			t.Errorf("the page names %s, which there is not", name)
		}
	}
	for name := range there {
		if !strings.Contains(string(page), name) {
			t.Errorf("the page does not name %s", name)
		}
	}
}
