// Package membership discovers and monitors the other members of a fleet by SWIM, as implemented by
// hashicorp/memberlist: health checks, suspicion, incarnation numbers and gossip. Each member carries a small versioned
// Record in memberlist's node metadata. Changes of the view are reported to a Watcher from memberlist's goroutines; a
// Watcher must hand them on and return without blocking. The package reports the view and decides nothing from it.
//
// The view holds at most Config.MaxMembers members. A peer beyond that, or with a record that is invalid (too long, not
// JSON, of another version, under another member's name), is rejected by memberlist's alive delegate, so that it enters
// neither memberlist's table nor the view. Members that leave or are declared dead are removed from the view at once.
// Members declared dead are remembered for reconnectTimeout, at most MaxMembers of them, and contacted again in turn, so
// that the sides of a healed partition find each other.
//
// Gossip is complemented by full state exchanges over TCP (push/pull), which repair what gossip missed. memberlist's own
// schedule of them is replaced: its interval grows with the logarithm of the number of members while the size of an
// exchange grows with the number itself, and its members exchange in step. Here each member waits for itself, and what
// costs every other member something is slowed in large fleets; see PushPullInterval.
package membership
