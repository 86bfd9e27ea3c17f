package crashdisk

import "slices"

// inode holds the content of a file, independently of its names.
type inode struct {
	data   []byte
	synced []byte // the durable data, as of the last successful Sync

	// A failed Sync lost the bytes in [lostFrom, lostTo). A crash leaves zeros there, even if a later Sync succeeds.
	lostFrom, lostTo int
}

// newSyncedInode creates a file whose data is durable.
func newSyncedInode(data []byte) *inode {
	return &inode{data: data, synced: slices.Clone(data)}
}

// sync makes the data durable.
func (n *inode) sync() { n.synced = slices.Clone(n.data) }

// failSync marks the bytes that are not durable yet as lost.
func (n *inode) failSync() {
	if n.lostTo <= n.lostFrom {
		n.lostFrom = min(len(n.synced), len(n.data))
	}
	n.lostTo = len(n.data)
}

// afterCrash returns the content after a crash: the durable bytes and any prefix of the bytes appended since, possibly followed
// by zeros, as if the new size reached the disk but the data did not. An unsynced truncation may be undone.
func (n *inode) afterCrash(random Random) []byte {
	content := slices.Clone(n.synced)
	if len(n.data) < len(n.synced) {
		if random(2) == 0 {
			content = content[:len(n.data)]
		}
		return content
	}
	appended := n.data[len(n.synced):]
	survivingBytes := random(len(appended) + 1)
	content = append(content, appended[:survivingBytes]...)
	if sizeOnly := random(3) == 0; sizeOnly && survivingBytes < len(appended) {
		content = append(content, make([]byte, random(len(appended)-survivingBytes+1))...)
	}
	if n.lostTo > n.lostFrom {
		clear(content[min(n.lostFrom, len(content)):min(n.lostTo, len(content))])
	}
	return content
}
