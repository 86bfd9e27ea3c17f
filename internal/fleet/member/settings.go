// This file owns memberlist's settings: how often members are probed, suspected and told. It must never leave a probe
// without time for its indirect tries.

package member

import (
	"fmt"
	"net"
	"strconv"

	"github.com/hashicorp/memberlist"
)

// settings are memberlist's for a member that binds host and port.
func settings(c Config, host string, port int) (*memberlist.Config, error) {
	lc := memberlist.DefaultLocalConfig()
	lc.Name, lc.BindAddr, lc.BindPort, lc.AdvertiseAddr, lc.AdvertisePort = c.Name, host, port, host, port
	if c.Advertise != "" {
		ahost, aport, err := net.SplitHostPort(c.Advertise)
		if err != nil {
			return nil, fmt.Errorf("fleet advertise: found %q, expected host:port (%v)", c.Advertise, err)
		}
		if lc.AdvertisePort, err = strconv.Atoi(aport); err != nil {
			return nil, fmt.Errorf("fleet advertise: port found %q, expected a number", aport)
		}
		lc.AdvertiseAddr = ahost
	}
	if c.Probe > 0 {
		lc.ProbeInterval = c.Probe
	}
	if c.Sync > 0 {
		lc.PushPullInterval = c.Sync
	}
	return lc, nil
}
