package placement

// node summarises the agents below it.
type node struct {
	maxScore       float64 // highest score
	maxScoreAgents int     // agents that have the highest score
	agentsWithRoom int     // agents with a score above 0
	slots          int     // of usable agents
	milliCPU       int64   // of usable agents, by their weights
	capacityFree   Resources
}

// tree is a complete binary tree over the agents of one zone. Its leaves are
// agents in the order in which they were added; every inner node holds the
// maxima of its children, so a search leaves out subtrees without room.
type tree struct {
	nodes  []node // nodes[1] is the root, nodes[len/2:] are the leaves
	agents []*agent
	unused []int // leaves that were removed
}

func (t *tree) root() node {
	if len(t.nodes) == 0 {
		return node{}
	}
	return t.nodes[1]
}

// add returns the leaf of the agent. The tree doubles when it is full, so the
// cost of an addition is logarithmic on average.
func (t *tree) add(a *agent) int {
	if last := len(t.unused) - 1; last >= 0 {
		leaf := t.unused[last]
		t.unused = t.unused[:last]
		t.agents[leaf] = a
		return leaf
	}
	if len(t.agents) == len(t.nodes)/2 {
		t.grow()
	}
	t.agents = append(t.agents, a)
	return len(t.agents) - 1
}

func (t *tree) grow() {
	leaves := max(len(t.nodes), 1)
	nodes := make([]node, 2*leaves)
	copy(nodes[leaves:], t.nodes[len(t.nodes)/2:])
	t.nodes = nodes
	for i := leaves - 1; i >= 1; i-- {
		t.nodes[i] = merge(t.nodes[2*i], t.nodes[2*i+1])
	}
}

func (t *tree) remove(leaf int) {
	t.set(leaf, node{})
	t.agents[leaf] = nil
	t.unused = append(t.unused, leaf)
}

func (t *tree) set(leaf int, n node) {
	i := len(t.nodes)/2 + leaf
	t.nodes[i] = n
	for i /= 2; i >= 1; i /= 2 {
		joined := merge(t.nodes[2*i], t.nodes[2*i+1])
		if joined == t.nodes[i] {
			return
		}
		t.nodes[i] = joined
	}
}

func merge(a, b node) node {
	n := node{
		maxScore:       max(a.maxScore, b.maxScore),
		agentsWithRoom: a.agentsWithRoom + b.agentsWithRoom,
		slots:          a.slots + b.slots,
		milliCPU:       a.milliCPU + b.milliCPU,
		capacityFree:   maxResources(a.capacityFree, b.capacityFree),
	}
	if a.maxScore == n.maxScore {
		n.maxScoreAgents += a.maxScoreAgents
	}
	if b.maxScore == n.maxScore {
		n.maxScoreAgents += b.maxScoreAgents
	}
	return n
}
