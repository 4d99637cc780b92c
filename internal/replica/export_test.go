package replica

// SyncEach makes a node sync each proposal alone, for comparison.
func (n *Node) SyncEach() { n.syncEach = true }
