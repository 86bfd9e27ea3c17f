// This file owns memberlist's settings: how often members are probed, suspected and told. It must never leave a probe
// without time for its indirect tries.

package membership

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	directPart  = 30 // of the interval, per cent, for the direct try
	mostDirect  = 500 * time.Millisecond
	indirect    = 3 // members asked to try where the direct try failed
	retransmit  = 4
	leastGossip = 50 * time.Millisecond
	mostGossip  = 200 * time.Millisecond
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
	// A probe is over with its interval: the direct try must end well before, or the indirect ones and the one over
	// TCP have no time, and every lost datagram or one-way cut is a suspicion. memberlist's local default of one
	// member to ask is the same as none where that one stands behind the same cut.
	lc.ProbeTimeout = min(lc.ProbeInterval*directPart/100, mostDirect)
	lc.IndirectChecks = indirect
	lc.RetransmitMult = retransmit // twice the local default: a member missed by gossip waits for a full exchange
	lc.GossipInterval = min(max(lc.ProbeInterval/4, leastGossip), mostGossip)
	lc.PushPullInterval = 0 // exchange.go begins the full exchanges, at the pace of the size
	return lc, nil
}
