package crashdisk

import "slices"

// inode is the content of a file, independent of its names.
type inode struct {
	data   []byte
	synced []byte // durable: the data at the last successful Sync

	// The bytes from lostFrom to before lostTo were lost by a failed Sync: a crash leaves zeros there, even if a later Sync
	// succeeds.
	lostFrom, lostTo int
}

// newInode is a file whose data is durable.
func newInode(data []byte) *inode {
	return &inode{data: data, synced: slices.Clone(data)}
}

// sync makes the data durable.
func (n *inode) sync() { n.synced = slices.Clone(n.data) }

// failSync loses the bytes that are not durable yet.
func (n *inode) failSync() {
	if n.lostTo <= n.lostFrom {
		n.lostFrom = min(len(n.synced), len(n.data))
	}
	n.lostTo = len(n.data)
}

// afterCrash is the content that a crash leaves: the durable bytes and any prefix of those appended since, perhaps followed by
// zeros where the size was written and the data was not. A truncation that was not synced may be undone.
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
