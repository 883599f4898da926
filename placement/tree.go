package placement

// node summarises the agents in its subtree.
type node struct {
	maxScore       float64
	maxScoreAgents int   // number of agents with the score maxScore
	agentsWithRoom int   // number of agents with a score above 0
	slots          int   // of usable agents, reduced by their weights
	milliCPU       int64 // of usable agents, reduced by their weights
	capacityFree   Resources
}

// tree is a complete binary tree over the agents of one zone. Its leaves are
// agents in the order in which they were added. Every inner node holds the sums
// and maxima of its children, so a search skips subtrees without room.
type tree struct {
	nodes  []node // nodes[1] is the root, nodes[len/2:] are the leaves
	agents []*agent
	unused []int // leaves of removed agents, to be reused
}

func (t *tree) root() node {
	if len(t.nodes) == 0 {
		return node{}
	}
	return t.nodes[1]
}

// add adds an agent and returns its leaf. The tree doubles when it is full, so
// the amortised cost of an addition is constant. The caller then calls set, which
// is logarithmic.
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
