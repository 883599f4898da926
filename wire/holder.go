package wire

import "time"

// JobHolder is an entry process that accepted a job of leased tasks.
type JobHolder struct {
	Entry       string // its identifier
	Incarnation Incarnation
	Address     string
}

// ClaimJobRequest tells an entry which process holds a job of leased tasks, identified
// by what its caller chose.
type ClaimJobRequest struct {
	Account, Job string
	Holder       JobHolder
	For          time.Duration // how long tasks of the job may run
	Age          time.Duration // since the holder read the submission
}

// ClaimJobReply lists the processes that claimed the job before, without the claimant,
// as far as the replying entry knows.
type ClaimJobReply struct {
	Earlier   []JobHolder
	Overtaken bool // a later submission was claimed before, so this claim is void
}

// ReleaseJobRequest asks a process to end its job under the identifier, because By has
// got it from the caller.
type ReleaseJobRequest struct {
	Account, Job string
	Incarnation  Incarnation // of the process that is asked
	By           JobHolder
}

// ReleaseJobReply says what goes on of the job. If nothing does, the process starts no
// task of it that was submitted before the request arrived.
type ReleaseJobReply struct {
	Ended    bool // no run of the job goes on
	Replaced bool // another process answers at the address
}
