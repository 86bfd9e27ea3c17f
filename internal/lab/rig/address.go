// This file owns the loopback addresses that the rig's processes listen on.

package rig

import "thymechute/internal/fake/faultnet"

// Free is a loopback address with a port free for TCP and UDP both.
func Free() (string, error) { return faultnet.FreeAddress("127.0.0.1") }
