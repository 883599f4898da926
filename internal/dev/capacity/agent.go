package capacity

import "context"

func runSenders(ctx context.Context, s Spec) (int, error)             { return 0, nil }
func agentByEntries(ctx context.Context, o Options) ([]Series, error) { return nil, nil }
func agentByTasks(ctx context.Context, o Options) ([]Series, error)   { return nil, nil }
