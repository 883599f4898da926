package settings

// AgentLimits bound what the connections of an agent take, as the fields of Limits with
// the same names do for an entry. Each is 0 or more; 0, the default, means no limit.
type AgentLimits struct {
	// MemoryMB is the memory of the process's machine, in MB.
	MemoryMB int64 `json:"memory_mb"`
	// FileDescriptors is the number of descriptors that the process may open.
	FileDescriptors int `json:"file_descriptors"`
	// MaxConnections is the largest number of connections at each of the agent's
	// addresses.
	MaxConnections int `json:"max_connections"`
	// MaxReadBytes is the memory for messages and requests that are being read, in
	// bytes. At least MaxMessageBytes.
	MaxReadBytes int64 `json:"max_read_bytes"`
}

const (
	mb = 1_000_000
	// connectionBytes is the memory that is planned for one connection: its
	// goroutines, buffers and the part of a request that is not reserved.
	connectionBytes = 24 << 10
	// connectionShare is the share of the memory that connections may take,
	// readShare that of requests that are being read and waitingShare that of jobs
	// that wait: with a process of about 30 MB this leaves a quarter of the
	// smallest machine (144 MB) for copies that are not collected yet.
	connectionShare, readShare, waitingShare = 6, 8, 16
	// callerShare is the share of the descriptors that the callers' connections may
	// take, peerShare that of connections from other processes and adminShare that of
	// operators. Connections to other processes need the rest.
	callerShare, peerShare, adminShare = 2, 4, 16
	// softMemoryPercent is the share of MemoryMB from which the runtime collects
	// more often.
	softMemoryPercent = 75
)

// ConnectionLimit returns MaxConnections, or what MemoryMB and FileDescriptors allow
// if it is 0; 0 means no limit.
func (l Limits) ConnectionLimit() int {
	return connectionLimit(l.MaxConnections, l.MemoryMB, l.FileDescriptors, callerShare)
}

// PeerConnectionLimit is ConnectionLimit for connections from other processes.
func (l Limits) PeerConnectionLimit() int {
	return connectionLimit(l.MaxConnections, l.MemoryMB, l.FileDescriptors, peerShare)
}

// AdminConnectionLimit is ConnectionLimit for connections of operators.
func (l Limits) AdminConnectionLimit() int {
	return connectionLimit(l.MaxConnections, l.MemoryMB*callerShare/adminShare, l.FileDescriptors, adminShare)
}

// ReadLimit returns MaxReadBytes, or what MemoryMB allows if it is 0, but at least one
// message between processes; 0 means no limit.
func (l Limits) ReadLimit() int64 {
	return readLimit(l.MaxReadBytes, l.MemoryMB, l.MaxMessageBytes)
}

// WaitingLimit returns MaxWaitingBytes, or what MemoryMB allows if it is 0; 0 means no
// limit.
func (l Limits) WaitingLimit() int64 {
	if l.MaxWaitingBytes > 0 {
		return l.MaxWaitingBytes
	}
	return l.MemoryMB * mb / waitingShare
}

// SoftMemoryLimit returns the memory in bytes from which the runtime collects more
// often; 0 means none.
func (l Limits) SoftMemoryLimit() int64 { return softMemory(l.MemoryMB) }

// Limited reports whether any limit on connections or on the bytes being read is set.
func (l Limits) Limited() bool {
	return l.ConnectionLimit() > 0 || l.ReadLimit() > 0 || l.MaxConnectionsPerAddress > 0 || l.MaxHeaderLines > 0
}

// PeerConnectionLimit is Limits.ConnectionLimit for the peer address of an agent, which
// has no callers.
func (l AgentLimits) PeerConnectionLimit() int {
	return connectionLimit(l.MaxConnections, l.MemoryMB, l.FileDescriptors, callerShare)
}

// AdminConnectionLimit is Limits.AdminConnectionLimit for an agent.
func (l AgentLimits) AdminConnectionLimit() int {
	return connectionLimit(l.MaxConnections, l.MemoryMB*callerShare/adminShare, l.FileDescriptors, adminShare)
}

// ReadLimit is Limits.ReadLimit for an agent whose messages have at most maxMessage
// bytes.
func (l AgentLimits) ReadLimit(maxMessage int64) int64 {
	return readLimit(l.MaxReadBytes, l.MemoryMB, maxMessage)
}

// SoftMemoryLimit is Limits.SoftMemoryLimit for an agent.
func (l AgentLimits) SoftMemoryLimit() int64 { return softMemory(l.MemoryMB) }

// Limited is Limits.Limited for an agent.
func (l AgentLimits) Limited() bool { return l.PeerConnectionLimit() > 0 || l.ReadLimit(1) > 0 }

func connectionLimit(given int, memoryMB int64, descriptors, share int) int {
	byMemory, byDescriptors := int(memoryMB*mb/connectionShare/connectionBytes), descriptors/share
	switch {
	case given > 0:
		return given
	case memoryMB > 0 && descriptors > 0:
		return max(1, min(byMemory, byDescriptors))
	}
	return max(byMemory, byDescriptors)
}

func readLimit(given, memoryMB, maxMessage int64) int64 {
	if given > 0 || memoryMB == 0 {
		return given
	}
	return max(memoryMB*mb/readShare, maxMessage)
}

func softMemory(memoryMB int64) int64 { return memoryMB * mb / 100 * softMemoryPercent }

// maxMemoryMB and maxDescriptors are above any machine; larger values are mistakes.
const (
	maxMemoryMB    = 16 << 20
	maxDescriptors = 1 << 30
)

func (ps *problems) clientLimits(l Limits) {
	ps.inRange("limits.memory_mb", l.MemoryMB, 0, maxMemoryMB)
	ps.inRange("limits.file_descriptors", int64(l.FileDescriptors), 0, maxDescriptors)
	ps.atLeast("limits.max_connections", int64(l.MaxConnections), 0)
	ps.atLeast("limits.max_connections_per_address", int64(l.MaxConnectionsPerAddress), 0)
	ps.zeroOrAtLeast("limits.max_read_bytes", l.MaxReadBytes, l.MaxMessageBytes)
	ps.atLeast("limits.max_waiting_bytes", l.MaxWaitingBytes, 0)
	ps.atLeast("limits.max_header_lines", int64(l.MaxHeaderLines), 0)
	ps.positive("limits.header_timeout", l.HeaderTimeout)
	ps.longerThan("limits.body_timeout", l.BodyTimeout, l.HeaderTimeout.AsDuration(), "limits.header_timeout")
	ps.positive("limits.idle_timeout", l.IdleTimeout)
}

func (ps *problems) agentLimits(a Agent) {
	l := a.Limits
	ps.inRange("limits.memory_mb", l.MemoryMB, 0, maxMemoryMB)
	ps.inRange("limits.file_descriptors", int64(l.FileDescriptors), 0, maxDescriptors)
	ps.atLeast("limits.max_connections", int64(l.MaxConnections), 0)
	ps.zeroOrAtLeast("limits.max_read_bytes", l.MaxReadBytes, a.MaxMessageBytes)
}

// zeroOrAtLeast requires 0, which stands for no limit, or at least low.
func (ps *problems) zeroOrAtLeast(field string, value, low int64) {
	if value != 0 {
		ps.atLeast(field, value, low)
	}
}
