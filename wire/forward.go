package wire

import "time"

// ForwardRequest passes a job of leased tasks on to another entry, which runs it as its
// own while the sender confirms it; see ConfirmForwardsRequest.
type ForwardRequest struct {
	Sender   EntryRef
	Number   uint64 // of the forward; increases within a process of the sender
	Job      string // identifier that the caller chose
	Account  string
	Template string
	Count    int
	Needs    Resources
	Spec     string
	Expected time.Duration // the caller's hint about one task; 0 if it gave none
	Left     time.Duration // until the caller's deadline
}

// ForwardReply is sent when the job has ended or was refused. An error instead of it
// means that nothing of the job was run.
type ForwardReply struct {
	Job        string // identifier of the job at the receiver; empty if it was refused
	Outcome    string
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
}

// ConfirmForwardsRequest asks the sender of forwards which of them it still wants.
type ConfirmForwardsRequest struct {
	Sender  Incarnation // of the process that sent them
	Numbers []uint64
}

// ConfirmForwardsReply lists the forwards that are still wanted.
type ConfirmForwardsReply struct{ Wanted []uint64 }
