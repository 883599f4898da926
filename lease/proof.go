package lease

// Proof says why a run was removed from the table: what shows that nothing of it runs
// or will run.
type Proof string

// Proofs of the end of a run. ProofListed and ProofRefused are those of ordinary runs.
const (
	ProofListed           Proof = "end_listed"
	ProofRefused          Proof = "start_refused"
	ProofUnsent           Proof = "start_not_sent" // nor does a later life get it
	ProofAbsentAfterStop  Proof = "absent_after_stop"
	ProofAbsentAfterValid Proof = "absent_after_validity"
	ProofAbsentInNextLife Proof = "absent_in_next_life"
	ProofLeaseExpired     Proof = "lease_expired"
	ProofLifeOver         Proof = "life_over"
	ProofOtherIdentifier  Proof = "other_identifier"
	ProofOverdue          Proof = "order_overdue" // no life carries out a start order that late
)

// ExceptionalProofs returns the proofs of runs that ended otherwise than by their
// listed end or the worker's refusal.
func ExceptionalProofs() []Proof {
	return []Proof{
		ProofUnsent, ProofAbsentAfterStop, ProofAbsentAfterValid, ProofAbsentInNextLife, ProofLeaseExpired,
		ProofLifeOver, ProofOtherIdentifier, ProofOverdue,
	}
}
