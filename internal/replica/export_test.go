package replica

// SyncEach limits each sync of the node to one request, for comparison with group
// commit.
func (n *Node) SyncEach() { n.syncEach = true }
