package membership

import (
	"io"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	maxMembersLimit         = 10_000
	defaultPushPullInterval = 15 * time.Second
)

// Settings of memberlist.
const (
	directProbePercent = 30 // of the probe interval, for the direct probe
	maxProbeTimeout    = 500 * time.Millisecond
	indirectChecks     = 3 // members asked to probe a member that did not answer the direct probe
	retransmitMult     = 4 // twice memberlist's local default: an update that gossip fails to deliver waits for a push/pull
	gossipsPerProbe    = 4
	minGossipInterval  = 50 * time.Millisecond
	maxGossipInterval  = 200 * time.Millisecond
)

// Config configures a Member.
type Config struct {
	Name       string   // unique in the fleet
	Bind       string   // host:port of the TCP and UDP listeners; outgoing TCP connections use the same host
	Advertise  string   // host:port at which the others reach this member, if it differs from Bind
	Seeds      []string // host:port of members through which to join; none for the first member
	MaxMembers int      // maximum size of the view, this member included; 1 to 10000
	Record     Record   // this member's own record; Start sets its Name and Version

	ProbeInterval time.Duration // between health checks; 0 for memberlist's local default (1 s)
	// SyncInterval is the mean time between two push/pull exchanges that this member initiates; 0 for 15 s. It bounds how
	// long the view may differ from those of others, as gossip can miss members that join at the same time. In large
	// fleets the time is longer; see PushPullInterval.
	SyncInterval time.Duration

	LogOutput     io.Writer                       // receives memberlist's log lines; nil discards them
	OnMessage     func(message []byte)            // receives what others Send, on memberlist's goroutine; must not block; nil discards it
	WrapTransport func(inner Transport) Transport // may replace the transport, for example to measure traffic; nil for none
}

// endpoint is a parsed host:port.
type endpoint struct {
	host string
	port int
}

// parseEndpoint parses host:port. setting is the name of the setting that an error reports.
func parseEndpoint(setting, address string) (endpoint, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return endpoint{}, &ConfigError{Setting: setting, Found: strconv.Quote(address), Expected: "host:port", Err: err}
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return endpoint{}, &ConfigError{Setting: setting + ": port", Found: strconv.Quote(port), Expected: "a number", Err: err}
	}
	return endpoint{host: host, port: number}, nil
}

// memberlistConfig returns memberlist's configuration for a member that listens at bind.
func memberlistConfig(config Config, bind endpoint) (*memberlist.Config, error) {
	advertise := bind
	if config.Advertise != "" {
		var err error
		if advertise, err = parseEndpoint("advertise", config.Advertise); err != nil {
			return nil, err
		}
	}
	list := memberlist.DefaultLocalConfig()
	list.Name = config.Name
	list.BindAddr, list.BindPort = bind.host, bind.port
	list.AdvertiseAddr, list.AdvertisePort = advertise.host, advertise.port
	if config.ProbeInterval > 0 {
		list.ProbeInterval = config.ProbeInterval
	}
	// The direct probe must time out well before the interval ends. Otherwise no time is left for the indirect probes
	// and the probe over TCP, and every lost datagram or one-way partition leads to a suspicion. memberlist's local
	// default is a single indirect check, and the member asked for it may be behind the same partition.
	list.ProbeTimeout = min(list.ProbeInterval*directProbePercent/100, maxProbeTimeout)
	list.IndirectChecks = indirectChecks
	list.RetransmitMult = retransmitMult
	list.GossipInterval = min(max(list.ProbeInterval/gossipsPerProbe, minGossipInterval), maxGossipInterval)
	list.PushPullInterval = 0 // pushPullLoop replaces memberlist's schedule
	list.LogOutput = config.LogOutput
	if config.LogOutput == nil {
		list.LogOutput = io.Discard
	}
	return list, nil
}
