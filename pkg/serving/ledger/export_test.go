package ledger

// Entries returns the entries that a replica holds in memory.
func (r *Replica) Entries() []Entry { return r.log.slice(1, r.log.last()) }

// Leads returns the current term and whether this replica is its leader.
func (r *Replica) Leads() (Term, bool) { return r.hard.Term, r.role == Leader }

// InjectDefect enables the defect with the given name, which the tests must detect.
// It ignores other names, because the simulation injects vote_without_sync and
// old_incarnation itself.
func (r *Replica) InjectDefect(name string) {
	switch name {
	case "lease_ignored":
		r.defects.ignoreLease = true
	case "lease_from_acknowledgement":
		r.defects.leaseFromAck = true
	case "commit_any_term":
		r.defects.commitAnyTerm = true
	case "vote_after_contact":
		r.defects.voteAfterContact = true
	case "lease_from_before_resume":
		r.defects.staleClock = true
	case "skip_joint":
		r.defects.skipJoint = true
	}
}
