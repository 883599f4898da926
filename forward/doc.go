// Package forward decides about jobs that an entry passes on to another entry, because
// it cannot serve them itself: to which one, whether the receiver may run the job, and
// what the sender may answer when the call fails.
//
// The sender holds the caller's connection and the receiver runs the job. The receiver
// runs it only while it has a recent confirmation of the sender, which is the answer to
// a request of the receiver. So a job whose sender or caller is gone, or whose call was
// delayed, is not run; see docs/design/forwarding.md.
//
// The package has no I/O, goroutines or clock. Its types are not safe for concurrent
// use.
package forward
