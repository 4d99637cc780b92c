package replica

import (
	"context"
	"net/http"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/journal"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// initialIncarnation is the incarnation of all initial members. It is a fixed
// string, because the initial members must know each other's identities at the
// first start.
const initialIncarnation = "initial"

// bootstrapProbeTimeout bounds the call that asks one initial member whether this
// host was a member before.
const bootstrapProbeTimeout = 300 * time.Millisecond

// prepareBootstrap sets the identity and the first snapshot of a folder without
// data. It returns an error if another initial member has received messages from
// this host's initial identity, because then the host's earlier data folder was
// lost.
func (n *Node) prepareBootstrap(ctx context.Context, opts *journal.Options) error {
	names, err := n.Disk.Names()
	if err != nil {
		return serving.WrapError(err, serving.KindStorage, "list data folder")
	}
	if slices.Contains(names, journal.IdentityName) {
		return nil
	}
	self := serving.ReplicaID{Host: n.Host, Incarnation: initialIncarnation}
	var membership ledger.Membership
	for _, m := range n.Initial {
		id := serving.ReplicaID{Host: m.Host, Incarnation: initialIncarnation}
		membership.Members = append(membership.Members, ledger.Member{ID: id, Address: m.Address, Voter: true})
	}
	if !membership.IsVoter(self) {
		return serving.NewError(serving.KindInvalid, "host "+string(n.Host)+" is not among the initial members")
	}
	for _, m := range n.Initial {
		if m.Host != n.Host && n.seenBy(ctx, m.Address, self) {
			e := serving.NewError(serving.KindConflict, "the cluster already knows "+self.String()+", whose data folder was lost")
			e.Remedy = "start without bootstrap, add the new identity as a learner and replace the old one"
			return e
		}
	}
	opts.Incarnation = initialIncarnation
	opts.Initial = &ledger.Snapshot{Index: 1, Term: 1, Membership: membership}
	return nil
}

// seenBy reports whether the replica at address answers that it has received
// messages from id.
func (n *Node) seenBy(ctx context.Context, address string, id serving.ReplicaID) bool {
	ctx, cancel := context.WithTimeout(ctx, bootstrapProbeTimeout)
	defer cancel()
	client := schema.NewLogProtobufClient(address, n.client())
	res, err := client.Deliver(ctx, &schema.LogMessages{})
	return err == nil && slices.Contains(res.GetSeen(), id.String())
}

// client returns the client that queries the initial members.
func (n *Node) client() *http.Client {
	if n.Client == nil {
		return &http.Client{Transport: &answer.Transport{Next: http.DefaultTransport}}
	}
	return n.Client
}

// Recover makes the replica on disk the only voter, under a new incarnation, after
// a majority was lost permanently. Its report describes the replica before the
// recovery.
//
// Every change after the LastIndex of the report is lost, and so are changes that
// only lost replicas had stored. Entries after its SnapshotIndex may become accepted
// although their callers were told that the outcome is unknown. The data folders of
// the other hosts must be wiped before these start again; they are then added as
// learners.
func Recover(disk journal.Disk, address string) (journal.Report, error) {
	return journal.Recover(disk, address)
}
