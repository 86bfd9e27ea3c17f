// Package membership discovers and monitors the other members of a fleet by SWIM, as implemented by
// hashicorp/memberlist: health checks, suspicion, incarnation numbers and gossip. Each member publishes a small versioned
// Record in memberlist's node metadata. A Watcher receives the changes of the view on memberlist's goroutines and must not
// block. The package maintains the view and makes no decisions based on it.
//
// The view holds at most Config.MaxMembers members. A peer beyond that, or with an invalid record (too long, not JSON, of
// another version, under another member's name), is rejected by memberlist's alive delegate, so that it enters neither
// memberlist's table nor the view. Members that leave or are declared dead are removed from the view at once. Members
// declared dead are remembered for reconnectTimeout, at most MaxMembers of them, and contacted again in turn, so that the
// two sides of a healed partition find each other.
//
// Gossip is complemented by full state exchanges over TCP (push/pull), which transfer what gossip missed. memberlist's own
// schedule of these exchanges is replaced. Its interval grows only with the logarithm of the number of members, while the
// size of an exchange grows linearly, and its members start their exchanges at the same time. Here each member waits for
// its own random time, and all that loads the other members is made rarer in large fleets; see PushPullInterval.
package membership
