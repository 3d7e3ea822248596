package site

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

var portRange = regexp.MustCompile(`internal_port_range = \[\d+, \d+\]`)

// GatewaySettingsWithLink returns settings as [Site.GatewaySettings] does, for a machine
// with a link of this rate in Mbit/s, whose port range includes one for handed-off requests.
func (s *Site) GatewaySettingsWithLink(name string, linkMbps float64) (text, clients, ready string, err error) {
	text, clients, ready, err = s.GatewaySettings(name)
	if err != nil {
		return "", "", "", err
	}
	first, err := freePort()
	for err == nil {
		var second int
		if second, err = freePort(); second == first+1 {
			ports := fmt.Sprintf("internal_port_range = [%d, %d]", first-1, second)
			text = portRange.ReplaceAllString(text, ports)
			return strings.Replace(text, "[limits]\n", fmt.Sprintf("[limits]\nlink_mbps = %g\n", linkMbps), 1), clients, ready, nil
		}
		first = second
	}
	return "", "", "", errors.Wrap(err, "find ports of a gateway")
}
