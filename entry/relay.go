package entry

import (
	"bytes"
	"context"
	"sync"
	"time"

	"chicorytray.example/chicorytray/wire"
)

// maxRelays is the number of agents that an entry asks at a time to read the store for
// it. Only an entry whose own reads get no answer or are refused asks, at most once in
// Timing.ConfigRead, so that the calls of the store grow with the number of such
// entries and not with that of the agents: with reads each second, 120 a second for 40
// entries and 1,000 agents, in an outage too.
const maxRelays = 3

// relay reads the configuration through agents.
type relay struct {
	config *configuration
	dial   agentDialer
	// agents returns the addresses of up to maxRelays agents that were heard
	// recently, others each time.
	agents func() []string

	mu     sync.Mutex
	asked  time.Time // when the agents were last asked
	answer bool      // the store answered one of them then
}

// relayResult is the result of reading through agents.
type relayResult struct {
	confirmed bool // the configuration in force is the newest; recorded as such
	answers   bool // the store answers an agent
}

// start asks the agents and returns a channel on which the result is sent.
func (r *relay) start(ctx context.Context) <-chan relayResult {
	result := make(chan relayResult, 1)
	go func() { result <- r.read(ctx) }()
	return result
}

func (r *relay) read(ctx context.Context) relayResult {
	c := r.config
	now := c.clock.Now()
	r.mu.Lock()
	if !r.asked.IsZero() && now.Sub(r.asked) < c.timing.ConfigRead.AsDuration() {
		defer r.mu.Unlock()
		return relayResult{answers: r.answer}
	}
	r.asked = now
	r.mu.Unlock()
	var all relayResult
	var mu sync.Mutex
	var group sync.WaitGroup
	callCtx, cancel := context.WithTimeout(ctx, c.timing.StoreTimeout.AsDuration()+c.timing.CallTimeout.AsDuration())
	defer cancel()
	c.mu.Lock()
	raw := c.raw
	hash := c.content.Hash(raw)
	c.mu.Unlock()
	for _, address := range r.agents() {
		group.Go(func() {
			sent := c.clock.Now()
			reply, err := r.ask(callCtx, address, hash)
			if err != nil {
				c.log.Debug().Str("address", address).Err(err).Msg("agent did not read the store for this entry")
				return
			}
			confirmed := reply.Read && c.handleRelayed(sent, raw, reply)
			mu.Lock()
			defer mu.Unlock()
			all.confirmed = all.confirmed || confirmed
			all.answers = all.answers || reply.Answers
		})
	}
	group.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer = all.answers
	if ctx.Err() != nil {
		r.asked = time.Time{} // the result is not known
	}
	return all
}

func (r *relay) ask(ctx context.Context, address string, hash []byte) (wire.ReadConfigReply, error) {
	var reply wire.ReadConfigReply
	conn, err := r.dial(ctx, address)
	if err != nil {
		return reply, err
	}
	defer func() { _ = conn.Close() }()
	err = conn.Call(ctx, "Agent.ReadConfig", &wire.ReadConfigRequest{Content: hash}, &reply)
	return reply, err
}

// handleRelayed handles the configuration that an agent read for a request that was
// sent at that time, when raw was in force. It reports whether that confirms the
// configuration in force. An older document is not written back: that is left to
// entries that reach the store.
func (c *configuration) handleRelayed(sent time.Time, raw []byte, reply wire.ReadConfigReply) bool {
	if len(reply.Document) > 0 {
		doc, err := c.parse(reply.Document, "agent")
		if err != nil {
			return false
		}
		c.apply(doc, reply.Document, "agent")
		raw = reply.Document
	} else if !reply.Same {
		return false
	}
	c.mu.Lock()
	confirms := len(raw) > 0 && bytes.Equal(c.raw, raw)
	c.mu.Unlock()
	if confirms {
		c.confirmation.recordConfirmingRead(sent)
	}
	return confirms
}
